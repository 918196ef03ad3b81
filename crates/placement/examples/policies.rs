//! Compares ways to choose an engine under the load of the operators' sheets, in simulated time.

#![allow(clippy::print_stdout, reason = "the table is the result")]

#[path = "../tests/support/fleet.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod fleet_of_engines;

use std::time::Duration;

use fleet_of_engines::{Kind, compare};

const SECONDS: u64 = 60;

/// Requests a second, subjects, shared and fresh tokens, output tokens, target and timeout in milliseconds.
const KINDS: [(f64, u64, u32, u32, u64, u64, u64); 3] = [
    (29.9, 135, 13_300, 3_720, 120, 600, 5_000),
    (23.6, 71, 6_300, 2_890, 52, 1_000, 3_000),
    (51.0, 346, 350, 1_110, 172, 1_000, 6_000),
];

fn kinds(factor: f64) -> Vec<Kind> {
    let kind =
        |(per_s, subjects, shared, fresh, output, target, timeout): (_, _, _, _, _, _, _)| Kind {
            per_s: per_s * factor,
            subjects,
            shared,
            fresh,
            output,
            target: Duration::from_millis(target),
            timeout: Duration::from_millis(timeout),
        };
    KINDS.into_iter().map(kind).collect()
}

fn main() {
    println!("| fleet | load | policy | in time | by kind | tokens computed of those asked for |");
    println!("|---|---|---|---|---|---|");
    let fleets = [
        ("18 engines, 12 compute prompts", 12, 6, 1.0),
        ("9 engines, 6 compute prompts", 6, 3, 0.5),
    ];
    for (fleet, computing, generating, scale) in fleets {
        for load in [1.0, 1.4, 1.8] {
            let reports = compare(computing, generating, &kinds(load * scale), SECONDS);
            let mut names: Vec<_> = reports.keys().collect();
            names.sort();
            for name in names {
                let report = &reports[name];
                let kinds: Vec<String> = (0..report.kinds.len())
                    .map(|kind| format!("{:.0}%", report.kind_in_time(kind) * 100.0))
                    .collect();
                println!(
                    "| {fleet} | {load} | {name} | {:.1}% | {} | {:.0}% |",
                    report.in_time() * 100.0,
                    kinds.join(", "),
                    report.read_share() * 100.0
                );
            }
        }
    }
}
