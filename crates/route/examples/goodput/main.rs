//! Compares the goodput of the router with that of baseline policies, in a simulation with queue models of engines.
//!
//! `cargo run --release -p route --example goodput`

#![allow(clippy::print_stdout, reason = "prints a table")]

mod engine;
mod fleet;
mod load;
mod policy;
mod report;

use std::{
    hint,
    time::{Duration, Instant},
};

use common::clock::Moment;
use fleet::{Conditions, Fleet, Job, Policy};
use load::Stream;
use policy::{Baseline, Routed, Strategy};
use report::Figures;
use route::request;

const INSTANCES: usize = 4;
const STRATEGIES: [Strategy; 4] =
    [Strategy::Random, Strategy::RoundRobin, Strategy::LeastReported, Strategy::LeastOutstanding];
const STREAM: Stream = Stream { partner: "association", per_second: 100.0, from_s: 5, to_s: 65 };

fn main() {
    compare_stale_reports();
    compare_partners();
    compare_failing_engines();
    print_decision_costs();
}

fn compare_stale_reports() {
    for per_second in [60.0, 120.0] {
        for stale_s in [0, 1, 5] {
            println!("\n# reports {stale_s} s stale, 20 engines, {per_second} requests/s");
            let report_age = Duration::from_secs(stale_s);
            let conditions = Conditions { report_age, ..Conditions::default() };
            compare(&conditions, &[Stream { per_second, ..STREAM }], |_| true);
        }
    }
}

fn compare_partners() {
    let other = Stream { partner: "inkleaf", per_second: 20.0, from_s: 5, to_s: 45 };
    let usual = Stream { partner: "association", per_second: 20.0, from_s: 5, to_s: 25 };
    let surge = Stream { per_second: 200.0, from_s: 25, to_s: 45, ..usual };
    let conditions = Conditions { owners: vec!["association", "inkleaf"], ..Conditions::default() };
    let streams = [other, usual, surge];
    let before = |job: &Job| job.partner == "inkleaf" && job.arrival < Moment(25_000);
    let during = |job: &Job| job.partner == "inkleaf" && job.arrival >= Moment(25_000);
    println!("\n# inkleaf at 20 requests/s while association offers its usual 20");
    compare(&conditions, &streams, before);
    println!("\n# inkleaf at 20 requests/s while association offers 200");
    compare(&conditions, &streams, during);
    println!("\n# association at 200 requests/s");
    compare(&conditions, &streams, |job| {
        job.partner == "association" && job.arrival >= Moment(25_000)
    });
}

fn compare_failing_engines() {
    println!("\n# 10 of 20 engines fail every call, 25 requests/s (sent is the amplification)");
    let conditions = Conditions { failing: 10, ..Conditions::default() };
    compare(&conditions, &[Stream { per_second: 25.0, ..STREAM }], |_| true);
}

fn compare(conditions: &Conditions, streams: &[Stream], counted: impl Fn(&Job) -> bool + Copy) {
    println!(
        "{:<18} {:>7} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>6}",
        "policy",
        "offered",
        "goodput",
        "refused",
        "p50",
        "p95",
        "p99",
        "hits",
        "spread",
        "sent",
        "full"
    );
    let jobs = load::draw(streams, 7);
    for strategy in STRATEGIES {
        let make = |at: usize| Baseline::new(strategy, conditions.engines, at as u64);
        print(&format!("{strategy:?}"), &run(conditions, &jobs, make, counted));
    }
    let make = |at: usize| Routed::new(&conditions.owners, INSTANCES as u32, at as u64);
    print("daisydrum", &run(conditions, &jobs, make, counted));
}

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

fn print(policy: &str, figures: &Figures) {
    let [p50, p95, p99] = figures.first_ms;
    println!(
        "{policy:<18} {:>7} {:>7.1}% {:>7.1}% {p50:>6} {p95:>6} {p99:>6} {:>5.1}% {:>7.2} {:>6.2} {:>6.2}",
        figures.offered,
        figures.goodput * 100.0,
        figures.refused * 100.0,
        figures.hits * 100.0,
        figures.spread,
        figures.sent,
        figures.full,
    );
}

/// Prints the time that the router's decisions take for one request: submit, dispatch, first token and end.
fn print_decision_costs() {
    println!("\n# cost of one request's decisions (submit, dispatch, first token, end)");
    for engines in [20, 300, 12_000] {
        let jobs = load::draw(&[Stream { per_second: 500.0, ..STREAM }], 3);
        let mut routed = Routed::new(&["association"], 1, 1);
        let conditions = Conditions { engines, ..Conditions::default() };
        announce(&mut routed, &conditions);
        let start = Instant::now();
        for job in &jobs {
            routed.submit(job, job.arrival);
            while let Some(next) = routed.next_command(job.arrival) {
                hint::black_box(next);
            }
            routed.report(job.id, request::Event::Started, job.arrival);
            routed.report(job.id, request::Event::Finished, job.arrival);
        }
        let each = start.elapsed().as_nanos() / jobs.len() as u128;
        println!("{engines:>6} targets {each:>7} ns");
    }
}

fn announce(routed: &mut Routed, conditions: &Conditions) {
    let mut seen = Vec::new();
    let recorder = Recorder(&mut seen);
    drop(Fleet::new(conditions.clone(), vec![recorder], Vec::new()).run());
    for (engine, announcement) in seen.iter().take(conditions.engines).enumerate() {
        routed.handle_announcement(engine, announcement, Moment(1_000));
    }
}

/// Policy that sends nothing and records the announcements that it receives.
struct Recorder<'a>(&'a mut Vec<wire::target::Announcement>);

impl Policy for Recorder<'_> {
    fn submit(&mut self, _job: &Job, _now: Moment) {}

    fn next_command(&mut self, _now: Moment) -> Option<fleet::Command> {
        None
    }

    fn report(&mut self, _job: usize, _event: request::Event, _now: Moment) {}

    fn handle_announcement(
        &mut self,
        _engine: usize,
        seen: &wire::target::Announcement,
        _now: Moment,
    ) {
        self.0.push(seen.clone());
    }

    fn outstanding(&self, engines: usize) -> Vec<u32> {
        vec![0; engines]
    }

    fn set_peer_outstanding(&mut self, _outstanding: &[u32], _now: Moment) {}

    fn tick(&mut self, _now: Moment) {}
}
