//! Simulation in virtual time: instances with a routing policy send jobs to queue models of engines.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use common::{clock::Moment, collections::Map, name, random::Random, role::Role};
use route::request::Event;
use wire::target::{self, Announcement, Load};

use crate::engine::{self, Engine};

/// A request of the simulated load.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the job.
    pub id: usize,
    /// Name of its partner.
    pub partner: &'static str,
    /// Hash of its organisation.
    pub organisation: u64,
    /// Chained hashes of its prompt's pieces.
    pub pieces: Vec<u64>,
    /// Length of its prompt, in tokens.
    pub prompt: u64,
    /// Length of its answer, in tokens.
    pub output: u64,
    /// Time of its arrival.
    pub arrival: Moment,
}

/// What a policy tells the simulation to do.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Send the job (first) to the engine (second).
    Send(usize, usize),
    /// Cancel the job's attempt; the job is sent again later.
    Cancel(usize),
    /// Refuse or fail the job.
    Refuse(usize),
}

/// Routing policy of one instance.
pub trait Policy {
    /// Accepts a job that has arrived at the instance.
    fn submit(&mut self, job: &Job, now: Moment);
    /// Removes and returns the next command, if any.
    fn next_command(&mut self, now: Moment) -> Option<Command>;
    /// Handles a report on a job's attempt.
    fn report(&mut self, job: usize, event: Event, now: Moment);
    /// Handles an engine's announcement.
    fn handle_announcement(&mut self, engine: usize, announcement: &Announcement, now: Moment);
    /// Number of this instance's running requests on each engine.
    fn outstanding(&self, engines: usize) -> Vec<u32>;
    /// Sets the number of the other instances' running requests on each engine.
    fn set_peer_outstanding(&mut self, outstanding: &[u32], now: Moment);
    /// Runs the tasks that are due.
    fn tick(&mut self, now: Moment);
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Number of engines.
    pub engines: usize,
    /// Maximum number of jobs that an engine runs at once.
    pub slots: usize,
    /// Maximum number of jobs that wait at an engine; further ones are refused as "full".
    pub waiting: usize,
    /// Capacity of an engine's prefix cache, in pieces.
    pub cache: usize,
    /// Age of an announcement when it arrives.
    pub report_age: Duration,
    /// Probability that a cache event is lost, and that the events of an announcement arrive in reverse order.
    pub lost_events: f64,
    /// Number of engines that fail every call: the last ones.
    pub failing: usize,
    /// Partners that own the engines, in turn.
    pub owners: Vec<&'static str>,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            engines: 20,
            slots: 16,
            waiting: 16,
            cache: 64,
            report_age: Duration::ZERO,
            lost_events: 0.05,
            failing: 0,
            owners: vec!["association"],
            seed: 1,
        }
    }
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Time of its first token.
    pub first: Option<Moment>,
    /// Whether its answer was completed.
    pub finished: bool,
    /// Whether it was refused or failed.
    pub refused: bool,
    /// Number of attempts sent.
    pub sent: u32,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Outcome of each job.
    pub outcomes: Vec<Outcome>,
    /// Prompt tokens of all attempts that engines have started.
    pub prompt_tokens: u64,
    /// Prompt tokens of these that were cached.
    pub cached_tokens: u64,
    /// Number of attempts that each engine has started.
    pub started: Vec<u64>,
    /// Number of calls refused as "full".
    pub full: u64,
}

/// Event of the simulation; jobs, engines and announcements by index, attempts by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Arrive(usize),
    FirstToken(usize, u32),
    Finish(usize, u32),
    Announce(usize),
    Deliver(usize),
    Gossip,
    Tick,
}

const PROMPT_MS_PER_TOKEN: f64 = 0.05;
const TOKEN_GAP_MS: f64 = 20.0;
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(1);
const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Simulation of several instances with a policy each, and of their engines.
pub struct Fleet<P> {
    conditions: Conditions,
    engines: Vec<Engine>,
    policies: Vec<P>,
    jobs: Vec<Job>,
    engine_of: Map<usize, usize>,
    attempts: Vec<u32>,
    announcements: Vec<Announcement>,
    queue: BinaryHeap<Reverse<(Moment, u64, Task)>>,
    sequence: u64,
    random: Random,
    results: Results,
    end: Moment,
}

impl<P: Policy> Fleet<P> {
    /// Prepares a simulation of `jobs`, with one instance for each policy; it ends 40 s after the last arrival.
    pub fn new(conditions: Conditions, policies: Vec<P>, jobs: Vec<Job>) -> Fleet<P> {
        let end = jobs.last().map_or(Moment(0), |job| job.arrival) + Duration::from_secs(40);
        let results = Results {
            outcomes: vec![Outcome::default(); jobs.len()],
            started: vec![0; conditions.engines],
            ..Results::default()
        };
        Fleet {
            engines: (0..conditions.engines).map(|_| Engine::default()).collect(),
            random: Random::new(conditions.seed),
            attempts: vec![0; jobs.len()],
            engine_of: Map::default(),
            announcements: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            conditions,
            policies,
            jobs,
            results,
            end,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        for engine in 0..self.engines.len() {
            let first = self.announcement(engine, Moment(1_000));
            for policy in &mut self.policies {
                policy.handle_announcement(engine, &first, Moment(1_000));
            }
            self.push(Moment(1_000 + engine as u64 * 37 % 1_000), Task::Announce(engine));
        }
        for job in 0..self.jobs.len() {
            self.push(self.jobs[job].arrival, Task::Arrive(job));
        }
        self.push(Moment(1_000), Task::Gossip);
        self.push(Moment(1_000), Task::Tick);
        while let Some(Reverse((now, _, task))) = self.queue.pop()
            && now < self.end
        {
            self.run_task(task, now);
            for instance in 0..self.policies.len() {
                self.run_commands(instance, now);
            }
        }
        self.results
    }

    fn run_task(&mut self, task: Task, now: Moment) {
        match task {
            Task::Arrive(job) => {
                let instance = self.instance(job);
                self.policies[instance].submit(&self.jobs[job], now);
            }
            Task::FirstToken(job, attempt) if self.attempts[job] == attempt => {
                self.results.outcomes[job].first.get_or_insert(now);
                let instance = self.instance(job);
                self.policies[instance].report(job, Event::Started, now);
            }
            Task::Finish(job, attempt) if self.attempts[job] == attempt => {
                self.results.outcomes[job].finished = true;
                self.release(job, now);
                let instance = self.instance(job);
                self.policies[instance].report(job, Event::Finished, now);
            }
            Task::FirstToken(..) | Task::Finish(..) => {}
            Task::Announce(engine) => {
                let message = self.announcement(engine, now);
                self.announcements.push(message);
                self.push(
                    now + self.conditions.report_age,
                    Task::Deliver(self.announcements.len() - 1),
                );
                self.push(now + ANNOUNCEMENT_PERIOD, Task::Announce(engine));
            }
            Task::Deliver(index) => self.deliver(index, now),
            Task::Gossip => {
                self.gossip(now);
                self.push(now + GOSSIP_PERIOD, Task::Gossip);
            }
            Task::Tick => {
                self.policies.iter_mut().for_each(|policy| policy.tick(now));
                self.push(now + TICK_PERIOD, Task::Tick);
            }
        }
    }

    fn run_commands(&mut self, instance: usize, now: Moment) {
        while let Some(command) = self.policies[instance].next_command(now) {
            match command {
                Command::Send(job, engine) => self.send(job, engine, now),
                Command::Refuse(job) => self.results.outcomes[job].refused = true,
                Command::Cancel(job) => {
                    self.attempts[job] += 1;
                    self.release(job, now);
                }
            }
        }
    }

    fn send(&mut self, job: usize, engine: usize, now: Moment) {
        self.results.outcomes[job].sent += 1;
        let instance = self.instance(job);
        let Conditions { engines, failing, slots, waiting, .. } = self.conditions;
        if engine >= engines - failing {
            self.policies[instance].report(job, Event::Broken, now);
            return;
        }
        let state = &mut self.engines[engine];
        if state.running + state.waiting.len() >= slots + waiting {
            self.results.full += 1;
            self.policies[instance].report(job, Event::Full, now);
            return;
        }
        self.engine_of.insert(job, engine);
        if state.running >= slots {
            state.waiting.push_back(job);
        } else {
            self.start(job, engine, now);
        }
    }

    fn start(&mut self, job: usize, engine: usize, now: Moment) {
        let request = &self.jobs[job];
        let state = &mut self.engines[engine];
        state.running += 1;
        self.results.started[engine] += 1;
        let hits = request.pieces.iter().take_while(|piece| state.cache.contains(piece)).count();
        let cached = (hits * common::piece::TOKENS) as u64;
        self.results.prompt_tokens += request.prompt;
        self.results.cached_tokens += cached;
        engine::store(state, &request.pieces, self.conditions.cache);
        let compute = (request.prompt - cached) as f64 * PROMPT_MS_PER_TOKEN;
        state.prompts_until_ms = state.prompts_until_ms.max(now.0 as f64) + compute;
        let gap = TOKEN_GAP_MS * (1.0 + state.running as f64 / self.conditions.slots as f64);
        let first = state.prompts_until_ms + gap;
        let end = first + request.output as f64 * gap;
        let attempt = self.attempts[job];
        self.push(Moment(first as u64), Task::FirstToken(job, attempt));
        self.push(Moment(end as u64), Task::Finish(job, attempt));
    }

    fn release(&mut self, job: usize, now: Moment) {
        let Some(engine) = self.engine_of.remove(&job) else {
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
        let mut message = self.announcements[index].clone();
        message.load.age_ms =
            u64::try_from(self.conditions.report_age.as_millis()).unwrap_or(u64::MAX);
        let loss = self.conditions.lost_events;
        message.cache_events.retain(|_| self.random.unit() >= loss);
        if message.cache_events.len() > 1 && self.random.unit() < loss {
            message.cache_events.reverse();
        }
        let engine = index_of(&message.target);
        for policy in &mut self.policies {
            policy.handle_announcement(engine, &message, now);
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
            policy.set_peer_outstanding(&sums, now);
        }
    }

    fn announcement(&mut self, engine: usize, now: Moment) -> Announcement {
        let owner = self.conditions.owners[engine % self.conditions.owners.len()];
        let state = &mut self.engines[engine];
        state.sequence += 1;
        let queued = (state.prompts_until_ms - now.0 as f64).max(0.0) / PROMPT_MS_PER_TOKEN;
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

    fn push(&mut self, at: Moment, task: Task) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, task)));
    }
}

/// Index of an engine by its name.
pub fn index_of(name: &name::Target) -> usize {
    let digits = name.0.trim_start_matches("engine-");
    digits.parse().expect("invariant: engines are numbered")
}
