//! Simulated instances that share a retry budget: restarts, cuts, new instances, uneven and changing traffic.

use std::{
    fmt::{self, Display},
    time::Duration,
};

use common::{clock::Moment, random::Random};
use placement::retry::Bounds;

pub const BOUNDS: Bounds =
    Bounds { window: Duration::from_millis(WINDOW_MS), ratio: 0.2, slack: 56.0 };
pub const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 10;
pub const LENGTH_MS: u64 = 50_000;
/// Time after its start in which an instance has its first report of the others.
const REPORT_MS: u64 = 500;
/// Time after its first report in which an instance knows all others.
const SETTLE_MS: u64 = 2_000;
/// Time without a sign of an instance after which the others take it for gone.
const TIMEOUT_MS: u64 = 4_000;
/// When targets start and stop to reject all requests.
const SHED_MS: std::ops::Range<u64> = 12_000..42_000;
/// When requests come twice as often.
const BURST_MS: std::ops::Range<u64> = 14_000..22_000;
/// Rejections of a request before it is given up.
const RETRIES: usize = 2;

/// How instances stop and start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restarts {
    None,
    /// Some restart at random times, each gone for up to two seconds.
    Some,
    /// One after the other, a second apart, each gone for 300 ms.
    Rolled,
    /// All at once, for a second.
    All,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub instances: usize,
    /// Requests a second of the fleet.
    pub requests: f64,
    /// Share of all requests that arrive at the first instance; the others share the rest.
    pub skew: Option<f64>,
    pub restarts: Restarts,
    /// Instances that see nothing new for ten seconds, also when they start meanwhile.
    pub cuts: usize,
    /// Instances that start for the first time during the run.
    pub joining: usize,
    /// Largest age of an instance's view of the others.
    pub max_delay_ms: u64,
}

/// The budget of one instance, as the code under test keeps it.
pub trait Model {
    /// The instance starts without knowledge.
    fn start(&mut self, now: Moment);
    /// The first report of others has come; some may be missing.
    fn report(&mut self, others: &[usize], now: Moment);
    /// The others are known.
    fn learn(&mut self, others: &[usize], now: Moment);
    fn count(&mut self, now: Moment);
    fn take(&mut self, now: Moment) -> bool;
}

struct Instance<M> {
    model: M,
    delay_ms: u64,
    /// When it runs: from the first time until the second.
    lives: Vec<(u64, u64)>,
    cut: Option<(u64, u64)>,
}

impl<M> Instance<M> {
    /// Since when it runs, if it runs.
    fn started(&self, at: u64) -> Option<u64> {
        self.lives.iter().find(|(from, until)| (*from..*until).contains(&at)).map(|life| life.0)
    }

    fn is_cut(&self, at: u64) -> bool {
        self.cut.is_some_and(|(from, until)| (from..until).contains(&at))
    }

    /// Whether others take it for running at a time.
    fn is_known(&self, at: u64) -> bool {
        let known =
            |(from, until): &(u64, u64)| *from <= at && at < until.saturating_add(TIMEOUT_MS);
        self.lives.iter().any(known)
    }
}

/// Requests and retries of all instances, by step.
#[derive(Debug)]
pub struct Play {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

/// The window with the largest excess of retries over those allowed.
pub struct Window {
    pub from_ms: u64,
    pub retries: f64,
    pub allowed: f64,
}

pub fn simulate<M: Model>(plan: &Plan, seed: u64, model: impl Fn(usize) -> M) -> Play {
    let mut random = Random::new(seed);
    let mut instances: Vec<Instance<M>> = (0..plan.instances)
        .map(|number| Instance {
            model: model(number),
            delay_ms: random.next_u64() % (plan.max_delay_ms + 1),
            lives: vec![(0, u64::MAX)],
            cut: None,
        })
        .collect();
    restart(plan, &mut instances, &mut random);
    for _ in 0..plan.joining {
        let at = SHED_MS.start + random.next_u64() % 10_000;
        instances[random.below(plan.instances)].lives = vec![(at, u64::MAX)];
    }
    for _ in 0..plan.cuts {
        let at = random.next_u64() % (LENGTH_MS - 10_000);
        instances[random.below(plan.instances)].cut = Some((at, at + 10_000));
    }
    let mut play = Play { requests: Vec::new(), retries: Vec::new() };
    for at in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        let (mut requests, mut retries) = (0, 0);
        for number in 0..plan.instances {
            let Some(started) = instances[number].started(at) else {
                continue;
            };
            update(&mut instances, number, started, at);
            let burst = if BURST_MS.contains(&at) { 2.0 } else { 1.0 };
            let share = match plan.skew {
                None => 1.0 / plan.instances as f64,
                Some(share) if number == 0 => share,
                Some(share) => (1.0 - share) / (plan.instances - 1) as f64,
            };
            let mut due = burst * plan.requests * share * STEP_MS as f64 / 1e3;
            let model = &mut instances[number].model;
            while random.unit() < due {
                due -= 1.0;
                requests += 1;
                model.count(Moment(at));
                for _ in 0..if SHED_MS.contains(&at) { RETRIES } else { 0 } {
                    retries += u32::from(model.take(Moment(at)));
                }
            }
        }
        play.requests.push(requests);
        play.retries.push(retries);
    }
    play
}

fn restart<M>(plan: &Plan, instances: &mut [Instance<M>], random: &mut Random) {
    for (number, instance) in instances.iter_mut().enumerate() {
        let (at, gone_ms) = match plan.restarts {
            Restarts::None => continue,
            Restarts::Some if random.unit() < 0.3 => {
                (SHED_MS.start + random.next_u64() % 20_000, 100 + random.next_u64() % 2_000)
            }
            Restarts::Some => continue,
            Restarts::Rolled => (SHED_MS.start + 1_000 * number as u64, 300),
            Restarts::All => (SHED_MS.start + 3_000, 1_000),
        };
        if at + gone_ms < SHED_MS.end {
            instance.lives = vec![(0, at), (at + gone_ms, u64::MAX)];
        }
    }
}

/// Starts an instance that is due to start and tells it of the others.
fn update<M: Model>(instances: &mut [Instance<M>], number: usize, started: u64, at: u64) {
    if started == at {
        instances[number].model.start(Moment(at));
    }
    let instance = &instances[number];
    if instance.is_cut(at) || at < started + REPORT_MS || !at.is_multiple_of(500) {
        return;
    }
    let seen = at.saturating_sub(instance.delay_ms);
    let others: Vec<usize> = (0..instances.len())
        .filter(|other| *other != number && instances[*other].is_known(seen))
        .collect();
    let model = &mut instances[number].model;
    model.report(&others, Moment(at));
    if at >= started + REPORT_MS + SETTLE_MS {
        model.learn(&others, Moment(at));
    }
}

impl Play {
    /// Retries used after the first window of rejections, as a share of those allowed.
    pub fn used_share(&self) -> f64 {
        let from = usize::try_from((SHED_MS.start + WINDOW_MS) / STEP_MS).unwrap();
        let until = usize::try_from(SHED_MS.end / STEP_MS).unwrap();
        let requests: u32 = self.requests[from..until].iter().sum();
        let retries: u32 = self.retries[from..until].iter().sum();
        let windows = (until - from) as f64 * STEP_MS as f64 / WINDOW_MS as f64;
        f64::from(retries) / (BOUNDS.ratio * f64::from(requests) + BOUNDS.slack * windows)
    }

    /// The window in which most retries exceed those allowed, or come closest to that. Requests are counted in the
    /// window, the one before it or the one half a window before it, whichever has most.
    pub fn worst(&self) -> Window {
        let steps = usize::try_from(WINDOW_MS / STEP_MS).unwrap();
        let sum = |counts: &[u32], from: usize| -> f64 {
            counts.iter().skip(from).take(steps).copied().map(f64::from).sum()
        };
        let window = |from: usize| {
            let starts = [Some(from), from.checked_sub(steps / 2), from.checked_sub(steps)];
            let most = starts
                .into_iter()
                .flatten()
                .map(|from| sum(&self.requests, from))
                .fold(0.0, f64::max);
            Window {
                from_ms: from as u64 * STEP_MS,
                retries: sum(&self.retries, from),
                allowed: BOUNDS.ratio * most + BOUNDS.slack,
            }
        };
        (0..self.retries.len())
            .step_by(5)
            .map(window)
            .max_by(|one, other| one.excess().total_cmp(&other.excess()))
            .unwrap()
    }
}

impl Window {
    pub fn excess(&self) -> f64 {
        self.retries - self.allowed
    }
}

impl Display for Window {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Window { from_ms, retries, allowed } = self;
        write!(formatter, "{retries} retries from {from_ms} ms, allowed {allowed:.1}")
    }
}
