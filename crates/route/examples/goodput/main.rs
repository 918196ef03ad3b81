//! Goodput of the router against baselines, against queue models of engines in virtual time.
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
use policy::{Baseline, Routed, Rule};
use report::Figures;
use route::request;

const INSTANCES: usize = 4;
const RULES: [Rule; 4] =
    [Rule::Random, Rule::RoundRobin, Rule::LeastReported, Rule::LeastOutstanding];
const ONE: Stream = Stream { partner: "association", per_second: 100.0, from_s: 5, to_s: 65 };

fn main() {
    stale_reports();
    other_partner();
    half_failing();
    decisions();
}

fn stale_reports() {
    for per_second in [60.0, 120.0] {
        for stale_s in [0, 1, 5] {
            println!("\n# reports {stale_s} s stale, 20 engines, {per_second} requests/s");
            let stale = Duration::from_secs(stale_s);
            let conditions = Conditions { stale, ..Conditions::default() };
            compare(&conditions, &[Stream { per_second, ..ONE }], |_| true);
        }
    }
}

fn other_partner() {
    let quiet = Stream { partner: "inkleaf", per_second: 20.0, from_s: 5, to_s: 45 };
    let usual = Stream { partner: "association", per_second: 20.0, from_s: 5, to_s: 25 };
    let surge = Stream { per_second: 200.0, from_s: 25, to_s: 45, ..usual };
    let conditions = Conditions { owners: vec!["association", "inkleaf"], ..Conditions::default() };
    let streams = [quiet, usual, surge];
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

fn half_failing() {
    println!("\n# 10 of 20 engines fail every call, 25 requests/s (sent is the amplification)");
    let conditions = Conditions { failing: 10, ..Conditions::default() };
    compare(&conditions, &[Stream { per_second: 25.0, ..ONE }], |_| true);
}

fn compare(conditions: &Conditions, streams: &[Stream], of: impl Fn(&Job) -> bool + Copy) {
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
    for rule in RULES {
        let make = |at: usize| Baseline::new(rule, conditions.engines, at as u64);
        print(&format!("{rule:?}"), &run(conditions, &jobs, make, of));
    }
    let make = |at: usize| Routed::new(&conditions.owners, INSTANCES as u32, at as u64);
    print("daisydrum", &run(conditions, &jobs, make, of));
}

fn run<P: Policy>(
    conditions: &Conditions,
    jobs: &[Job],
    make: impl Fn(usize) -> P,
    of: impl Fn(&Job) -> bool,
) -> Figures {
    let policies = (0..INSTANCES).map(make).collect();
    let outcome = Fleet::new(conditions.clone(), policies, jobs.to_vec()).run();
    report::figures(jobs, &outcome, of)
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

/// Prints the cost of one decision: submit, dispatch and end.
fn decisions() {
    println!("\n# cost of one request's decisions (submit, dispatch, first token, end)");
    for engines in [20, 300, 12_000] {
        let jobs = load::draw(&[Stream { per_second: 500.0, ..ONE }], 3);
        let mut routed = Routed::new(&["association"], 1, 1);
        let conditions = Conditions { engines, ..Conditions::default() };
        announce(&mut routed, &conditions);
        let start = Instant::now();
        for job in &jobs {
            routed.submit(job, job.arrival);
            while let Some(next) = routed.next_move(job.arrival) {
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
    let probe = Recorder(&mut seen);
    drop(Fleet::new(conditions.clone(), vec![probe], Vec::new()).run());
    for (engine, announcement) in seen.iter().take(conditions.engines).enumerate() {
        routed.observe(engine, announcement, Moment(1_000));
    }
}

/// Keeps the announcements that it sees.
struct Recorder<'a>(&'a mut Vec<wire::target::Announcement>);

impl Policy for Recorder<'_> {
    fn submit(&mut self, _job: &Job, _now: Moment) {}

    fn next_move(&mut self, _now: Moment) -> Option<fleet::Move> {
        None
    }

    fn report(&mut self, _job: usize, _event: request::Event, _now: Moment) {}

    fn observe(&mut self, _engine: usize, seen: &wire::target::Announcement, _now: Moment) {
        self.0.push(seen.clone());
    }

    fn outstanding(&self, engines: usize) -> Vec<u32> {
        vec![0; engines]
    }

    fn hear(&mut self, _outstanding: &[u32], _now: Moment) {}

    fn tick(&mut self, _now: Moment) {}
}
