//! Cost of the decisions on silent runs, and what they change for callers.
//!
//! `cargo run --release -p placement --example hedge`

#![allow(clippy::print_stdout, reason = "prints figures")]

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use common::{clock::Moment, random::Random};
use placement::hedge::{Another, Decision, Race};

const DECISIONS: u32 = 5_000_000;
const STREAMS: usize = 100_000;
const LIMIT: Duration = Duration::from_millis(1_000);
const DEADLINE_MS: u64 = 6_000;
/// Time that a target needs for the rest of a stream without a pause.
const REST_MS: u64 = 160;

/// What is done with a silent run.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// It is ended, then another one is started.
    End,
    /// It is waited for.
    Wait,
    /// It is kept while another one is tried.
    Hedge,
}

/// What the other target does.
#[derive(Clone, Copy, Debug)]
enum Other {
    Serves,
    Rejects,
    IsMissing,
}

fn main() {
    println!("{:.0} ns for an event of a single run", measure_events());
    println!("{:.0} ns for a silence, another run and its end", measure_hedges());
    println!("{} bytes for the live runs of a request", size_of::<Race>());
    println!(
        "served, and mean time until the end, of streams with a pause of 0.5 to 2 s, a tenth silent for good:"
    );
    for other in [Other::Serves, Other::Rejects, Other::IsMissing] {
        for policy in [Policy::End, Policy::Wait, Policy::Hedge] {
            let (served, mean_ms) = play(policy, other);
            println!(
                "  other target {other:?}, {policy:?}: {:.1}%, {mean_ms:.0} ms",
                served * 100.0
            );
        }
    }
}

fn measure_events() -> f64 {
    let mut race = Race::default();
    let run = race.start(LIMIT, Moment(0));
    let begin = Instant::now();
    for event in 0..DECISIONS {
        black_box(race.win(run, LIMIT, Moment(u64::from(event))));
        black_box(race.next_check());
    }
    begin.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn measure_hedges() -> f64 {
    let begin = Instant::now();
    for _ in 0..DECISIONS / 10 {
        let mut race = Race::default();
        race.start(LIMIT, Moment(0));
        black_box(race.check(Moment(1_000)));
        if race.after_silence(Another::Allowed) == Decision::Start {
            let second = race.start(LIMIT, Moment(1_000));
            black_box(race.after_end(second, Another::Denied));
        }
    }
    begin.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS / 10)
}

/// Share of the streams that are served, and the mean time of all of them until their end.
fn play(policy: Policy, other: Other) -> (f64, f64) {
    let mut random = Random::new(7);
    let (mut served, mut total_ms) = (0, 0);
    for _ in 0..STREAMS {
        let pause = 500 + random.below(1_500) as u64;
        let silent = random.below(10) == 0;
        let own = (!silent).then_some(pause + REST_MS);
        let elsewhere = match other {
            Other::Serves => Some(1_000 + REST_MS),
            Other::Rejects | Other::IsMissing => None,
        };
        let ends_unnoticed = pause < 1_000 && !silent;
        let (end, whole) = match policy {
            Policy::End if ends_unnoticed => (own, true),
            Policy::End => (elsewhere.or(Some(1_000)), elsewhere.is_some()),
            Policy::Wait => (own, own.is_some()),
            Policy::Hedge if ends_unnoticed => (own, true),
            Policy::Hedge => {
                let first = own.into_iter().chain(elsewhere).min();
                (first, first.is_some())
            }
        };
        served += usize::from(whole);
        total_ms += end.unwrap_or(DEADLINE_MS);
    }
    (served as f64 / STREAMS as f64, total_ms as f64 / STREAMS as f64)
}
