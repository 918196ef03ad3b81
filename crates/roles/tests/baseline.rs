//! The evaluation: traces are reproducible, and no controller scores higher than the clairvoyant bound.

#[path = "support/cases.rs"]
mod support;

use std::time::Duration;

use roles::{
    baseline::{
        clairvoyant::{self, Parameters},
        fixed::Fixed,
        planned::Planned,
        threshold::Threshold,
    },
    policy::Policy,
    pool, simulation,
    trace::{
        Trace,
        generate::{self, Shape},
    },
};
use support::{one_pool, roles};

const SHORT_STEPS: usize = 300;
const ENGINES: u32 = 8;

#[yare::parameterized(
    mornings = { Shape::Mornings },
    crashes = { Shape::Crashes },
    both = { Shape::Both },
    day = { Shape::Day },
    noise = { Shape::Noise },
    steps = { Shape::Steps },
)]
fn no_controller_scores_higher_than_the_clairvoyant_bound(shape: Shape) {
    let policy = one_pool(roles());
    let trace = short(shape, &policy, 7);
    let rates = policy.rule(pool::Key(0)).rates();
    let roles = roles();
    let parameters = Parameters {
        rates,
        weight: roles.goodput_weight,
        price: roles.change_price,
        changes_at_once: roles.changes_at_once,
    };
    let start = trace.average_split(rates);
    let score = |outcome: &simulation::Outcome| outcome.score(parameters.weight, parameters.price);
    let bound = score(&clairvoyant::best(&trace, start, &parameters));
    let mut planned = Planned::new(policy.clone(), &trace, Duration::ZERO);
    let mut threshold = Threshold::new(rates, trace.step_seconds(), parameters.changes_at_once);
    let planned = score(&simulation::run(&mut planned, &trace, &policy, start));
    let threshold = score(&simulation::run(&mut threshold, &trace, &policy, start));
    let fixed = score(&simulation::run(&mut Fixed, &trace, &policy, start));
    let tolerance = 1e-6 * bound;
    assert!(
        planned <= bound + tolerance
            && threshold <= bound + tolerance
            && fixed <= bound + tolerance
    );
}

#[test]
fn the_same_seed_gives_the_same_trace_and_another_seed_another_one() {
    let policy = one_pool(roles());
    let first = short(Shape::Noise, &policy, 1);
    assert_eq!(first, short(Shape::Noise, &policy, 1));
    assert_ne!(first, short(Shape::Noise, &policy, 2));
}

fn short(shape: Shape, policy: &Policy, seed: u64) -> Trace {
    let rates = policy.rule(pool::Key(0)).rates();
    let mut trace = generate::generate(shape, ENGINES, rates, seed);
    let start = trace.steps.len() / 8;
    trace.steps = trace.steps[start..start + SHORT_STEPS].to_vec();
    trace
}
