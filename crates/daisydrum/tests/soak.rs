//! Short seeded runs of real processes under injected faults, with each seed that once violated an invariant.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{path::Path, time::Duration};

use soak::{
    history::Kind,
    run::{self, Options},
};
use yare::parameterized;

#[parameterized(
    first = { 1, 8 },
    second = { 2, 8 },
    // A control instance receives nothing for five seconds while the configuration changes.
    cut_off_during_changes = { 236, 15 },
)]
fn a_seeded_run_violates_no_invariant(seed: u64, length_s: u64) {
    let length = Duration::from_secs(length_s);
    assert_no_violation(Options { length, work: Duration::ZERO, ..Options::new(seed) });
}

#[parameterized(
    first = { 2000 },
    second = { 2005 },
)]
fn a_seeded_run_with_pauses_violates_no_invariant(seed: u64) {
    let length = Duration::from_secs(8);
    assert_no_violation(Options { length, work: length + run::CALM, ..Options::new(seed) });
}

#[parameterized(
    call = { 4006, Kind::Lookup },
)]
fn a_seeded_run_with_a_request_that_ends_targets_violates_no_invariant(seed: u64, kind: Kind) {
    let (length, crashing) = (Duration::from_secs(8), Some(kind));
    let work = length + run::CALM;
    assert_no_violation(Options { length, work, crashing, ..Options::new(seed) });
}

#[parameterized(
    refused = { 7001 },
    silent = { 7005 },
    reset = { 7008 },
)]
fn a_seeded_run_with_instances_cut_off_from_targets_violates_no_invariant(seed: u64) {
    let length = Duration::from_secs(8);
    let work = length + run::CALM;
    assert_no_violation(Options { length, work, ..Options::new(seed).with_cuts(length) });
}

fn assert_no_violation(options: Options) {
    let seed = options.seed;
    let logs = run::log_folder(Path::new(env!("CARGO_TARGET_TMPDIR")), seed);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_daisydrum"));
    let report = runtime.block_on(run::execute(binary, options, &logs)).unwrap();
    assert!(report.violations.is_empty(), "{}", run::describe(seed, &report));
    assert!(report.history.requests.len() > 100, "{} requests", report.history.requests.len());
}
