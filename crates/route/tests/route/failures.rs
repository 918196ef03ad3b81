//! Stale load reports, lost cache events, failing engines and a surge of one partner, simulated with queue models of
//! engines in virtual time.
//!
//! The models are those of the example `goodput`.

use std::time::Duration;

use common::clock::Moment;

use crate::{
    fleet::{Conditions, Fleet, Job, Policy},
    load::{self, Stream},
    policy::{Baseline, Routed, Strategy},
    report::{self, Figures},
};

const INSTANCES: usize = 4;
const STREAM: Stream = Stream { partner: "association", per_second: 60.0, from_s: 5, to_s: 35 };

fn run<P: Policy>(
    conditions: &Conditions,
    jobs: &[Job],
    make: impl Fn(usize) -> P,
    counted: impl Fn(&Job) -> bool,
) -> Figures {
    let policies = (0..INSTANCES).map(make).collect();
    let results = Fleet::new(conditions.clone(), policies, jobs.to_vec()).run();
    report::figures(jobs, &results, counted)
}

fn routed(conditions: &Conditions) -> impl Fn(usize) -> Routed {
    let owners = conditions.owners.clone();
    move |at| Routed::new(&owners, INSTANCES as u32, at as u64)
}

#[test]
fn load_reports_stale_by_five_seconds_cause_no_herding() {
    let conditions = Conditions { report_age: Duration::from_secs(5), ..Conditions::default() };
    let jobs = load::draw(&[STREAM], 3);
    let all = |_: &Job| true;
    let ours = run(&conditions, &jobs, routed(&conditions), all);
    let herd =
        run(&conditions, &jobs, |at| Baseline::new(Strategy::LeastReported, 20, at as u64), all);
    assert!(ours.goodput > 0.95 && herd.goodput < 0.5, "{ours:?} {herd:?}");
    assert!(ours.spread < 1.3, "load of the busiest engine relative to the mean: {ours:?}");
}

#[test]
fn requests_refused_by_full_engines_are_served_elsewhere() {
    let conditions = Conditions { waiting: 0, slots: 4, ..Conditions::default() };
    let jobs = load::draw(&[Stream { per_second: 20.0, ..STREAM }], 4);
    let ours = run(&conditions, &jobs, routed(&conditions), |_| true);
    assert!(ours.full < 0.2 && ours.refused < 0.05, "refused requests went elsewhere: {ours:?}");
}

#[test]
fn lost_and_reordered_cache_events_still_beat_random_choice() {
    let conditions = Conditions { lost_events: 0.3, ..Conditions::default() };
    let jobs = load::draw(&[STREAM], 5);
    let ours = run(&conditions, &jobs, routed(&conditions), |_| true);
    let random =
        run(&conditions, &jobs, |at| Baseline::new(Strategy::Random, 20, at as u64), |_| true);
    assert!(ours.hits > 2.0 * random.hits, "{ours:?} {random:?}");
}

#[test]
fn a_surge_of_one_partner_leaves_the_other_served() {
    let conditions = Conditions { owners: vec!["association", "inkleaf"], ..Conditions::default() };
    let other = Stream { partner: "inkleaf", per_second: 20.0, ..STREAM };
    let surge = Stream { per_second: 200.0, from_s: 20, ..STREAM };
    let jobs = load::draw(&[other, surge], 6);
    let ours = run(&conditions, &jobs, routed(&conditions), |job| {
        job.partner == "inkleaf" && job.arrival >= Moment(20_000)
    });
    let baseline = |at: usize| Baseline::new(Strategy::LeastOutstanding, 20, at as u64);
    let least_outstanding = run(&conditions, &jobs, baseline, |job| {
        job.partner == "inkleaf" && job.arrival >= Moment(20_000)
    });
    assert!(ours.refused == 0.0, "{ours:?}");
    assert!(
        ours.goodput > 0.5 && ours.goodput > 4.0 * least_outstanding.goodput,
        "{ours:?} {least_outstanding:?}"
    );
}

#[test]
fn half_of_the_targets_failing_causes_no_retry_storm() {
    let conditions = Conditions { failing: 10, ..Conditions::default() };
    let jobs = load::draw(&[Stream { per_second: 25.0, ..STREAM }], 8);
    let ours = run(&conditions, &jobs, routed(&conditions), |_| true);
    assert!(ours.sent < 1.25, "attempts for each request: {ours:?}");
}
