//! The router: admits requests, chooses their targets and decides what follows a failed attempt.
//!
//! Callers hand in requests, reports and announcements, and then take [`Action`]s until there are none.

mod attempt;
mod preemption;
mod requests;
mod services;
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

/// What a router is made with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Setup {
    /// Seed of its random choices.
    pub seed: u64,
    /// How KV caches move between engines.
    pub transfer: disaggregation::Transfer,
}

/// A partner's service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
}

/// Own requests on a target, for the data centre's other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outstanding {
    /// The target.
    pub target: name::Target,
    /// Requests sent and not ended.
    pub requests: u32,
}

/// What waits and runs, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that wait.
    pub waiting: usize,
    /// Attempts that run.
    pub running: usize,
    /// Targets known.
    pub targets: usize,
}

#[derive(Debug)]
struct Service {
    owner: Owner,
    settings: service::Service,
    controller: admission::Controller,
    first_token: admission::Latency,
    budget: retry::Budget,
    variants: Vec<request::Variant>,
    running: BTreeSet<Started>,
    starved_since: Option<Moment>,
}

/// A running attempt in the order of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Started {
    at: Moment,
    ticket: Ticket,
}

#[derive(Debug)]
struct Variant {
    /// Name that callers use.
    name: Option<String>,
    /// Name that engines load.
    version: Option<String>,
    weight: u32,
    pool: request::Pool,
}

#[derive(Debug)]
struct Record {
    request: Request,
    service: request::Service,
    variant: request::Variant,
    state: State,
    /// Number of the last attempt.
    attempt: u32,
    /// Failed attempts since the last token.
    failures: u32,
    /// Calls that targets refused.
    refusals: u32,
    /// Targets that have failed it.
    avoid: Vec<request::Target>,
    execution: Execution,
    /// Whether the caller holds a part of the answer.
    begun: bool,
    charged: bool,
    preempted: bool,
    give_up: Moment,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting,
    Paused,
    Running(Running),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    target: request::Target,
    at: Moment,
    uncached: u64,
    /// Prompt tokens that its target had to compute before.
    before: u64,
    started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Moment,
    event: Due,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    GiveUp(Ticket),
    Retry(Ticket),
    Refresh(request::Target),
}

/// State of the router.
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
    refreshes: SecondaryMap<request::Target, Moment>,
    actions: VecDeque<Action>,
}

impl Router {
    /// Makes a router that knows no service and no target.
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
            refreshes: SecondaryMap::new(),
            actions: VecDeque::new(),
        }
    }

    /// The next thing to do, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Router::tick`] has something to do next.
    pub fn next_timer(&self) -> Option<Moment> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Moment) {
        while let Some(timer) = self.timers.first().copied()
            && timer.at <= now
        {
            self.timers.remove(&timer);
            match timer.event {
                Due::GiveUp(ticket) => self.give_up(ticket, now),
                Due::Retry(ticket) => self.resume(ticket, now),
                Due::Refresh(target) => {
                    self.refreshes.remove(target);
                    self.refresh(target, now);
                }
            }
        }
        self.take_back(now);
        self.dispatch_waiting(now);
    }

    /// Sets how many instances of the data centre share its targets.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Own requests by target.
    pub fn outstanding(&self) -> impl Iterator<Item = Outstanding> {
        let targets = self.targets.values().filter(|target| target.outstanding > 0);
        targets.map(|target| Outstanding {
            target: target.description.name.clone(),
            requests: target.outstanding,
        })
    }

    /// What waits and runs.
    pub fn totals(&self) -> Totals {
        Totals {
            waiting: self.requests.len() - self.running,
            running: self.running,
            targets: self.targets.len(),
        }
    }

    /// Time that requests of a class now wait in a service before they are sent.
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

    fn schedule(&mut self, at: Moment, event: Due) {
        self.timers.insert(Timer { at, event });
    }
}
