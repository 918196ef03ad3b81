//! The retry budget that instances share, on simulated fleets.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/retries.rs"]
mod retries;

use common::clock::Moment;
use placement::retry::{Budget, Start};
use retries::{BOUNDS, Model, Plan, Restarts, simulate};
use yare::parameterized;

struct Counted {
    budget: Budget,
    instances: usize,
    start: Start,
}

impl Model for Counted {
    fn start(&mut self, now: Moment) {
        let start = Start { at: now, has_predecessor: true };
        *self = Counted { budget: Budget::default(), instances: 1, start };
    }

    fn report(&mut self, others: &[usize], _now: Moment) {
        self.instances = others.len() + 1;
    }

    fn learn(&mut self, _others: &[usize], _now: Moment) {}

    fn count(&mut self, now: Moment) {
        self.budget.count(&BOUNDS, now);
    }

    fn take(&mut self, now: Moment) -> bool {
        self.budget.take(&self.start.bounds(&BOUNDS, now), self.instances, now)
    }
}

fn model(_number: usize) -> Counted {
    let start = Start { at: Moment(0), has_predecessor: false };
    Counted { budget: Budget::default(), instances: 1, start }
}

// BUDGET: each process of a rolling restart had the slack of the window once more.
#[test]
fn a_process_that_may_have_had_one_before_it_has_no_slack_for_a_window() {
    let (mut model, started) = (model(0), Moment(60_000));
    assert!(model.take(started));
    model.start(started);
    for _ in 0..5 {
        model.count(started);
    }
    let slack = |model: &mut Counted, now| {
        std::iter::repeat_with(|| model.take(now)).take_while(|taken| *taken).count()
    };
    assert_eq!(slack(&mut model, started), 0);
    let window = started + BOUNDS.window;
    assert_eq!(slack(&mut model, window - std::time::Duration::from_millis(1)), 0);
    assert!(slack(&mut model, window) > 0);
}

/// Requests a second of the fleet: few for its slack, and many.
fn rates(instances: usize) -> [f64; 2] {
    [5.0 + instances as f64 / 10.0, 40.0 + 10.0 * instances as f64]
}

fn skews(instances: usize) -> Vec<Option<f64>> {
    if instances == 1 { vec![None] } else { vec![None, Some(0.9)] }
}

fn seeds(instances: usize) -> std::ops::Range<u64> {
    0..if instances > 50 { 1 } else { 6 }
}

#[parameterized(
    one = { 1 },
    seven = { 7 },
    seventy = { 70 },
    three_hundred = { 300 },
)]
fn no_schedule_exceeds_the_retries_that_all_instances_share(instances: usize) {
    let mut exceeded = Vec::new();
    let mut plays = 0;
    for seed in seeds(instances) {
        for requests in rates(instances) {
            for skew in skews(instances) {
                for restarts in [Restarts::None, Restarts::Some, Restarts::Rolled, Restarts::All] {
                    for (cuts, joining) in [(0, 0), (instances.div_ceil(5), 0), (0, instances / 7)]
                    {
                        let max_delay_ms = 3_000;
                        let plan = Plan {
                            instances,
                            requests,
                            skew,
                            restarts,
                            cuts,
                            joining,
                            max_delay_ms,
                        };
                        let worst = simulate(&plan, seed, model).worst();
                        plays += 1;
                        if worst.excess() > 0.0 {
                            exceeded.push(format!("{worst}: seed {seed} {plan:?}"));
                        }
                    }
                }
            }
        }
    }
    assert!(exceeded.is_empty(), "{} of {plays}:\n{}", exceeded.len(), exceeded.join("\n"));
}

#[parameterized(
    one = { 1 },
    seven = { 7 },
    seventy = { 70 },
    three_hundred = { 300 },
)]
fn at_least_four_fifths_of_the_shared_retries_are_used_under_even_traffic(instances: usize) {
    for requests in rates(instances) {
        let plan = Plan {
            instances,
            requests,
            skew: None,
            restarts: Restarts::None,
            cuts: 0,
            joining: 0,
            max_delay_ms: 1_000,
        };
        let used = simulate(&plan, 1, model).used_share();
        assert!(used >= 0.8, "{used:.2} at {requests} requests a second of {instances} instances");
    }
}
