//! Simulated fleet whose service changes its software version while callers leave streams and take them up elsewhere.

use std::time::Duration;

use common::{clock::Moment, name, random::Random};
use fleet::exchange::Origin;
use placement::{
    continuity::{
        self, Answers, Decision, HOLDERS, Origins, Versions,
        ledger::Ledger,
        tally::Tally,
        testimony::{self, Verdict},
    },
    rendezvous,
};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
/// When the second version comes, when the first one has gone, and when it is back in plans in which it returns.
const SECOND_COMES_MS: u64 = 5_000;
const FIRST_GONE_MS: u64 = 25_000;
/// Time from then on in which the simulation goes on.
const AFTER_RETURN_MS: u64 = 12_000;
/// Longest time until an instance knows of a change of the targets.
const LEARN_MS: u64 = 1_500;
/// Longest lifetime of a stream that need not be recorded, what is added to lifetimes, and the longest one.
const UNRECORDED_MS: u64 = 6_000;
const MARGIN_MS: u64 = 2_000;
const LONG_LIFETIME_MS: u64 = 60_000;
const RESTART_MS: u64 = 1_000;
const CUT_MS: u64 = 6_000;
/// Time between a caller's attempts while no instance is up.
const RETRY_MS: u64 = 300;
/// Time after the return of all instances within which fewer streams need to go on.
const RECOVERY_MS: u64 = 2_000;
const RECORD_ATTEMPTS: u32 = 3;
const FIND_ATTEMPTS: u32 = 2;
const CONTROL_INSTANCES: usize = 5;
const FIRST: &str = "v1";
const SECOND: &str = "v2";
/// How long the first version has been known when the simulation begins.
const FIRST_KNOWN_MS: u64 = 60_000;
const EPOCH_MS: u64 = 1_000_000;

/// What happens in a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    /// Streams that begin and are left by their callers, a second.
    pub streams_per_s: f64,
    /// Share of the calls between instances that fail.
    pub loss: f64,
    pub restarts: usize,
    /// Instances that exchange nothing and learn nothing for some seconds, at some time.
    pub cuts: usize,
    /// Share of the streams whose first instance is killed before the caller returns.
    pub killed: f64,
    pub power: Power,
    /// Share of the streams with a long lifetime, within which their callers return at any time.
    pub long_lived: f64,
    /// For how long the first version has no targets until it returns, if it does.
    pub absence_ms: Option<u64>,
}

/// Instances that all lose power twice while both versions serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    Stays,
    EntriesLose,
    /// The control instances lose it with them, and keep what they have synced.
    AllLose,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Streams that went on at another version than the one that began them.
    pub mixed: usize,
    /// Streams that were taken up at instances that are not cut off, and those of them that went on.
    pub taken_up: usize,
    pub went_on: usize,
    /// The same soon after all instances have returned.
    pub taken_up_in_recovery: usize,
    pub went_on_in_recovery: usize,
    /// Calls between instances, and streams that began.
    pub calls: usize,
    pub began: usize,
    /// Most origins that an instance kept.
    pub most_kept: usize,
}

#[derive(Debug)]
struct Instance {
    origins: Origins,
    versions: Versions,
    down_until: u64,
    /// Delay until it knows of a change of the targets.
    delay: u64,
    cuts: Vec<u64>,
}

#[derive(Debug)]
struct Control {
    name: name::Instance,
    ledger: Ledger,
    versions: Versions,
    down_until: u64,
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
    control: Vec<Control>,
    returns: Vec<Return>,
    figures: Figures,
    /// When all instances returned last.
    returned_at: Option<u64>,
    now: u64,
}

fn moment(ms: u64) -> Moment {
    Moment(EPOCH_MS + ms)
}

/// When the control instances first knew a version.
fn first_known(software: &str) -> Moment {
    if software == FIRST { Moment(EPOCH_MS - FIRST_KNOWN_MS) } else { moment(SECOND_COMES_MS) }
}

fn known_at_the_start() -> Versions {
    let mut versions = Versions::default();
    versions.learn(&FIRST.into(), first_known(FIRST), moment(0));
    versions
}

fn retention() -> Duration {
    Duration::from_millis(UNRECORDED_MS + MARGIN_MS)
}

fn version_retention() -> Duration {
    retention() + Duration::from_millis(MARGIN_MS)
}

/// The ledger of a control instance that has lost nothing.
fn complete_ledger(now: Moment) -> Ledger {
    let mut ledger = Ledger::new(now);
    ledger.restore(Moment::default());
    ledger
}

/// Plays a plan.
pub fn simulate(plan: &Plan, seed: u64) -> Figures {
    let mut random = Random::new(seed ^ 0x0716);
    let mut instances: Vec<Instance> = (0..plan.instances)
        .map(|_| Instance {
            origins: Origins::default(),
            versions: Versions::default(),
            down_until: 0,
            delay: random.below(LEARN_MS as usize) as u64,
            cuts: Vec::new(),
        })
        .collect();
    let control = (0..CONTROL_INSTANCES)
        .map(|number| Control {
            name: name::Instance(format!("10.1.0.{number}:7380")),
            ledger: complete_ledger(moment(0)),
            versions: known_at_the_start(),
            down_until: 0,
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
    let mut losses = match plan.power {
        Power::Stays => Vec::new(),
        Power::EntriesLose | Power::AllLose => vec![time(&mut random), time(&mut random)],
    };
    losses.sort_unstable();
    let mut simulation = Simulation {
        plan,
        random,
        instances,
        control,
        returns: Vec::new(),
        figures: Figures::default(),
        returned_at: None,
        now: 0,
    };
    let length_ms = simulation.first_returns_at().map_or(LENGTH_MS, |at| at + AFTER_RETURN_MS);
    let length_ms = if plan.long_lived > 0.0 { length_ms + LONG_LIFETIME_MS } else { length_ms };
    while simulation.now < length_ms {
        while restarts.first().is_some_and(|(at, _)| *at <= simulation.now) {
            simulation.restart(restarts.remove(0).1);
        }
        while losses.first().is_some_and(|at| *at <= simulation.now) {
            losses.remove(0);
            simulation.lose_power();
        }
        simulation.step();
        simulation.now += STEP_MS;
    }
    simulation.figures
}

impl Simulation<'_> {
    fn step(&mut self) {
        if self.now.is_multiple_of(500) {
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
            self.take_up(returning);
        }
    }

    fn is_up(&self, number: usize) -> bool {
        self.instances[number].down_until <= self.now
    }

    /// When the cut began that an instance is in.
    fn cut_since(&self, number: usize) -> Option<u64> {
        let cuts = &self.instances[number].cuts;
        cuts.iter().copied().find(|from| (*from..from + CUT_MS).contains(&self.now))
    }

    fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.origins = Origins::default();
        instance.versions = Versions::default();
        instance.down_until = self.now + RESTART_MS;
        // It learns the versions, with those that have gone, before it serves.
        let ages = self.control[0].versions.ages(moment(self.now));
        self.instances[number].versions.learn_ages(&ages, moment(self.now));
    }

    fn lose_power(&mut self) {
        (0..self.instances.len()).for_each(|number| self.restart(number));
        self.returned_at = Some(self.now + RESTART_MS);
        if self.plan.power == Power::EntriesLose {
            return;
        }
        let now = moment(self.now + RESTART_MS);
        for control in &mut self.control {
            control.down_until = self.now + RESTART_MS;
            // What was acknowledged was synced before.
            let synced: Vec<_> = control
                .ledger
                .origins()
                .map(|(stream, origin, until)| (stream.to_owned(), origin.clone(), until))
                .collect();
            let since = control.ledger.complete_since();
            control.ledger = Ledger::new(now);
            for (stream, origin, until) in synced {
                control.ledger.keep(&stream, origin, until, now);
            }
            control.ledger.restore(since);
        }
    }

    /// When targets have the first version again.
    fn first_returns_at(&self) -> Option<u64> {
        self.plan.absence_ms.map(|ms| FIRST_GONE_MS + ms)
    }

    /// Versions that targets had at a time.
    fn versions_at(&self, at: u64) -> Vec<&'static str> {
        let mut versions = Vec::new();
        if at < FIRST_GONE_MS || self.first_returns_at().is_some_and(|returns| at >= returns) {
            versions.push(FIRST);
        }
        if at >= SECOND_COMES_MS {
            versions.push(SECOND);
        }
        versions
    }

    /// Versions that an instance takes the targets to have.
    fn known_versions(&self, number: usize) -> Vec<&'static str> {
        let seen = self.now.saturating_sub(self.instances[number].delay);
        self.versions_at(self.cut_since(number).map_or(seen, |since| seen.min(since)))
    }

    fn refresh(&mut self) {
        let at = moment(self.now);
        for number in 0..self.instances.len() {
            self.see_versions(number);
            let instance = &mut self.instances[number];
            instance.versions.expire(version_retention(), at);
            instance.origins.expire(at);
        }
        let present = self.versions_at(self.now);
        for control in &mut self.control {
            for software in &present {
                control.versions.see(&(*software).into(), at);
            }
            control.versions.observe(|software| present.contains(&software.0.as_str()), at);
            control.ledger.expire(at);
            self.figures.most_kept = self.figures.most_kept.max(control.ledger.len());
        }
    }

    fn see_versions(&mut self, number: usize) {
        for software in self.known_versions(number) {
            self.instances[number].versions.see(&software.into(), moment(self.now));
        }
        if self.cut_since(number).is_none() {
            let ages = self.control[0].versions.ages(moment(self.now));
            let versions = &mut self.instances[number].versions;
            versions.learn_ages(&ages, moment(self.now));
            versions.expire(version_retention(), moment(self.now));
        }
    }

    /// Control instances that hold the origin of a stream.
    fn holders(&self, stream: &str) -> Vec<usize> {
        let names = self.control.iter().map(|control| &control.name);
        let first = rendezvous::first(stream, names, HOLDERS);
        (0..self.control.len())
            .filter(|number| first.contains(&self.control[*number].name))
            .collect()
    }

    /// Whether a call to a control instance succeeds.
    fn reaches(&mut self, from: usize, control: usize) -> bool {
        self.figures.calls += 1;
        let lost = self.random.unit() < self.plan.loss;
        let up = self.control[control].down_until <= self.now;
        !lost && up && self.cut_since(from).is_none()
    }

    fn begin(&mut self) {
        let first = self.random.below(self.instances.len());
        if !self.is_up(first) {
            return;
        }
        self.figures.began += 1;
        self.see_versions(first);
        // Targets that have gone run nothing, whatever the instance believes.
        let known = self.known_versions(first);
        let mut versions = self.versions_at(self.now);
        versions.retain(|software| known.contains(software));
        if versions.is_empty() {
            return;
        }
        let mut software = versions[self.random.below(versions.len())];
        let stream = format!("{:016x}", self.random.next_u64());
        let at = moment(self.now);
        let is_long_lived = self.plan.long_lived > 0.0 && self.random.unit() < self.plan.long_lived;
        let lifetime_ms = if is_long_lived { LONG_LIFETIME_MS } else { UNRECORDED_MS };
        let until = at + Duration::from_millis(lifetime_ms + MARGIN_MS);
        if is_long_lived || self.instances[first].versions.settled(retention(), at).is_none() {
            let origin = Origin {
                service: name::Service::from("engines"),
                software: name::Software::from(software),
                run: 0,
            };
            let _evicted = self.instances[first].origins.record(&stream, origin.clone(), until, at);
            let holders = self.holders(&stream);
            let mut tally = Tally { control: holders.len(), ..Tally::default() };
            for holder in holders {
                if (0..RECORD_ATTEMPTS).any(|_| self.reaches(first, holder)) {
                    let _sent = tally.send();
                    self.control[holder].ledger.keep(&stream, origin.clone(), until, at);
                    tally.kept += 1;
                }
            }
            let versions = &self.instances[first].versions;
            if !tally.is_recorded()
                && let Some(oldest) =
                    versions.oldest(retention()).filter(|oldest| oldest.0 != software)
            {
                // Without targets of that version the stream doesn't begin.
                if !self.versions_at(self.now).contains(&oldest.0.as_str()) {
                    return;
                }
                software = if oldest.0 == FIRST { FIRST } else { SECOND };
                let origin = Origin { software: oldest.clone(), run: 1, ..origin };
                let _evicted = self.instances[first].origins.record(&stream, origin, until, at);
            }
        }
        if self.random.unit() < self.plan.killed {
            self.restart(first);
        }
        let latest_ms = if is_long_lived { LONG_LIFETIME_MS as usize } else { 4_000 };
        let at = self.now + 300 + self.random.below(latest_ms) as u64;
        self.returns.push(Return { at, stream, software, first });
    }

    fn take_up(&mut self, returning: Return) {
        let others: Vec<usize> = (0..self.instances.len())
            .filter(|number| self.is_up(*number))
            .filter(|number| *number != returning.first || self.instances.len() == 1)
            .collect();
        if others.is_empty() {
            let at = self.now + RETRY_MS;
            self.returns.push(Return { at, ..returning });
            return;
        }
        let number = others[self.random.below(others.len())];
        self.see_versions(number);
        let decision = self.decide(number, &returning.stream);
        let both_serve = self.versions_at(self.now).len() == 2;
        let counts = usize::from(self.cut_since(number).is_none() && both_serve);
        let in_recovery =
            self.returned_at.is_some_and(|at| (at..at + RECOVERY_MS).contains(&self.now));
        let goes_on = usize::from(matches!(decision, Decision::At { .. }));
        if in_recovery {
            self.figures.taken_up_in_recovery += counts;
            self.figures.went_on_in_recovery += counts * goes_on;
        } else {
            self.figures.taken_up += counts;
            self.figures.went_on += counts * goes_on;
        }
        if let Decision::At { software, .. } = decision {
            self.figures.mixed += usize::from(software.0 != returning.software);
        }
    }

    fn decide(&mut self, number: usize, stream: &str) -> Decision {
        let known = self.instances[number].origins.get(stream).cloned();
        let answers = known.map_or_else(|| self.ask(number, stream), Answers::Known);
        let versions = Some(&self.instances[number].versions);
        continuity::decide(versions, answers, retention())
    }

    fn ask(&mut self, number: usize, stream: &str) -> Answers {
        let holders = self.holders(stream);
        let asked = holders.len();
        let mut testimonies = Vec::new();
        let mut verdict = Verdict::Unclear;
        for holder in holders {
            if (0..FIND_ATTEMPTS).any(|_| self.reaches(number, holder)) {
                let Control { ledger, versions, .. } = &self.control[holder];
                testimonies.push(ledger.testify(stream, Some(versions), moment(self.now)));
            }
            verdict = testimony::judge(&testimonies, asked, retention());
            if verdict != Verdict::Unclear {
                break;
            }
        }
        match verdict {
            Verdict::Recorded(origin) => Answers::Known(origin),
            Verdict::Unrecorded => Answers::Unrecorded(testimonies),
            Verdict::Unclear => Answers::Missing,
        }
    }
}
