//! The router and baselines as policies of the simulation.

use common::{clock::Moment, collections::Map, name, random::Random};
use route::{
    request::{Action, Event, Origin, Request, Retry, Ticket},
    router::{Owner, Router, Setup},
};
use settings::service;
use wire::target::Announcement;

use crate::fleet::{self, Command, Job, Policy};

/// Policy that uses the router of the `route` crate.
pub struct Routed {
    router: Router,
    commands: Vec<Command>,
    jobs: Map<Ticket, usize>,
    /// Ticket and latest attempt of each job.
    tickets: Map<usize, (Ticket, u32)>,
}

impl Routed {
    /// Creates the router of one instance among `instances`; the partners lend their engines to each other.
    pub fn new(partners: &[&str], instances: u32, seed: u64) -> Routed {
        let mut router = Router::new(Setup { seed, ..Setup::default() });
        router.set_instances(instances);
        for partner in partners {
            let owner = Owner {
                partner: name::Partner::from(*partner),
                service: name::Service::from("llm"),
            };
            router.configure(&owner, settings(partners));
        }
        Routed { router, commands: Vec::new(), jobs: Map::default(), tickets: Map::default() }
    }
}

/// Settings of a service with the model `m`, whose engines are lent to `partners`.
pub fn settings(partners: &[&str]) -> service::Service {
    let model = service::Model { name: String::from("m"), version: None, weight: 100 };
    let lend_to = partners.iter().map(|partner| String::from(*partner)).collect();
    let roles = service::Roles { lend_to, ..service::Roles::default() };
    service::Service { models: vec![model], roles, ..service::Service::default() }
}

impl Policy for Routed {
    fn submit(&mut self, job: &Job, now: Moment) {
        let request = Request {
            partner: name::Partner::from(job.partner),
            service: name::Service::from("llm"),
            organisation: job.organisation,
            model: Some(String::from("m")),
            priority: service::Priority::Standard,
            prompt_tokens: job.prompt,
            output_tokens: job.output,
            pieces: job.pieces.clone(),
            deadline: now + std::time::Duration::from_secs(30),
            retry: Retry::Allowed,
            origin: Origin::Caller,
        };
        match self.router.submit(request, now) {
            Ok(ticket) => {
                self.jobs.insert(ticket, job.id);
                self.tickets.insert(job.id, (ticket, 0));
            }
            Err(_refusal) => self.commands.push(Command::Refuse(job.id)),
        }
    }

    fn next_command(&mut self, _now: Moment) -> Option<Command> {
        if let Some(next) = self.commands.pop() {
            return Some(next);
        }
        Some(match self.router.next_action()? {
            Action::Dispatch(dispatch) => {
                let job = self.jobs[&dispatch.ticket];
                self.tickets.insert(job, (dispatch.ticket, dispatch.attempt));
                Command::Send(job, fleet::index_of(&dispatch.target))
            }
            Action::Preempt { ticket, .. } => Command::Cancel(self.jobs[&ticket]),
            Action::Refuse { ticket, .. } | Action::Fail { ticket, .. } => {
                Command::Refuse(self.jobs[&ticket])
            }
        })
    }

    fn report(&mut self, job: usize, event: Event, now: Moment) {
        if let Some((ticket, attempt)) = self.tickets.get(&job).copied() {
            self.router.report(ticket, attempt, event, now);
        }
    }

    fn handle_announcement(&mut self, _engine: usize, announcement: &Announcement, now: Moment) {
        self.router.handle_announcement(announcement, now);
    }

    fn outstanding(&self, engines: usize) -> Vec<u32> {
        let mut outstanding = vec![0; engines];
        for load in self.router.outstanding() {
            outstanding[fleet::index_of(&load.target)] = load.requests;
        }
        outstanding
    }

    fn set_peer_outstanding(&mut self, outstanding: &[u32], now: Moment) {
        for (engine, requests) in outstanding.iter().enumerate() {
            let name = name::Target(format!("engine-{engine}"));
            self.router.set_peer_outstanding(&name, *requests, now);
        }
    }

    fn tick(&mut self, now: Moment) {
        self.router.tick(now);
    }
}

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// At random.
    Random,
    /// In turn.
    RoundRobin,
    /// The engine with the least reported load.
    LeastReported,
    /// The engine with the fewest running requests of this instance.
    LeastOutstanding,
}

/// Baseline policy: sends each job at once, and up to twice again after a refusal or failure.
pub struct Baseline {
    strategy: Strategy,
    random: Random,
    reported: Vec<u32>,
    /// Number of requests that this instance runs on each engine.
    outstanding: Vec<u32>,
    engine_of: Map<usize, usize>,
    attempts: Map<usize, u32>,
    next: usize,
    commands: Vec<Command>,
}

const MAX_ATTEMPTS: u32 = 3;

impl Baseline {
    /// Creates the baseline of one instance.
    pub fn new(strategy: Strategy, engines: usize, seed: u64) -> Baseline {
        Baseline {
            strategy,
            random: Random::new(seed),
            reported: vec![0; engines],
            outstanding: vec![0; engines],
            engine_of: Map::default(),
            attempts: Map::default(),
            next: usize::try_from(seed).unwrap_or_default(),
            commands: Vec::new(),
        }
    }

    fn choose(&mut self) -> usize {
        let count = self.outstanding.len();
        match self.strategy {
            Strategy::Random => self.random.below(count),
            Strategy::RoundRobin => {
                self.next += 1;
                self.next % count
            }
            Strategy::LeastReported => least(&self.reported, &mut self.random),
            Strategy::LeastOutstanding => least(&self.outstanding, &mut self.random),
        }
    }

    fn send(&mut self, job: usize) {
        let engine = self.choose();
        self.outstanding[engine] += 1;
        self.engine_of.insert(job, engine);
        *self.attempts.entry(job).or_default() += 1;
        self.commands.push(Command::Send(job, engine));
    }

    fn end(&mut self, job: usize) {
        if let Some(engine) = self.engine_of.remove(&job) {
            self.outstanding[engine] -= 1;
        }
    }
}

fn least(loads: &[u32], random: &mut Random) -> usize {
    let lowest = loads.iter().min().copied().unwrap_or_default();
    let best: Vec<usize> = (0..loads.len()).filter(|index| loads[*index] == lowest).collect();
    best[random.below(best.len())]
}

impl Policy for Baseline {
    fn submit(&mut self, job: &Job, _now: Moment) {
        self.send(job.id);
    }

    fn next_command(&mut self, _now: Moment) -> Option<Command> {
        self.commands.pop()
    }

    fn report(&mut self, job: usize, event: Event, _now: Moment) {
        match event {
            Event::Started | Event::Silent | Event::Resumed => {}
            Event::Finished => self.end(job),
            Event::Full | Event::Unavailable | Event::Unsent | Event::Broken => {
                self.end(job);
                if self.attempts[&job] < MAX_ATTEMPTS {
                    self.send(job);
                } else {
                    self.commands.push(Command::Refuse(job));
                }
            }
        }
    }

    fn handle_announcement(&mut self, engine: usize, announcement: &Announcement, _now: Moment) {
        self.reported[engine] = announcement.load.running + announcement.load.waiting;
    }

    fn outstanding(&self, _engines: usize) -> Vec<u32> {
        self.outstanding.clone()
    }

    fn set_peer_outstanding(&mut self, _outstanding: &[u32], _now: Moment) {}

    fn tick(&mut self, _now: Moment) {}
}
