//! Executes seeded runs in parallel: `cargo run --release -p soak --example soak -- --seeds 50`.

#![allow(clippy::print_stdout, reason = "the report is the product of this example")]

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use soak::{
    checker,
    history::Kind,
    plan::Size,
    run::{self, Options},
};
use tokio::runtime::Runtime;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Executes seeded runs under faults and reports violated invariants.
        cmd soak {
            /// First seed; taken from the clock by default.
            optional --first first: u64
            /// Number of seeds; 1 by default.
            optional --seeds seeds: u64
            /// Number of parallel runs; 4 by default.
            optional --jobs jobs: usize
            /// Length of the period in which faults start, in seconds; 15 by default.
            optional --length-s length_s: u64
            /// Number of instances that serve callers; 3 by default.
            optional --entries entries: usize
            /// Sends a request, of a kind drawn from the seed, that ends each target that begins to run it.
            optional --crashing
            /// Cuts instances that serve callers off from targets.
            optional --cut-off
            /// Binary of the daemon; target/release/daisydrum by default.
            optional --binary binary: PathBuf
            /// Folder for logs of failed runs; target/soak by default.
            optional --logs logs: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    let first = flags.first.unwrap_or_else(|| common::clock::unix_ns() % 1_000_000);
    let seeds = flags.seeds.unwrap_or(1);
    let entries = flags.entries.unwrap_or(3);
    let length = Duration::from_secs(flags.length_s.unwrap_or(15));
    let binary = flags.binary.unwrap_or_else(|| PathBuf::from("target/release/daisydrum"));
    let logs = flags.logs.unwrap_or_else(|| PathBuf::from("target/soak"));
    let (next, failed) = (AtomicU64::new(first), AtomicU64::new(0));
    let run_seeds = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + seeds {
                return;
            }
            let options = Options::new(seed);
            let size = Size { entries, ..options.size };
            let crashing = flags.crashing.then(|| Kind::ALL[seed as usize % Kind::ALL.len()]);
            let options = Options { size, length, work: length + run::CALM, crashing, ..options };
            let options = if flags.cut_off { options.with_cuts(length) } else { options };
            if !holds(&binary, options, &run::log_folder(&logs, seed)) {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..flags.jobs.unwrap_or(4) {
            scope.spawn(run_seeds);
        }
    });
    let failed = failed.into_inner();
    println!(
        "{seeds} runs, {failed} of them failed: an invariant was violated or the run could not be completed"
    );
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Executes one run and prints its result; returns whether all invariants held.
fn holds(binary: &Path, options: Options, logs: &Path) -> bool {
    let seed = options.seed;
    let outcome =
        Runtime::new().and_then(|runtime| runtime.block_on(run::execute(binary, options, logs)));
    match outcome {
        Ok(report) if report.violations.is_empty() => {
            println!(
                "seed {seed}: all invariants held; complete responses and requests by kind: {:?}",
                checker::served(&report.history)
            );
            true
        }
        Ok(report) => {
            print!("{}", run::describe(seed, &report));
            println!(
                "  complete responses and requests by kind: {:?}; logs in {}",
                checker::served(&report.history),
                logs.display()
            );
            false
        }
        Err(error) => {
            println!("seed {seed}: the run could not be completed: {error}");
            false
        }
    }
}
