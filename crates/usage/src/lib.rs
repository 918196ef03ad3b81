//! Counts the requests of organisations by window of time, and the demand for services. Pure, without I/O.
//!
//! [`tally`] counts at an entry instance, [`ledger`] merges the reports of all entry instances, [`clock`] is the time by
//! which windows begin, and [`schedule`] decides when the usage of a window is fixed and reported.

pub mod clock;
pub mod ledger;
pub mod schedule;
pub mod tally;

use std::time::Duration;

/// Demand for a service, from all entry instances that reported lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that targets began, per second.
    pub requests_per_s: f64,
    /// Tokens of their prompts that had to be computed, per second.
    pub prompt_tokens_per_s: f64,
    /// Output tokens, per second.
    pub output_tokens_per_s: f64,
    /// Time since the oldest of the reports.
    pub age: Duration,
}
