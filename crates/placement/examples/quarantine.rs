//! Cost and effect of the quarantine of prompt parts and of requests.
//!
//! Prints the time to admit a request and to record a success, and for simulated fleets how many targets end, how many
//! requests with the part, or copies of the request, come too late, and which share of the sound requests is served.

#![allow(
    clippy::print_stdout,
    clippy::unwrap_used,
    reason = "prints figures; a failed step ends it"
)]

#[path = "../tests/support/crash_requests.rs"]
mod crash_requests;
#[path = "../tests/support/crashes.rs"]
mod crashes;

use std::time::Instant;

use common::{clock::Moment, name};
use crashes::{Plan, simulate};
use fleet::exchange::{self, Digest, MAX_SUSPICIONS, Notice};
use placement::quarantine::{Quarantine, Trials, request};

const ROUNDS: u64 = 1_000_000;
const SEEDS: u64 = 20;

fn main() {
    measure_parts();
    measure_requests();
    simulate_parts();
    simulate_requests();
}

fn measure_requests() {
    let mut quarantine = request::Quarantine::default();
    for number in 0..4_096 {
        for process in 0..request::MAX_ENDS as u64 {
            quarantine.record_end(Digest(u128::MAX - number), process, Moment(1));
        }
    }
    let crashes = quarantine.states(Moment(1_000))[..MAX_SUSPICIONS].to_vec();
    let bytes = exchange::encode(&vec![Notice::Crashes(crashes)]).len();
    println!("notice with {MAX_SUSPICIONS} quarantined requests: {bytes} bytes");
    let began = Instant::now();
    let mut refused = 0_u64;
    for round in 0..ROUNDS {
        let request = Digest(u128::MAX - u128::from(round % 8_192));
        refused += u64::from(quarantine.begin(request, None, Moment(2)).is_err());
    }
    println!(
        "check a request with 4,096 quarantined: {} ns ({refused} of {ROUNDS} refused)",
        began.elapsed().as_nanos() / u128::from(ROUNDS)
    );
    let began = Instant::now();
    for round in 0..ROUNDS {
        quarantine.record_success(Digest(round.into()), Moment(3 + round / 1_000));
    }
    println!("record its success: {} ns", began.elapsed().as_nanos() / u128::from(ROUNDS));
}

fn simulate_requests() {
    println!(
        "requests: instances targets loss restarts starts cuts: ends, late copies, sound requests refused, longest refusal of polls in ms (worst of {SEEDS} seeds)"
    );
    for (instances, targets) in [(1, 6), (7, 6), (70, 40)] {
        for (loss, events) in [(0.0, 0), (0.2, 0), (0.5, 0), (0.05, 1)] {
            let plan = crash_requests::Plan {
                instances,
                targets,
                copies_per_s: 4.0,
                round_ms: 1_500,
                sound_per_s: 60.0,
                common_ends: 0,
                loss,
                restarts: events * instances,
                starts: events * instances / 4,
                cuts: events * instances / 2,
            };
            let plays: Vec<_> =
                (0..SEEDS).map(|seed| crash_requests::simulate(&plan, seed)).collect();
            let ends = plays.iter().map(|play| play.ends).max().unwrap_or(0);
            let late = plays.iter().map(|play| play.late).max().unwrap_or(0);
            let refused = plays.iter().map(|play| play.refused).max().unwrap_or(0);
            let longest = plays.iter().map(|play| play.longest_refusal_ms).max().unwrap_or(0);
            println!(
                "{instances} {targets} {loss} {} {} {}: {ends}, {late}, {refused}, {longest}",
                plan.restarts, plan.starts, plan.cuts
            );
        }
    }
}

fn measure_parts() {
    let mut quarantine = Quarantine::default();
    for part in (0..1_024).map(|part| u64::MAX - part) {
        let ticket = quarantine.admit([part].into_iter(), |_| Trials::Denied, Moment(0)).unwrap();
        quarantine.record_end([part].into_iter(), &ticket, Moment(1));
    }
    let suspicions = quarantine.suspicions(Moment(1_000));
    let notice = Notice::Suspicions {
        service: name::Service::from("engines"),
        suspicions: suspicions[..MAX_SUSPICIONS].to_vec(),
    };
    println!(
        "notice with {MAX_SUSPICIONS} suspicions: {} bytes",
        exchange::encode(&[notice]).len()
    );
    let began = Instant::now();
    for round in 0..ROUNDS {
        let parts = [u64::MAX - round % 2_048, round % 64].into_iter();
        quarantine.admit(parts, |_| Trials::Denied, Moment(2)).unwrap();
    }
    println!(
        "admit with 1,024 suspected parts: {} ns",
        began.elapsed().as_nanos() / u128::from(ROUNDS)
    );
    let began = Instant::now();
    for round in 0..ROUNDS {
        let parts = [10_000 + round % 6_000, 20_000 + round % 64].into_iter();
        quarantine.record_success(parts, Moment(3 + round / 1_000));
    }
    println!("record a success: {} ns", began.elapsed().as_nanos() / u128::from(ROUNDS));
}

fn simulate_parts() {
    println!(
        "parts: instances engines loss: ends, late arrivals, share served before and after (worst of {SEEDS} seeds)"
    );
    for (instances, engines) in [(1, 6), (7, 6), (70, 40)] {
        for loss in [0.0, 0.5] {
            let plan = Plan {
                instances,
                engines,
                crashing_per_s: 4.0,
                random_ends_per_s: 0.0,
                loss,
                restarts: 0,
                cuts: 0,
                sound_from_ms: 0,
            };
            let plays: Vec<_> = (0..SEEDS).map(|seed| simulate(&plan, seed)).collect();
            let ends = plays.iter().map(|play| play.ends).max().unwrap_or(0);
            let late = plays.iter().map(|play| play.late).max().unwrap_or(0);
            let refused = plays.iter().map(|play| play.refused_common).max().unwrap_or(0);
            let before = plays.iter().map(|play| play.served_before).fold(1.0, f64::min);
            let after = plays.iter().map(|play| play.served_after).fold(1.0, f64::min);
            println!(
                "{instances} {engines} {loss}: {ends}, {late}, {before:.3}, {after:.3}; common parts refused {refused}"
            );
        }
    }
}
