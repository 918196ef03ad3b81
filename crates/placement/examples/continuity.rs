//! Cost and effect of the records of streams' origins.
//!
//! Prints the time to record an origin and to find one, the size of a question, and for simulated fleets how many streams
//! go on at another software version, which share goes on, and how many calls that takes.

#![allow(clippy::print_stdout, reason = "prints figures")]

#[path = "../tests/support/returns.rs"]
mod returns;

use std::time::{Duration, Instant};

use common::{clock::Moment, name};
use fleet::exchange::{self, Origin, Question};
use placement::continuity::Origins;
use returns::{Plan, Power, simulate};

const ROUNDS: u64 = 200_000;
const SEEDS: u64 = 10;

fn main() {
    let origin =
        Origin { service: name::Service::from("engines"), software: "v1.2".into(), run: 0 };
    let streams: Vec<String> = (0..ROUNDS).map(|stream| format!("{stream:016x}")).collect();
    let mut origins = Origins::default();
    let began = Instant::now();
    for (number, stream) in streams.iter().enumerate() {
        let now = Moment(number as u64 / 10);
        let until = now + Duration::from_secs(8);
        let _evicted = origins.record(stream, origin.clone(), until, now);
    }
    println!("record an origin: {} ns", began.elapsed().as_nanos() / u128::from(ROUNDS));
    let began = Instant::now();
    let found = streams.iter().filter(|stream| origins.get(stream).is_some()).count();
    println!(
        "find an origin: {} ns ({found} kept)",
        began.elapsed().as_nanos() / u128::from(ROUNDS)
    );
    let question =
        Question::RecordOrigin { stream: streams[0].clone(), origin, lifetime_ms: Some(8_000) };
    println!("question to record one: {} bytes", exchange::encode_question(&question).len());
    println!(
        "instances loss restarts cuts killed power: mixed (most), share that went on (least), calls a stream, origins kept (most)"
    );
    let plan = Plan {
        instances: 7,
        streams_per_s: 20.0,
        loss: 0.0,
        restarts: 0,
        cuts: 0,
        killed: 0.0,
        power: Power::Stays,
        long_lived: 0.0,
        absence_ms: None,
    };
    let large = Plan { instances: 70, streams_per_s: 30.0, ..plan.clone() };
    for plan in [
        Plan { instances: 1, ..plan.clone() },
        plan.clone(),
        Plan { loss: 0.3, ..plan.clone() },
        Plan { restarts: 6, ..plan.clone() },
        Plan { cuts: 3, ..plan.clone() },
        Plan { killed: 0.01, ..plan.clone() },
        Plan { power: Power::EntriesLose, ..plan },
        large.clone(),
        Plan { loss: 0.3, ..large.clone() },
        Plan { restarts: 60, ..large.clone() },
        Plan { cuts: 20, ..large.clone() },
        Plan { power: Power::EntriesLose, ..large.clone() },
        Plan { power: Power::AllLose, ..large },
    ] {
        let plays: Vec<_> = (0..SEEDS).map(|seed| simulate(&plan, seed)).collect();
        let mixed = plays.iter().map(|play| play.mixed).max().unwrap_or(0);
        let share = plays.iter().map(|play| play.went_on as f64 / play.taken_up as f64);
        let calls = plays.iter().map(|play| play.calls as f64 / play.began as f64);
        let kept = plays.iter().map(|play| play.most_kept).max().unwrap_or(0);
        println!(
            "{} {} {} {} {} {:?}: {mixed}, {:.3}, {:.1}, {kept}",
            plan.instances,
            plan.loss,
            plan.restarts,
            plan.cuts,
            plan.killed,
            plan.power,
            share.fold(1.0, f64::min),
            calls.fold(0.0, f64::max)
        );
    }
}
