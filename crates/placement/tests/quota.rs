//! Limits that instances share, on simulated fleets: restarts, partitions, outdated views and uneven traffic.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::{clock::Moment, name, random::Random};
use fleet::condition::Rate;
use placement::quota::{Bucket, Fleet};
use yare::parameterized;

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 24_000;
/// Window in which a target counts requests, and what it allows beyond one and a half times its limit.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after its start in which an instance learns the fleet.
const LEARN_MS: u64 = 2_000;

struct Plan {
    instances: usize,
    rate: f64,
    /// Requests a second that each instance could send to the target.
    demand: f64,
    /// Share of all requests that arrive at one instance; the others share the rest.
    skew: Option<f64>,
    /// Largest age of an instance's view of the fleet.
    max_delay_ms: u64,
    /// Restarts of instances, each gone for up to four seconds.
    restarts: usize,
    /// Instances that see nothing new for ten seconds.
    cuts: usize,
}

/// One instance of the simulation.
struct Instance {
    fleet: Fleet,
    bucket: Bucket,
    share: f64,
    delay_ms: u64,
    /// When it runs: from the first time until the second.
    lives: Vec<(u64, u64)>,
    cut: Option<(u64, u64)>,
}

impl Instance {
    /// Since when it runs, if it runs.
    fn started(&self, at: u64) -> Option<u64> {
        self.lives.iter().find(|(from, until)| (*from..*until).contains(&at)).map(|life| life.0)
    }

    fn is_cut(&self, at: u64) -> bool {
        self.cut.is_some_and(|(from, until)| (from..until).contains(&at))
    }
}

fn instance_name(number: usize) -> name::Instance {
    name::Instance(format!("10.0.{}.{}:7380", number / 250, number % 250))
}

fn instances(plan: &Plan, random: &mut Random) -> Vec<Instance> {
    let mut instances: Vec<Instance> = (0..plan.instances)
        .map(|number| Instance {
            fleet: Fleet::new(instance_name(number)),
            bucket: Bucket::new(Moment(0)),
            share: 0.0,
            delay_ms: random.next_u64() % (plan.max_delay_ms + 1),
            lives: vec![(0, u64::MAX)],
            cut: None,
        })
        .collect();
    for _ in 0..plan.restarts {
        let instance = &mut instances[random.below(plan.instances)];
        let at = 1_000 + random.next_u64() % (LENGTH_MS - 6_000);
        if instance.lives.len() == 1 {
            let back = at + 100 + random.next_u64() % 4_000;
            instance.lives = vec![(0, at), (back, u64::MAX)];
        }
    }
    for _ in 0..plan.cuts {
        let at = random.next_u64() % (LENGTH_MS - 10_000);
        instances[random.below(plan.instances)].cut = Some((at, at + 10_000));
    }
    instances
}

/// Runs a plan; returns when requests were sent.
fn simulate(plan: &Plan, seed: u64) -> Vec<u64> {
    let mut random = Random::new(seed);
    let names: Vec<name::Instance> = (0..plan.instances).map(instance_name).collect();
    let mut instances = instances(plan, &mut random);
    let target = name::Target::from("engine-1");
    let rate = Rate::from_per_second(plan.rate).unwrap();
    let mut sent = Vec::new();
    for at in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        let now = Moment(at);
        for number in 0..plan.instances {
            let Some(started) = instances[number].started(at) else {
                continue;
            };
            if started == at {
                instances[number].fleet = Fleet::new(instance_name(number));
                instances[number].bucket = Bucket::new(now);
                instances[number].share = 0.0;
            }
            let learns = at >= started + LEARN_MS && at.is_multiple_of(500);
            if learns && !instances[number].is_cut(at) {
                let seen = at.saturating_sub(instances[number].delay_ms);
                let others = (0..plan.instances)
                    .filter(|other| *other != number && instances[*other].started(seen).is_some())
                    .map(|other| names[other].clone())
                    .collect();
                let instance = &mut instances[number];
                if instance.fleet.set_others(others) {
                    instance.bucket.accrue(instance.share, now);
                    instance.share = instance.fleet.share(&target, rate);
                }
            }
            let demand = match plan.skew {
                None => plan.demand,
                Some(share) if number == 0 => plan.demand * plan.instances as f64 * share,
                Some(share) => plan.demand * (1.0 - share),
            };
            let instance = &mut instances[number];
            if random.unit() < demand * STEP_MS as f64 / 1e3
                && instance.bucket.wait(instance.share, now) == Some(Duration::ZERO)
            {
                instance.bucket.take(instance.share, now);
                sent.push(at);
            }
        }
    }
    sent
}

/// Most requests in a window.
fn most(sent: &[u64]) -> usize {
    let count = |first: u64| {
        let window = first..first + WINDOW_MS;
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    sent.iter().map(|first| count(*first)).max().unwrap_or(0)
}

#[parameterized(
    one = { 1 },
    three = { 3 },
    eight = { 8 },
    seventy = { 70 },
    three_hundred = { 300 },
)]
fn no_schedule_exceeds_a_shared_limit(instances: usize) {
    for seed in 0..if instances > 50 { 1 } else { 6 } {
        for rate in [0.4, 12.0] {
            for skew in [None, Some(0.9)] {
                let restarts = instances / 3 + 1;
                let cuts = instances / 5;
                let max_delay_ms = 3_000;
                let plan =
                    Plan { instances, rate, demand: 5.0, skew, max_delay_ms, restarts, cuts };
                let most = most(&simulate(&plan, seed));
                let allowed = FACTOR * rate * WINDOW_MS as f64 / 1e3 + SLACK;
                assert!(most as f64 <= allowed, "{most} of {allowed}: seed {seed}, rate {rate}");
            }
        }
    }
}

#[parameterized(
    one = { 1 },
    eight = { 8 },
    seventy = { 70 },
    three_hundred = { 300 },
)]
fn at_least_four_fifths_of_a_shared_limit_are_used_under_even_traffic(instances: usize) {
    for rate in [0.4, 2.6, 12.0] {
        let max_delay_ms = 1_000;
        let plan =
            Plan { instances, rate, demand: 20.0, skew: None, max_delay_ms, restarts: 0, cuts: 0 };
        let sent = simulate(&plan, 1).into_iter().filter(|at| *at >= 10_000).count();
        let used = sent as f64 / (rate * (LENGTH_MS - 10_000) as f64 / 1e3);
        assert!(used >= 0.8, "{used:.2} of {rate} a second with {instances} instances");
    }
}

#[test]
fn an_instance_that_does_not_know_the_fleet_sends_nothing() {
    let fleet = Fleet::new(instance_name(1));
    let rate = Rate::from_per_second(3.0).unwrap();
    assert!(fleet.share(&name::Target::from("engine-1"), rate) == 0.0);
    assert_eq!(Bucket::new(Moment(0)).wait(0.0, Moment(60_000)), None);
}
