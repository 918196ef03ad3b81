//! Compares policies of engine selection in a simulation of the operators' load.

#![allow(clippy::print_stdout, reason = "the table is the result")]

#[path = "../tests/support/fleet.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod simulation;

use simulation::{association, compare};

const SECONDS: u64 = 60;

fn main() {
    println!(
        "| fleet | load | policy | in time | in time by kind | prefilled share of prompt tokens |"
    );
    println!("|---|---|---|---|---|---|");
    let fleets =
        [("18 engines, 12 for prefill", 12, 6, 1.0), ("9 engines, 6 for prefill", 6, 3, 0.5)];
    for (fleet, computing, generating, scale) in fleets {
        for load in [1.0, 1.4, 1.8] {
            let reports = compare(computing, generating, &association(load * scale), SECONDS);
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
                    report.prefilled_share() * 100.0
                );
            }
        }
    }
}
