//! Engines as simple queues in virtual time, in front of a policy that is measured.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use common::{clock::Moment, collections::Map, name, random::Random, role::Role};
use route::request::Event;
use wire::target::{self, Announcement, Load};

use crate::engine::{self, Engine};

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the job.
    pub id: usize,
    /// Name of its partner.
    pub partner: &'static str,
    /// Hash of its organisation.
    pub organisation: u64,
    /// Chained hashes of its prompt.
    pub pieces: Vec<u64>,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its answer.
    pub output: u64,
    /// When it arrives.
    pub arrival: Moment,
}

/// What a policy wants done.
#[derive(Clone, Copy, Debug)]
pub enum Move {
    /// Send the job to an engine.
    Send(usize, usize),
    /// Cancel the job's attempt; it is sent again later.
    Stop(usize),
    /// Tell the caller that it did not run, or failed.
    Refuse(usize),
}

/// A policy on one instance.
pub trait Policy {
    /// Takes in a job.
    fn submit(&mut self, job: &Job, now: Moment);
    /// The next thing to do.
    fn next_move(&mut self, now: Moment) -> Option<Move>;
    /// Takes in what became of a job's attempt.
    fn report(&mut self, job: usize, event: Event, now: Moment);
    /// Takes in an announcement.
    fn observe(&mut self, engine: usize, announcement: &Announcement, now: Moment);
    /// Own requests on each engine.
    fn outstanding(&self, engines: usize) -> Vec<u32>;
    /// Takes in the neighbours' requests on each engine.
    fn hear(&mut self, outstanding: &[u32], now: Moment);
    /// Runs what is due.
    fn tick(&mut self, now: Moment);
}

/// Conditions of a run.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Engines.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Requests that wait at an engine before it answers "full".
    pub waiting: usize,
    /// Pieces that an engine caches.
    pub cache: usize,
    /// Age of a report when it arrives.
    pub stale: Duration,
    /// Share of cache events that are lost, and share that come out of order.
    pub lost_events: f64,
    /// Engines that fail every call, from the end of the list.
    pub failing: usize,
    /// Owner of each engine.
    pub owners: Vec<&'static str>,
    /// Seed.
    pub seed: u64,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            engines: 20,
            slots: 16,
            waiting: 16,
            cache: 64,
            stale: Duration::ZERO,
            lost_events: 0.05,
            failing: 0,
            owners: vec!["association"],
            seed: 1,
        }
    }
}

/// What became of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    /// When its first token came.
    pub first: Option<Moment>,
    /// Whether it ended.
    pub finished: bool,
    /// Whether it was refused.
    pub refused: bool,
    /// Attempts sent.
    pub sent: u32,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By job.
    pub fates: Vec<Fate>,
    /// Prompt tokens offered to engines.
    pub prompt_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Jobs that each engine has started.
    pub started: Vec<u64>,
    /// Calls answered "full".
    pub full: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive(usize),
    First(usize, u32),
    Finish(usize, u32),
    Announce(usize),
    Deliver(usize),
    Gossip,
    Tick,
}

const PROMPT_MS_PER_TOKEN: f64 = 0.05;
const GAP_MS: f64 = 20.0;
const PERIOD: Duration = Duration::from_secs(1);
const GOSSIP: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(20);

/// A run of a load against policies on several instances.
pub struct Fleet<P> {
    conditions: Conditions,
    engines: Vec<Engine>,
    policies: Vec<P>,
    jobs: Vec<Job>,
    at: Map<usize, usize>,
    attempts: Vec<u32>,
    mail: Vec<Announcement>,
    heap: BinaryHeap<Reverse<(Moment, u64, Due)>>,
    pushed: u64,
    random: Random,
    outcome: Outcome,
    end: Moment,
}

impl<P: Policy> Fleet<P> {
    /// Prepares a run.
    pub fn new(conditions: Conditions, policies: Vec<P>, jobs: Vec<Job>) -> Fleet<P> {
        let end = jobs.last().map_or(Moment(0), |job| job.arrival) + Duration::from_secs(40);
        let outcome = Outcome {
            fates: vec![Fate::default(); jobs.len()],
            started: vec![0; conditions.engines],
            ..Outcome::default()
        };
        Fleet {
            engines: (0..conditions.engines).map(|_| Engine::default()).collect(),
            random: Random::new(conditions.seed),
            attempts: vec![0; jobs.len()],
            at: Map::default(),
            mail: Vec::new(),
            heap: BinaryHeap::new(),
            pushed: 0,
            conditions,
            policies,
            jobs,
            outcome,
            end,
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        for engine in 0..self.engines.len() {
            let first = self.announcement(engine, Moment(1_000));
            for policy in &mut self.policies {
                policy.observe(engine, &first, Moment(1_000));
            }
            self.push(Moment(1_000 + engine as u64 * 37 % 1_000), Due::Announce(engine));
        }
        for job in 0..self.jobs.len() {
            self.push(self.jobs[job].arrival, Due::Arrive(job));
        }
        self.push(Moment(1_000), Due::Gossip);
        self.push(Moment(1_000), Due::Tick);
        while let Some(Reverse((now, _, due))) = self.heap.pop()
            && now < self.end
        {
            self.step(due, now);
            for instance in 0..self.policies.len() {
                self.carry_out(instance, now);
            }
        }
        self.outcome
    }

    fn step(&mut self, due: Due, now: Moment) {
        match due {
            Due::Arrive(job) => {
                let instance = self.instance(job);
                self.policies[instance].submit(&self.jobs[job], now);
            }
            Due::First(job, attempt) if self.attempts[job] == attempt => {
                self.outcome.fates[job].first.get_or_insert(now);
                let instance = self.instance(job);
                self.policies[instance].report(job, Event::Started, now);
            }
            Due::Finish(job, attempt) if self.attempts[job] == attempt => {
                self.outcome.fates[job].finished = true;
                self.free(job, now);
                let instance = self.instance(job);
                self.policies[instance].report(job, Event::Finished, now);
            }
            Due::First(..) | Due::Finish(..) => {}
            Due::Announce(engine) => {
                let message = self.announcement(engine, now);
                self.mail.push(message);
                self.push(now + self.conditions.stale, Due::Deliver(self.mail.len() - 1));
                self.push(now + PERIOD, Due::Announce(engine));
            }
            Due::Deliver(index) => self.deliver(index, now),
            Due::Gossip => {
                self.gossip(now);
                self.push(now + GOSSIP, Due::Gossip);
            }
            Due::Tick => {
                self.policies.iter_mut().for_each(|policy| policy.tick(now));
                self.push(now + TICK, Due::Tick);
            }
        }
    }

    fn carry_out(&mut self, instance: usize, now: Moment) {
        while let Some(wanted) = self.policies[instance].next_move(now) {
            match wanted {
                Move::Send(job, engine) => self.send(job, engine, now),
                Move::Refuse(job) => self.outcome.fates[job].refused = true,
                Move::Stop(job) => {
                    self.attempts[job] += 1;
                    self.free(job, now);
                }
            }
        }
    }

    fn send(&mut self, job: usize, engine: usize, now: Moment) {
        self.outcome.fates[job].sent += 1;
        let instance = self.instance(job);
        let Conditions { engines, failing, slots, waiting, .. } = self.conditions;
        if engine >= engines - failing {
            self.policies[instance].report(job, Event::Broken, now);
            return;
        }
        let state = &mut self.engines[engine];
        if state.running + state.waiting.len() >= slots + waiting {
            self.outcome.full += 1;
            self.policies[instance].report(job, Event::Full, now);
            return;
        }
        self.at.insert(job, engine);
        if state.running >= slots {
            state.waiting.push_back(job);
        } else {
            self.start(job, engine, now);
        }
    }

    fn start(&mut self, job: usize, engine: usize, now: Moment) {
        let work = &self.jobs[job];
        let state = &mut self.engines[engine];
        state.running += 1;
        self.outcome.started[engine] += 1;
        let hits = work.pieces.iter().take_while(|piece| state.cache.contains(piece)).count();
        let cached = (hits * common::piece::TOKENS) as u64;
        self.outcome.prompt_tokens += work.prompt;
        self.outcome.cached_tokens += cached;
        engine::store(state, &work.pieces, self.conditions.cache);
        let compute = (work.prompt - cached) as f64 * PROMPT_MS_PER_TOKEN;
        state.prompt_until = state.prompt_until.max(now.0 as f64) + compute;
        let gap = GAP_MS * (1.0 + state.running as f64 / self.conditions.slots as f64);
        let first = state.prompt_until + gap;
        let end = first + work.output as f64 * gap;
        let attempt = self.attempts[job];
        self.push(Moment(first as u64), Due::First(job, attempt));
        self.push(Moment(end as u64), Due::Finish(job, attempt));
    }

    fn free(&mut self, job: usize, now: Moment) {
        let Some(engine) = self.at.remove(&job) else {
            return;
        };
        let state = &mut self.engines[engine];
        if let Some(position) = state.waiting.iter().position(|waiting| *waiting == job) {
            state.waiting.remove(position);
            return;
        }
        state.running -= 1;
        if let Some(next) = state.waiting.pop_front() {
            self.start(next, engine, now);
        }
    }

    fn deliver(&mut self, index: usize, now: Moment) {
        let mut message = self.mail[index].clone();
        message.load.age_ms = u64::try_from(self.conditions.stale.as_millis()).unwrap_or(u64::MAX);
        let lost = self.conditions.lost_events;
        message.cache_events.retain(|_| self.random.unit() >= lost);
        if message.cache_events.len() > 1 && self.random.unit() < lost {
            message.cache_events.reverse();
        }
        let engine = index_of(&message.target);
        for policy in &mut self.policies {
            policy.observe(engine, &message, now);
        }
    }

    fn gossip(&mut self, now: Moment) {
        let count = self.engines.len();
        let own: Vec<Vec<u32>> =
            self.policies.iter().map(|policy| policy.outstanding(count)).collect();
        for (instance, policy) in self.policies.iter_mut().enumerate() {
            let others = own.iter().enumerate().filter(|(other, _)| *other != instance);
            let mut sums = vec![0; count];
            others.for_each(|(_, own)| sums.iter_mut().zip(own).for_each(|(sum, n)| *sum += n));
            policy.hear(&sums, now);
        }
    }

    fn announcement(&mut self, engine: usize, now: Moment) -> Announcement {
        let owner = self.conditions.owners[engine % self.conditions.owners.len()];
        let state = &mut self.engines[engine];
        state.sequence += 1;
        let queued = (state.prompt_until - now.0 as f64).max(0.0) / PROMPT_MS_PER_TOKEN;
        Announcement {
            target: name::Target(format!("engine-{engine}")),
            incarnation: 1,
            sequence: state.sequence,
            address: "127.0.0.1:1".parse().expect("invariant: a fixed address"),
            kind: target::Kind::Engine,
            partner: name::Partner::from(owner),
            service: name::Service::from("llm"),
            data_centre: name::DataCentre::from("suva"),
            models: vec![String::from("m")],
            role: Role::Mixed,
            fencing: target::Fencing::Checked,
            cache_pieces: 0,
            slots: self.conditions.slots as u32,
            lease_ms: 10_000,
            phase: target::Phase::Ready,
            load: Load {
                running: state.running as u32,
                waiting: state.waiting.len() as u32,
                queued_prompt_tokens: queued as u64,
                ..Load::default()
            },
            cache_events: std::mem::take(&mut state.events),
        }
    }

    fn instance(&self, job: usize) -> usize {
        job % self.policies.len()
    }

    fn push(&mut self, at: Moment, due: Due) {
        self.pushed += 1;
        self.heap.push(Reverse((at, self.pushed, due)));
    }
}

/// Index of an engine by its name.
pub fn index_of(name: &name::Target) -> usize {
    let digits = name.0.trim_start_matches("engine-");
    digits.parse().expect("invariant: engines are numbered")
}
