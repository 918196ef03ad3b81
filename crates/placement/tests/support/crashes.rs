//! Simulated fleet whose engines end on a part of prompts.

use std::collections::VecDeque;

use common::{clock::Moment, random::Random};
use fleet::exchange::Suspicion;
use placement::quarantine::{Quarantine, Ticket, Trials};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 22_000;
/// When requests with the crashing part begin to come.
const BEGIN_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;
const DOWN_MS: u64 = 2_500;
/// Time from the arrival of a request at an engine until its answer begins.
const PROMPT_MS: u64 = 20;
const CRASH_MS: u64 = 40;
const ANSWER_MS: u64 = 150;
const REPAIR_MS: u64 = 1_000;
const RESTART_MS: u64 = 1_000;
const CUT_MS: u64 = 6_000;
const ENGINE_SLOTS: usize = 64;
/// Ends of engines after which the part may reach engines three times more, within `CONTACT_MS` any number of times.
const COUNTED_ENDS: usize = 5;
const SOUND_PER_ENGINE_S: f64 = 10.0;

const FIRST_PART: u64 = 1;
const CRASHING_PART: u64 = 2;
const COMMON_PARTS: u64 = 100;
const RARE_PARTS: u64 = 10_000;

/// What happens in a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    pub engines: usize,
    /// Requests with the crashing part, a second.
    pub crashing_per_s: f64,
    /// Engines that end by themselves, a second.
    pub random_ends_per_s: f64,
    /// Share of the notices that are lost.
    pub loss: f64,
    pub restarts: usize,
    /// Instances that exchange nothing for some seconds, at some time.
    pub cuts: usize,
    /// When sound requests begin to come.
    pub sound_from_ms: u64,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub ends: usize,
    /// Requests with the crashing part that reached engines from instances in touch, too late.
    pub late: usize,
    /// Sound requests that were refused though their parts are common.
    pub refused_common: usize,
    pub served_before: f64,
    pub served_after: f64,
}

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    /// Number of the instance's process; a restart breaks its requests off.
    process: u32,
    parts: [u64; 2],
    ticket: Ticket,
    began: u64,
    attempt: u32,
    arrived: u64,
}

#[derive(Debug, Default)]
struct Engine {
    down_until: u64,
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
    engines: Vec<Engine>,
    /// Notices under way: when they arrive, and at which instance.
    notices: VecDeque<(u64, usize, Suspicion)>,
    ends: Vec<u64>,
    crashing_sends: Vec<(u64, bool)>,
    /// Sound requests: when each arrived, and whether its first attempt was served.
    sound: Vec<(u64, bool)>,
    refused_common: usize,
    now: u64,
}

/// Plays a plan.
pub fn simulate(plan: &Plan, seed: u64) -> Figures {
    let mut random = Random::new(seed ^ 0x5eed);
    let mut instances: Vec<Instance> = (0..plan.instances).map(|_| Instance::default()).collect();
    for _ in 0..plan.cuts {
        let from = BEGIN_MS + random.below(8_000) as u64;
        let number = random.below(plan.instances);
        instances[number].cuts.push(from);
    }
    let mut restarts: Vec<(u64, usize)> = (0..plan.restarts)
        .map(|_| (BEGIN_MS + random.below(12_000) as u64, random.below(plan.instances)))
        .collect();
    restarts.sort_unstable();
    let mut simulation = Simulation {
        plan,
        random,
        instances,
        engines: (0..plan.engines).map(|_| Engine::default()).collect(),
        notices: VecDeque::new(),
        ends: Vec::new(),
        crashing_sends: Vec::new(),
        sound: Vec::new(),
        refused_common: 0,
        now: 0,
    };
    while simulation.now < LENGTH_MS {
        while restarts.first().is_some_and(|(at, _)| *at <= simulation.now) {
            simulation.restart(restarts.remove(0).1);
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
        self.run_engines();
        let step_s = STEP_MS as f64 / 1e3;
        let sound_per_s = SOUND_PER_ENGINE_S * self.plan.engines as f64;
        let sound_per_s = if self.now < self.plan.sound_from_ms { 0.0 } else { sound_per_s };
        for _ in 0..self.draw(sound_per_s * step_s) {
            let middle = match self.random.below(5) {
                0 => RARE_PARTS + self.now / 400 * 8 + self.random.below(8) as u64,
                _ => COMMON_PARTS + self.random.below(20) as u64,
            };
            self.arrive([FIRST_PART, middle]);
        }
        if self.now >= BEGIN_MS {
            for _ in 0..self.draw(self.plan.crashing_per_s * step_s) {
                self.arrive([FIRST_PART, CRASHING_PART]);
            }
        }
        for _ in 0..self.draw(self.plan.random_ends_per_s * step_s) {
            let engine = self.random.below(self.engines.len());
            if self.engines[engine].down_until <= self.now {
                self.end_engine(engine);
            }
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
        let instance = &mut self.instances[number];
        instance.quarantine = Quarantine::default();
        instance.process += 1;
        instance.down_until = self.now + RESTART_MS;
        instance.disturbed_until = self.now + RESTART_MS + CONTACT_MS;
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
                let known = self.instances[other].quarantine.suspicions(moment);
                for suspicion in known {
                    self.instances[number].quarantine.merge(&suspicion, moment);
                }
            }
        }
    }

    fn send_notice(&mut self, from: usize, to: usize, suspicion: Suspicion) {
        let lost = self.random.unit() < self.plan.loss;
        if from != to && !lost && !self.is_cut(from) && !self.is_cut(to) {
            self.notices.push_back((self.now + STEP_MS, to, suspicion));
        }
    }

    fn notify(&mut self, from: usize, suspicions: &[Suspicion]) {
        for suspicion in suspicions {
            for to in 0..self.instances.len() {
                self.send_notice(from, to, *suspicion);
            }
        }
    }

    fn deliver_notices(&mut self) {
        let moment = self.moment();
        while self.notices.front().is_some_and(|(at, _, _)| *at <= self.now) {
            let (_, to, suspicion) = self.notices.pop_front().unwrap();
            if self.is_up(to)
                && let Some(objection) = self.instances[to].quarantine.merge(&suspicion, moment)
            {
                self.notify(to, &[objection]);
            }
        }
    }

    fn repair(&mut self) {
        let moment = self.moment();
        for from in 0..self.instances.len() {
            let known = self.instances[from].quarantine.suspicions(moment);
            for _ in 0..2 {
                let to = self.random.below(self.instances.len());
                for suspicion in &known {
                    self.send_notice(from, to, *suspicion);
                }
            }
        }
    }

    fn arrive(&mut self, parts: [u64; 2]) {
        let instance = self.random.below(self.instances.len());
        if self.is_up(instance) {
            self.dispatch(instance, parts, 1, self.now);
        }
    }

    fn dispatch(&mut self, instance: usize, parts: [u64; 2], attempt: u32, arrived: u64) {
        let is_crashing = parts[1] == CRASHING_PART;
        let (now, moment) = (self.now, self.moment());
        let free: Vec<usize> = (0..self.engines.len())
            .filter(|engine| {
                let engine = &self.engines[*engine];
                engine.down_until <= now && engine.running.len() < ENGINE_SLOTS
            })
            .collect();
        if free.is_empty() {
            self.record_sound(parts, arrived, attempt, false);
            return;
        }
        let instances = self.instances.len() as u64;
        let trials = |part: u64| {
            if part % instances == instance as u64 { Trials::Allowed } else { Trials::Denied }
        };
        let known = &mut self.instances[instance].quarantine;
        let Ok(ticket) = known.admit(parts.into_iter(), trials, moment) else {
            self.record_sound(parts, arrived, attempt, false);
            self.refused_common += usize::from(!is_crashing && parts[1] < RARE_PARTS);
            return;
        };
        let process = self.instances[instance].process;
        let request = Request { instance, process, parts, ticket, began: now, attempt, arrived };
        let engine = free[self.random.below(free.len())];
        self.engines[engine].running.push(request);
        if is_crashing {
            let in_touch = self.is_in_touch(instance);
            self.crashing_sends.push((now, in_touch));
        }
    }

    fn record_sound(&mut self, parts: [u64; 2], arrived: u64, attempt: u32, served: bool) {
        if parts[1] != CRASHING_PART && attempt == 1 {
            self.sound.push((arrived, served));
        }
    }

    fn run_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let now = self.now;
            let crashes = |request: &Request| {
                request.parts[1] == CRASHING_PART && now >= request.began + CRASH_MS
            };
            if self.engines[engine].running.iter().any(crashes) {
                self.end_engine(engine);
                continue;
            }
            let running = std::mem::take(&mut self.engines[engine].running);
            let (ended, running): (Vec<Request>, Vec<Request>) =
                running.into_iter().partition(|request| now >= request.began + ANSWER_MS);
            self.engines[engine].running = running;
            for request in ended {
                self.complete(&request);
            }
        }
    }

    fn lives(&self, request: &Request) -> bool {
        self.instances[request.instance].process == request.process
    }

    fn complete(&mut self, request: &Request) {
        if !self.lives(request) {
            return;
        }
        let moment = self.moment();
        let known = &mut self.instances[request.instance].quarantine;
        let changed = known.record_success(request.parts.into_iter(), moment);
        self.notify(request.instance, &changed);
        self.record_sound(request.parts, request.arrived, request.attempt, true);
    }

    fn end_engine(&mut self, engine: usize) {
        self.ends.push(self.now);
        self.engines[engine].down_until = self.now + DOWN_MS;
        let broken = std::mem::take(&mut self.engines[engine].running);
        let moment = self.moment();
        for request in broken {
            if !self.lives(&request) {
                continue;
            }
            let Request { instance, parts, ticket, attempt, arrived, began, .. } = request;
            let known = &mut self.instances[instance].quarantine;
            let generating = self.now >= began + PROMPT_MS;
            let blamed = parts.into_iter().filter(|_| generating);
            let changed = known.record_end(blamed, &ticket, moment);
            let retried = attempt == 1 && known.may_retry(parts.into_iter());
            self.notify(instance, &changed);
            self.record_sound(parts, arrived, attempt, false);
            if retried {
                self.dispatch(instance, parts, 2, arrived);
            }
        }
    }

    fn figures(&self) -> Figures {
        let counted = self.ends.iter().filter(|at| **at >= BEGIN_MS).take(COUNTED_ENDS).last();
        let last = counted.copied().unwrap_or(BEGIN_MS);
        let late = self
            .crashing_sends
            .iter()
            .filter(|(at, in_touch)| *in_touch && *at > last + CONTACT_MS)
            .count();
        let share = |from: u64, until: u64| {
            let window = self.sound.iter().filter(|(at, _)| (from..until).contains(at));
            let served = window.clone().filter(|(_, served)| *served).count();
            served as f64 / window.count().max(1) as f64
        };
        Figures {
            ends: self.ends.len(),
            late,
            refused_common: self.refused_common,
            served_before: share(1_000, BEGIN_MS),
            served_after: share(last + 2 * CONTACT_MS, LENGTH_MS),
        }
    }
}
