//! Cost and effect of the quarantine of prompt parts.
//!
//! Prints the time to admit a request and to record a success, and for simulated fleets how many engines end, how many
//! requests with the part come too late, and which share of the sound requests is served.

#![allow(
    clippy::print_stdout,
    clippy::unwrap_used,
    reason = "prints figures; a failed step ends it"
)]

#[path = "../tests/support/crashes.rs"]
mod crashes;

use std::time::Instant;

use common::{clock::Moment, name};
use crashes::{Plan, simulate};
use fleet::exchange::{self, MAX_SUSPICIONS, Notice};
use placement::quarantine::{Quarantine, Trials};

const ROUNDS: u64 = 1_000_000;
const SEEDS: u64 = 20;

fn main() {
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
    println!(
        "instances engines loss: ends, late arrivals, share served before and after (worst of {SEEDS} seeds)"
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
