//! Compares the policy with its baselines on the generated traces and writes a report.
//!
//! `cargo run --release -p roles --example experiment [REPORT.html]` prints the table, and writes the report to
//! `target/roles.html` or the given file.

#![allow(clippy::print_stdout, reason = "an example prints its table")]

mod report;
mod row;
mod svg;

use std::{env, fs, io, ops::RangeInclusive};

use row::{Comparison, Row};

/// Seed of the table and the report; the default settings were tuned with it.
const SEED: u64 = 1;
/// Seeds that the default settings were not tuned with.
const OTHER_SEEDS: RangeInclusive<u64> = 2..=6;
const DEFAULT_REPORT: &str = "target/roles.html";

fn main() -> io::Result<()> {
    let path = env::args().nth(1).unwrap_or_else(|| String::from(DEFAULT_REPORT));
    let rows = row::all(SEED);
    println!("{}", Row::HEADER);
    for row in &rows {
        println!("{row}");
    }
    print_verdict(SEED, &row::compare(&rows));
    for seed in OTHER_SEEDS {
        print_verdict(seed, &row::compare(&row::all(seed)));
    }
    fs::write(&path, report::page(&rows))?;
    println!("report: {path}");
    Ok(())
}

fn print_verdict(seed: u64, comparison: &Comparison) {
    println!(
        "seed {seed}: goal met in {} of {} runs, better than both baselines in {}, lowest goodput {:.1}% of the bound",
        comparison.met, comparison.runs, comparison.ahead, comparison.percent
    );
    for miss in &comparison.misses {
        println!("  {miss}");
    }
}
