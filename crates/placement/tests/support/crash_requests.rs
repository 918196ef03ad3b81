//! Simulated fleet whose targets end when they begin to run copies of one request.

use std::collections::VecDeque;

use common::{clock::Moment, random::Random};
use fleet::exchange::{Crashes, Digest};
use placement::quarantine::request::{Place, Quarantine};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 120_000;
/// When copies of the crashing request begin to come.
const BEGIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
const DOWN_MS: u64 = 2_500;
/// Time from the arrival of the crashing request at a target until the target ends.
const CRASH_MS: u64 = 40;
const RUN_MS: u64 = 150;
const REPAIR_MS: u64 = 1_000;
const RESTART_MS: u64 = 1_000;
const CUT_MS: u64 = 6_000;
const SLOTS: usize = 64;
const ATTEMPTS: u32 = 2;
/// Ends of targets after which the request may reach targets three times more, within `CONTACT_MS` any number of times.
const COUNTED_ENDS: usize = 3;
const CRASHING: Digest = Digest(1);
/// A sound request that comes again and again.
const POLL: Digest = Digest(2);
const POLL_INTERVAL_MS: u64 = 20;
/// Time from the return of targets that ended together until they end again, while the first polls run.
const SECOND_END_MS: u64 = 100;

/// What happens in a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    pub targets: usize,
    /// Single copies of the crashing request, a second.
    pub copies_per_s: f64,
    /// Time between two rounds in which all instances get a copy at once.
    pub round_ms: u64,
    /// Sound requests, each unlike all others, a second.
    pub sound_per_s: f64,
    /// Ends of all targets together, each followed by a second one as soon as they are back.
    pub common_ends: usize,
    /// Share of the notices that are lost.
    pub loss: f64,
    pub restarts: usize,
    /// Instances that are added.
    pub starts: usize,
    /// Instances that exchange nothing for some seconds, at some time.
    pub cuts: usize,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub ends: usize,
    /// Copies of the crashing request that reached targets from instances in touch, too late.
    pub late: usize,
    /// Sound requests that were refused, polls apart.
    pub refused: usize,
    /// Longest time in which all polls were refused.
    pub longest_refusal_ms: u64,
}

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    /// Number of the instance's process; a restart breaks its requests off.
    process: u32,
    digest: Digest,
    began: u64,
    attempt: u32,
}

#[derive(Debug, Default)]
struct Target {
    down_until: u64,
    processes: u64,
    running: Vec<Request>,
}

#[derive(Debug, Default)]
struct Instance {
    quarantine: Quarantine,
    process: u32,
    down_until: u64,
    cuts: Vec<u64>,
    disturbed_until: u64,
}

struct Simulation<'a> {
    plan: &'a Plan,
    random: Random,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    /// Notices under way: when they arrive, and at which instance.
    notices: VecDeque<(u64, usize, Crashes)>,
    /// When targets ended under the crashing request.
    ends: Vec<u64>,
    sends: Vec<(u64, bool)>,
    refused: usize,
    polls_refused_since: Option<u64>,
    longest_refusal_ms: u64,
    now: u64,
}

/// Plays a plan.
pub fn simulate(plan: &Plan, seed: u64) -> Figures {
    let mut random = Random::new(seed ^ 0x5eed);
    let mut instances: Vec<Instance> = (0..plan.instances).map(|_| Instance::default()).collect();
    for _ in 0..plan.cuts {
        let from = BEGIN_MS + random.below(20_000) as u64;
        instances[random.below(plan.instances)].cuts.push(from);
    }
    let time = |random: &mut Random| BEGIN_MS + random.below(40_000) as u64 / STEP_MS * STEP_MS;
    let restarts: Vec<(u64, usize)> =
        (0..plan.restarts).map(|_| (time(&mut random), random.below(plan.instances))).collect();
    let starts: Vec<u64> = (0..plan.starts).map(|_| time(&mut random)).collect();
    let first_ends: Vec<u64> = (0..plan.common_ends).map(|_| time(&mut random)).collect();
    let second_ends = first_ends.iter().map(|at| at + DOWN_MS + SECOND_END_MS);
    let common_ends: Vec<u64> = first_ends.iter().copied().chain(second_ends).collect();
    let mut simulation = Simulation {
        plan,
        random,
        instances,
        targets: (0..plan.targets).map(|_| Target::default()).collect(),
        notices: VecDeque::new(),
        ends: Vec::new(),
        sends: Vec::new(),
        refused: 0,
        polls_refused_since: None,
        longest_refusal_ms: 0,
        now: 0,
    };
    while simulation.now < LENGTH_MS {
        let now = simulation.now;
        for (_, instance) in restarts.iter().filter(|(at, _)| *at == now) {
            simulation.restart(*instance);
        }
        for _ in starts.iter().filter(|at| **at == now) {
            simulation.instances.push(Instance::default());
            simulation.restart(simulation.instances.len() - 1);
        }
        for _ in common_ends.iter().filter(|at| **at == now) {
            (0..plan.targets).for_each(|target| simulation.end_target(target, false));
        }
        simulation.step();
        simulation.now += STEP_MS;
    }
    simulation.figures()
}

impl Simulation<'_> {
    fn moment(&self) -> Moment {
        Moment(1_000_000 + self.now)
    }

    fn step(&mut self) {
        self.start_instances();
        self.deliver_notices();
        if self.now.is_multiple_of(REPAIR_MS) {
            self.repair();
        }
        self.run_targets();
        let step_s = STEP_MS as f64 / 1e3;
        for _ in 0..self.draw(self.plan.sound_per_s * step_s) {
            let digest = Digest(u128::from(self.random.next_u64()) + 10);
            self.arrive_anywhere(digest);
        }
        if self.now.is_multiple_of(POLL_INTERVAL_MS) {
            self.arrive_anywhere(POLL);
        }
        if self.now < BEGIN_MS {
            return;
        }
        for _ in 0..self.draw(self.plan.copies_per_s * step_s) {
            self.arrive_anywhere(CRASHING);
        }
        if self.plan.round_ms > 0 && self.now.is_multiple_of(self.plan.round_ms) {
            (0..self.instances.len()).for_each(|instance| self.dispatch(instance, CRASHING, 1));
        }
    }

    /// A number of events with this mean, less than one apart from the integral part.
    fn draw(&mut self, mean: f64) -> usize {
        let whole = mean.floor();
        whole as usize + usize::from(self.random.unit() < mean - whole)
    }

    fn is_cut(&self, instance: usize) -> bool {
        let cuts = &self.instances[instance].cuts;
        cuts.iter().any(|from| (*from..from + CUT_MS).contains(&self.now))
    }

    fn is_up(&self, instance: usize) -> bool {
        self.instances[instance].down_until <= self.now
    }

    fn is_in_touch(&self, instance: usize) -> bool {
        let undisturbed = self.instances[instance].disturbed_until <= self.now;
        let cuts = &self.instances[instance].cuts;
        let cut = cuts.iter().any(|from| (*from..from + CUT_MS + CONTACT_MS).contains(&self.now));
        undisturbed && !cut
    }

    fn restart(&mut self, number: usize) {
        let now = self.now;
        let instance = &mut self.instances[number];
        instance.quarantine = Quarantine::default();
        instance.process += 1;
        instance.down_until = now + RESTART_MS;
        instance.disturbed_until = now + RESTART_MS + CONTACT_MS;
    }

    /// An instance that starts asks another one for what it knows.
    fn start_instances(&mut self) {
        let moment = self.moment();
        for number in 0..self.instances.len() {
            let starts = self.instances[number].down_until == self.now && self.now > 0;
            if !starts || self.is_cut(number) {
                continue;
            }
            let others: Vec<usize> = (0..self.instances.len())
                .filter(|other| *other != number && self.is_up(*other) && !self.is_cut(*other))
                .collect();
            if !others.is_empty() {
                let other = others[self.random.below(others.len())];
                for state in self.instances[other].quarantine.states(moment) {
                    self.instances[number].quarantine.merge(&state, moment);
                }
            }
        }
    }

    fn send_notice(&mut self, from: usize, to: usize, state: &Crashes) {
        let lost = self.random.unit() < self.plan.loss;
        if from != to && !lost && !self.is_cut(from) && !self.is_cut(to) {
            self.notices.push_back((self.now + STEP_MS, to, state.clone()));
        }
    }

    fn notify(&mut self, from: usize, changed: impl IntoIterator<Item = Crashes>) {
        for state in changed {
            (0..self.instances.len()).for_each(|to| self.send_notice(from, to, &state));
        }
    }

    fn deliver_notices(&mut self) {
        let moment = self.moment();
        while self.notices.front().is_some_and(|(at, _, _)| *at <= self.now) {
            let (_, to, state) = self.notices.pop_front().unwrap();
            if self.is_up(to) {
                let objection = self.instances[to].quarantine.merge(&state, moment);
                self.notify(to, objection);
            }
        }
    }

    fn repair(&mut self) {
        let moment = self.moment();
        for from in (0..self.instances.len()).filter(|from| self.is_up(*from)).collect::<Vec<_>>() {
            let known = self.instances[from].quarantine.repeated_states(moment);
            for _ in 0..2 {
                let to = self.random.below(self.instances.len());
                for state in &known {
                    self.send_notice(from, to, state);
                }
            }
        }
    }

    fn arrive_anywhere(&mut self, digest: Digest) {
        let instance = self.random.below(self.instances.len());
        self.dispatch(instance, digest, 1);
    }

    fn dispatch(&mut self, instance: usize, digest: Digest, attempt: u32) {
        if !self.is_up(instance) {
            return;
        }
        let (now, moment) = (self.now, self.moment());
        let free: Vec<usize> = (0..self.targets.len())
            .filter(|target| {
                let target = &self.targets[*target];
                target.down_until <= now && target.running.len() < SLOTS
            })
            .collect();
        if free.is_empty() {
            return;
        }
        let place =
            Some(Place { position: instance as u32, instances: self.instances.len() as u32 });
        let known = &mut self.instances[instance].quarantine;
        let Ok(changed) = known.begin(digest, place, moment) else {
            if digest == POLL {
                self.polls_refused_since = self.polls_refused_since.or(Some(now));
            } else if digest != CRASHING {
                self.refused += 1;
            }
            return;
        };
        self.notify(instance, changed);
        let process = self.instances[instance].process;
        let target = free[self.random.below(free.len())];
        self.targets[target].running.push(Request {
            instance,
            process,
            digest,
            began: now,
            attempt,
        });
        if digest == CRASHING {
            let in_touch = self.is_in_touch(instance);
            self.sends.push((now, in_touch));
        }
    }

    fn run_targets(&mut self) {
        for target in 0..self.targets.len() {
            let now = self.now;
            let crashes =
                |request: &Request| request.digest == CRASHING && now >= request.began + CRASH_MS;
            if self.targets[target].running.iter().any(crashes) {
                self.end_target(target, true);
                continue;
            }
            let running = std::mem::take(&mut self.targets[target].running);
            let (ended, running): (Vec<Request>, Vec<Request>) =
                running.into_iter().partition(|request| now >= request.began + RUN_MS);
            self.targets[target].running = running;
            for request in ended {
                self.complete(&request);
            }
        }
    }

    fn lives(&self, request: &Request) -> bool {
        self.instances[request.instance].process == request.process
    }

    fn complete(&mut self, request: &Request) {
        if request.digest == POLL
            && let Some(since) = self.polls_refused_since.take()
        {
            self.longest_refusal_ms = self.longest_refusal_ms.max(self.now - since);
        }
        if !self.lives(request) {
            return;
        }
        let moment = self.moment();
        let known = &mut self.instances[request.instance].quarantine;
        let changed = known.record_success(request.digest, moment);
        self.notify(request.instance, changed);
    }

    fn end_target(&mut self, number: usize, by_request: bool) {
        let moment = self.moment();
        let target = &mut self.targets[number];
        if target.down_until > self.now {
            return;
        }
        target.down_until = self.now + DOWN_MS;
        target.processes += 1;
        let process = (number as u64) << 32 | target.processes;
        let broken = std::mem::take(&mut target.running);
        if by_request {
            self.ends.push(self.now);
        }
        for request in broken {
            if !self.lives(&request) {
                continue;
            }
            let Request { instance, digest, attempt, .. } = request;
            let changed = self.instances[instance].quarantine.record_end(digest, process, moment);
            self.notify(instance, changed);
            if attempt < ATTEMPTS {
                self.dispatch(instance, digest, attempt + 1);
            }
        }
    }

    fn figures(&self) -> Figures {
        let third = self.ends.get(COUNTED_ENDS - 1).copied().unwrap_or(u64::MAX - CONTACT_MS);
        let late = |(at, in_touch): &&(u64, bool)| *in_touch && *at > third + CONTACT_MS;
        let refusing = self.polls_refused_since.map_or(0, |since| self.now - since);
        Figures {
            ends: self.ends.len(),
            late: self.sends.iter().filter(late).count(),
            refused: self.refused,
            longest_refusal_ms: self.longest_refusal_ms.max(refusing),
        }
    }
}
