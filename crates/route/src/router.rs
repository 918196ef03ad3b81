//! The router: admits requests, chooses their targets and decides what follows a failed attempt.
//!
//! The router does no I/O. After each call with a request, a report, an announcement or a tick, its caller carries out
//! the [`Action`]s that [`Router::next_action`] returns, until it returns none.

mod attempt;
mod preemption;
mod requests;
mod services;
mod silence;
mod targets;

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name, random::Random};
use settings::service;
use slotmap::{SecondaryMap, SlotMap};

use crate::{
    admission, disaggregation, fair_queue, health, pool, prefix,
    request::{self, Action, Execution, Request, Ticket},
    retry, target,
};

/// Parameters of a router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Setup {
    /// Seed of its random choices.
    pub seed: u64,
    /// Cost of moving KV caches between engines.
    pub transfer: disaggregation::Transfer,
}

/// A service and the partner that it belongs to; requests and targets belong to one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
}

/// Requests of this instance that are running on a target; the data centre's other instances are informed of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outstanding {
    /// The target.
    pub target: name::Target,
    /// Number of requests that were sent and have not ended.
    pub requests: u32,
}

/// Counts of requests, attempts and targets, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests without a running attempt.
    pub waiting: usize,
    /// Running attempts.
    pub running: usize,
    /// Known targets.
    pub targets: usize,
}

/// State of a service.
#[derive(Debug)]
struct Service {
    owner: Owner,
    settings: service::Service,
    controller: admission::Controller,
    /// Latency from the dispatch to the first token.
    first_token: admission::Latency,
    budget: retry::Budget,
    variants: Vec<request::Variant>,
    running: BTreeSet<Attempt>,
    /// Since when requests wait although the service runs fewer than its guarantee, or since the last preemption for
    /// it.
    starved_since: Option<Moment>,
}

/// A running attempt; the set of a service's attempts is in the order of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    sent_at: Moment,
    ticket: Ticket,
}

/// A model version of a service, or the whole of a plain service, and its weight in the traffic split.
#[derive(Debug)]
struct Variant {
    /// Name of the model that callers request; `None` for a plain service.
    name: Option<String>,
    /// Version of the model that engines load; `None` for a plain service.
    version: Option<String>,
    /// Weight among the versions of the model; 0 if no new requests are sent to this one.
    weight: u32,
    pool: request::Pool,
}

/// State of a request.
#[derive(Debug)]
struct Record {
    request: Request,
    service: request::Service,
    variant: request::Variant,
    state: State,
    /// Number of the last attempt.
    attempt: u32,
    /// Attempts whose target is silent. They still run but hold no slot, and another attempt may run beside them.
    silent: Vec<Running>,
    /// Failed attempts since the last first token; refusals are not counted.
    failures: u32,
    /// Attempts that targets refused.
    refusals: u32,
    /// Targets that have failed or refused the request, the latest last.
    avoid: Vec<request::Target>,
    execution: Execution,
    /// Whether the caller has received a part of the answer.
    begun: bool,
    /// Whether the shares and the retry budget have accounted for the request.
    charged: bool,
    /// Whether an attempt was preempted; a request is preempted at most once.
    preempted: bool,
    /// Time until which the request may wait before its answer has begun.
    queue_deadline: Moment,
}

/// Whether a request waits or an attempt of it is running.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Queued in the scheduler.
    Waiting,
    /// Neither queued nor running, such as during the pause before a retry.
    Paused,
    /// Neither queued nor running, and no retry follows: the silent attempts decide the end.
    Held,
    /// An attempt is running.
    Running(Running),
}

/// A running attempt of a request.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Number of the attempt.
    number: u32,
    target: request::Target,
    sent_at: Moment,
    /// Prompt tokens that the target has to compute.
    uncached: u64,
    /// Prompt tokens that the target was expected to compute first when the attempt was sent.
    queued_tokens: u64,
    /// Whether the first token has arrived.
    started: bool,
    /// Whether the target was silent before the first token, whose latency then says nothing about its speed.
    was_silent: bool,
}

/// A task and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Moment,
    task: Task,
}

/// What to do when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    /// End the request unless an attempt of it is running or silent.
    Expire(Ticket),
    /// Enqueue the request again.
    Retry(Ticket),
    /// Check whether the target is free.
    UpdateAvailability(request::Target),
}

/// Router of one instance.
#[derive(Debug)]
pub struct Router {
    transfer: disaggregation::Transfer,
    random: Random,
    instances: u32,
    targets: SlotMap<request::Target, target::Target>,
    target_names: Map<name::Target, request::Target>,
    groups: Map<Owner, health::Group>,
    pools: SlotMap<request::Pool, pool::Pool>,
    scopes: Map<pool::Scope, request::Pool>,
    services: SlotMap<request::Service, Service>,
    service_names: Map<Owner, request::Service>,
    variants: SlotMap<request::Variant, Variant>,
    scheduler: fair_queue::Scheduler,
    requests: SlotMap<Ticket, Record>,
    running: usize,
    prefixes: prefix::Index,
    timers: BTreeSet<Timer>,
    /// Latest timer of [`Task::UpdateAvailability`] for each target.
    availability_checks: SecondaryMap<request::Target, Moment>,
    actions: VecDeque<Action>,
}

impl Router {
    /// Creates a router without services and targets.
    pub fn new(setup: Setup) -> Router {
        Router {
            transfer: setup.transfer,
            random: Random::new(setup.seed),
            instances: 1,
            targets: SlotMap::with_key(),
            target_names: Map::default(),
            groups: Map::default(),
            pools: SlotMap::with_key(),
            scopes: Map::default(),
            services: SlotMap::with_key(),
            service_names: Map::default(),
            variants: SlotMap::with_key(),
            scheduler: fair_queue::Scheduler::default(),
            requests: SlotMap::with_key(),
            running: 0,
            prefixes: prefix::Index::default(),
            timers: BTreeSet::new(),
            availability_checks: SecondaryMap::new(),
            actions: VecDeque::new(),
        }
    }

    /// Removes and returns the next action to carry out, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Time at which [`Router::tick`] should be called next, if any.
    pub fn next_timer(&self) -> Option<Moment> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Runs the tasks that are due, preempts for services below their guarantee and dispatches waiting requests.
    pub fn tick(&mut self, now: Moment) {
        while let Some(timer) = self.timers.first().copied()
            && timer.at <= now
        {
            self.timers.remove(&timer);
            match timer.task {
                Task::Expire(ticket) => self.expire(ticket, now),
                Task::Retry(ticket) => self.requeue(ticket, now),
                Task::UpdateAvailability(target) => {
                    self.availability_checks.remove(target);
                    self.update_availability(target, now);
                }
            }
        }
        self.reclaim_shares(now);
        self.dispatch_waiting(now);
    }

    /// Sets the number of instances in the data centre, which share its targets; at least 1.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Running requests of this instance by target, for targets that have any.
    pub fn outstanding(&self) -> impl Iterator<Item = Outstanding> {
        let targets = self.targets.values().filter(|target| target.outstanding > 0);
        targets.map(|target| Outstanding {
            target: target.description.name.clone(),
            requests: target.outstanding,
        })
    }

    /// Counts of requests, attempts and targets.
    pub fn totals(&self) -> Totals {
        Totals {
            waiting: self.requests.len() - self.running,
            running: self.running,
            targets: self.targets.len(),
        }
    }

    /// Expected wait of a new request of the class before it is dispatched; the longest among the service's variants,
    /// and zero for an unknown service.
    pub fn expected_wait(&self, owner: &Owner, class: fair_queue::Class) -> Duration {
        let Some(service) = self.service_names.get(owner).map(|key| &self.services[*key]) else {
            return Duration::ZERO;
        };
        let variants = service.variants.iter();
        let ahead = variants
            .map(|variant| self.scheduler.tokens_ahead(*variant, class, 0))
            .max()
            .unwrap_or_default();
        service.controller.expected_wait(ahead)
    }

    fn set_timer(&mut self, at: Moment, task: Task) {
        self.timers.insert(Timer { at, task });
    }
}
