//! Simulated fleet whose service changes its software version while callers leave streams and take them up elsewhere.

use common::{clock::Moment, name, random::Random};
use fleet::exchange::Origin;
use placement::{
    continuity::{self, Answers, Decision, HOLDERS, Origins, Versions},
    rendezvous,
};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
/// When the second version comes, and when the first one has gone.
const SECOND_COMES_MS: u64 = 5_000;
const FIRST_GONE_MS: u64 = 25_000;
/// Longest time until an instance knows of a change of the targets.
const LEARN_MS: u64 = 1_500;
const LONGEST_TIMEOUT_MS: u64 = 6_000;
const RESTART_MS: u64 = 1_000;
const CUT_MS: u64 = 6_000;
const CONTACT_MS: u64 = 3_000;
/// Time for which an instance that is gone is still taken for one of the fleet.
const VIEW_MS: u64 = 4_000;
const RECORD_ATTEMPTS: u32 = 3;
const FIND_ATTEMPTS: u32 = 2;
const FIRST: &str = "v1";
const SECOND: &str = "v2";

/// What happens in a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    /// Streams that begin and are left by their callers, a second.
    pub streams_per_s: f64,
    /// Share of the calls between instances that fail.
    pub loss: f64,
    pub restarts: usize,
    /// Instances that exchange nothing for some seconds, at some time.
    pub cuts: usize,
    /// Share of the streams whose first instance is killed before the caller returns.
    pub killed: f64,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Streams that went on at another version than the one that began them.
    pub mixed: usize,
    /// Streams that were taken up at instances in touch, and those of them that went on.
    pub taken_up: usize,
    pub went_on: usize,
    /// Calls between instances, and streams that began.
    pub calls: usize,
    pub began: usize,
    /// Most origins that an instance kept.
    pub most_kept: usize,
}

#[derive(Debug)]
struct Instance {
    name: name::Instance,
    origins: Origins,
    versions: Versions,
    started: u64,
    down_until: u64,
    /// Delay until it knows of a change of the targets.
    delay: u64,
    cuts: Vec<u64>,
}

#[derive(Debug)]
struct Return {
    at: u64,
    stream: String,
    software: &'static str,
    first: usize,
}

struct Simulation<'a> {
    plan: &'a Plan,
    random: Random,
    instances: Vec<Instance>,
    returns: Vec<Return>,
    figures: Figures,
    now: u64,
}

fn moment(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

fn retention() -> std::time::Duration {
    continuity::retention(std::time::Duration::from_millis(LONGEST_TIMEOUT_MS))
}

/// Plays a plan.
pub fn simulate(plan: &Plan, seed: u64) -> Figures {
    let mut random = Random::new(seed ^ 0x0716);
    let mut instances: Vec<Instance> = (0..plan.instances)
        .map(|number| Instance {
            name: name::Instance(format!("10.0.{}.{}:7380", number / 250, number % 250)),
            origins: Origins::default(),
            versions: Versions::default(),
            started: 0,
            down_until: 0,
            delay: random.below(LEARN_MS as usize) as u64,
            cuts: Vec::new(),
        })
        .collect();
    let time = |random: &mut Random| SECOND_COMES_MS + random.below(20_000) as u64;
    for _ in 0..plan.cuts {
        let from = time(&mut random);
        instances[random.below(plan.instances)].cuts.push(from);
    }
    let mut restarts: Vec<(u64, usize)> =
        (0..plan.restarts).map(|_| (time(&mut random), random.below(plan.instances))).collect();
    restarts.sort_unstable();
    let figures = Figures::default();
    let mut simulation =
        Simulation { plan, random, instances, returns: Vec::new(), figures, now: 0 };
    while simulation.now < LENGTH_MS {
        while restarts.first().is_some_and(|(at, _)| *at <= simulation.now) {
            simulation.restart(restarts.remove(0).1);
        }
        simulation.step();
        simulation.now += STEP_MS;
    }
    simulation.figures
}

impl Simulation<'_> {
    fn step(&mut self) {
        if self.now.is_multiple_of(1_000) {
            self.refresh();
        }
        let mean = self.plan.streams_per_s * STEP_MS as f64 / 1e3;
        let count = mean.floor() as usize + usize::from(self.random.unit() < mean.fract());
        for _ in 0..count {
            self.begin();
        }
        let (due, later) = std::mem::take(&mut self.returns)
            .into_iter()
            .partition(|returning: &Return| returning.at <= self.now);
        self.returns = later;
        for returning in due {
            self.take_up(&returning);
        }
    }

    fn is_up(&self, number: usize) -> bool {
        self.instances[number].down_until <= self.now
    }

    fn is_cut(&self, number: usize, tail_ms: u64) -> bool {
        let cuts = &self.instances[number].cuts;
        cuts.iter().any(|from| (*from..from + CUT_MS + tail_ms).contains(&self.now))
    }

    fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.origins = Origins::default();
        instance.versions = Versions::default();
        instance.down_until = self.now + RESTART_MS;
        instance.started = self.now + RESTART_MS;
        // It learns the targets, with those that are gone, before it serves.
        let known: Vec<&str> = match self.now + RESTART_MS {
            at if at < SECOND_COMES_MS => vec![FIRST],
            _ => vec![FIRST, SECOND],
        };
        for software in known {
            let at = moment(instance.started);
            instance.versions.see(&name::Software::from(software), at);
        }
    }

    /// Versions that an instance takes the targets to have.
    fn known_versions(&self, number: usize) -> Vec<&'static str> {
        let seen = self.now.saturating_sub(self.instances[number].delay);
        let mut versions = Vec::new();
        if seen < FIRST_GONE_MS {
            versions.push(FIRST);
        }
        if seen >= SECOND_COMES_MS {
            versions.push(SECOND);
        }
        versions
    }

    fn refresh(&mut self) {
        let at = moment(self.now);
        for number in 0..self.instances.len() {
            self.see_versions(number);
            let instance = &mut self.instances[number];
            instance.versions.expire(retention(), at);
            instance.origins.expire(retention(), at);
            self.figures.most_kept = self.figures.most_kept.max(instance.origins.len());
        }
    }

    fn see_versions(&mut self, number: usize) {
        for software in self.known_versions(number) {
            let versions = &mut self.instances[number].versions;
            versions.see(&name::Software::from(software), moment(self.now));
        }
    }

    /// Instances that hold the origin of a stream, as one sees the fleet.
    fn holders(&self, stream: &str) -> Vec<usize> {
        let in_view = |instance: &&Instance| {
            instance.down_until <= self.now || instance.down_until - RESTART_MS + VIEW_MS > self.now
        };
        let names = self.instances.iter().filter(in_view).map(|instance| &instance.name);
        let first = rendezvous::first(stream, names, HOLDERS);
        (0..self.instances.len())
            .filter(|number| first.contains(&self.instances[*number].name))
            .collect()
    }

    /// Whether a call between two instances succeeds.
    fn reaches(&mut self, from: usize, to: usize) -> bool {
        self.figures.calls += usize::from(from != to);
        let lost = self.random.unit() < self.plan.loss;
        from == to || (!lost && self.is_up(to) && !self.is_cut(from, 0) && !self.is_cut(to, 0))
    }

    fn begin(&mut self) {
        let first = self.random.below(self.instances.len());
        if !self.is_up(first) {
            return;
        }
        self.figures.began += 1;
        self.see_versions(first);
        let versions = self.known_versions(first);
        let software = versions[self.random.below(versions.len())];
        let stream = format!("{:016x}", self.random.next_u64());
        let mut software = software;
        if self.instances[first].versions.sole().is_none() {
            let origin = Origin {
                service: name::Service::from("engines"),
                software: name::Software::from(software),
                run: 0,
            };
            let at = moment(self.now);
            self.instances[first].origins.record(&stream, origin.clone(), retention(), at);
            let mut recorded = self.instances.len() == 1;
            for holder in self.holders(&stream) {
                if (0..RECORD_ATTEMPTS).any(|_| self.reaches(first, holder)) {
                    let origins = &mut self.instances[holder].origins;
                    origins.record(&stream, origin.clone(), retention(), at);
                    recorded |= holder != first;
                }
            }
            let versions = &self.instances[first].versions;
            if !recorded && let Some(before) = versions.sole_before(retention(), at) {
                software = if before.0 == FIRST { FIRST } else { SECOND };
                let origin = Origin { software: before.clone(), run: 1, ..origin };
                self.instances[first].origins.record(&stream, origin, retention(), at);
            }
        }
        if self.random.unit() < self.plan.killed {
            self.restart(first);
        }
        let at = self.now + 300 + self.random.below(4_000) as u64;
        self.returns.push(Return { at, stream, software, first });
    }

    fn take_up(&mut self, returning: &Return) {
        let others: Vec<usize> = (0..self.instances.len())
            .filter(|number| self.is_up(*number))
            .filter(|number| *number != returning.first || self.instances.len() == 1)
            .collect();
        if others.is_empty() {
            return;
        }
        let number = others[self.random.below(others.len())];
        self.see_versions(number);
        let decision = self.decide(number, &returning.stream);
        let in_touch = !self.is_cut(number, CONTACT_MS)
            && self.now >= self.instances[number].started + CONTACT_MS;
        let both_serve = (SECOND_COMES_MS..FIRST_GONE_MS).contains(&self.now);
        let counts = in_touch && both_serve;
        self.figures.taken_up += usize::from(counts);
        if let Decision::At { software, .. } = decision {
            self.figures.went_on += usize::from(counts);
            self.figures.mixed += usize::from(software.0 != returning.software);
        }
    }

    fn decide(&mut self, number: usize, stream: &str) -> Decision {
        let instance = &self.instances[number];
        if let Some(software) = instance.versions.sole() {
            return Decision::At { service: None, software: software.clone() };
        }
        let known = instance.origins.get(stream).cloned();
        let answers = known.map_or_else(|| self.ask(number, stream), Answers::Known);
        let versions = Some(&self.instances[number].versions);
        continuity::decide(versions, answers, retention(), moment(self.now))
    }

    fn ask(&mut self, number: usize, stream: &str) -> Answers {
        let mut answers = Answers::Unknown;
        for holder in self.holders(stream) {
            if !(0..FIND_ATTEMPTS).any(|_| self.reaches(number, holder)) {
                answers = Answers::Missing;
                continue;
            }
            let asked = &self.instances[holder];
            if let Some(origin) = asked.origins.get(stream) {
                return Answers::Known(origin.clone());
            }
            let running = std::time::Duration::from_millis(self.now - asked.started.min(self.now));
            if running < retention() {
                answers = Answers::Missing;
            }
        }
        answers
    }
}
