//! The Association's inspection assistant's load on a simulated fleet, by policy, rate and share of prefill engines.

#[path = "support/fleet.rs"]
mod simulation;

use roles::split;
use simulation::{Policy, Simulation, association, compare};

const COMPUTING: usize = 12;
const GENERATING: usize = 6;
const SECONDS: u64 = 40;
/// Share of first tokens that users require in time.
const IN_TIME: f64 = 0.95;

#[test]
fn at_the_usual_load_95_percent_of_first_tokens_are_in_time_and_no_other_policy_is_better() {
    let reports = compare(COMPUTING, GENERATING, &association(1.0), SECONDS);
    let balancer = &reports["balancer"];
    assert!(balancer.in_time() >= IN_TIME, "{:.3}", balancer.in_time());
    for (policy, report) in reports.iter().filter(|(policy, _)| **policy != "balancer") {
        assert!(
            report.in_time() <= balancer.in_time(),
            "{policy} is better: {:.3}",
            report.in_time()
        );
    }
}

#[test]
fn at_1_8_times_the_load_no_other_policy_is_better_or_prefills_less_and_no_kind_starves() {
    let reports = compare(COMPUTING, GENERATING, &association(1.8), SECONDS);
    let balancer = &reports["balancer"];
    for (policy, report) in reports.iter().filter(|(policy, _)| **policy != "balancer") {
        assert!(
            report.in_time() <= balancer.in_time(),
            "{policy} is better: {:.3}",
            report.in_time()
        );
        assert!(balancer.prefilled_share() <= report.prefilled_share(), "{policy} prefills less");
    }
    for kind in 0..balancer.kinds.len() {
        let share = balancer.kind_in_time(kind);
        assert!(share >= balancer.in_time() / 4.0, "kind {kind} starves: {share:.3}");
    }
}

#[test]
fn at_three_times_the_load_some_requests_are_refused_and_most_accepted_ones_are_in_time() {
    let reports = compare(COMPUTING, GENERATING, &association(3.0), SECONDS);
    let balancer = &reports["balancer"];
    let accepted: u32 = balancer.kinds.iter().map(|kind| kind.in_time + kind.late).sum();
    let in_time: u32 = balancer.kinds.iter().map(|kind| kind.in_time).sum();
    assert!(f64::from(in_time) / f64::from(accepted) >= 0.75, "{in_time} of {accepted}");
    assert!(balancer.kinds.iter().map(|kind| kind.refused).sum::<u32>() > 0);
}

#[test]
fn the_default_share_of_prefill_engines_serves_more_in_time_than_a_smaller_share() {
    let engines = COMPUTING + GENERATING;
    let in_time = |share: f64| {
        let computing = split::prefill_count(engines, share);
        let kinds = association(1.4);
        let simulation = Simulation::new(Policy::Balancer, computing, engines - computing, &kinds);
        simulation.run(SECONDS).in_time()
    };
    let share = settings::seeded::Engines::default().prompt_share;
    let (default, smaller) = (in_time(share), in_time(share - 0.1));
    // At least a third of the requests that the smaller share serves late are served in time.
    assert!(1.0 - default < (1.0 - smaller) * 2.0 / 3.0, "{default:.3} against {smaller:.3}");
}
