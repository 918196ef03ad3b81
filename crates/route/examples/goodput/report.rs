//! Figures of a simulation.

use std::time::Duration;

use common::clock::Moment;
use hdrhistogram::Histogram;

use crate::fleet::{Job, Results};

/// Latency goal for the first token.
const FIRST_TOKEN_GOAL: Duration = Duration::from_millis(820);
const MAX_MS: u64 = 120_000;

/// Figures of a selection of a simulation's jobs; `hits`, `spread` and `full` are those of all jobs.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Number of jobs.
    pub offered: usize,
    /// Fraction with a first token within the goal and a complete answer.
    pub goodput: f64,
    /// Fraction that was refused or failed.
    pub refused: f64,
    /// Time to the first token at the 50th, 95th and 99th percentile, in milliseconds.
    pub first_ms: [u64; 3],
    /// Fraction of prompt tokens that were cached.
    pub hits: f64,
    /// Started attempts of the busiest engine, relative to the mean.
    pub spread: f64,
    /// Attempts sent per job.
    pub sent: f64,
    /// Calls refused as "full" per job.
    pub full: f64,
}

/// Computes the figures of the jobs that `counted` selects.
pub fn figures(jobs: &[Job], results: &Results, counted: impl Fn(&Job) -> bool) -> Figures {
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_MS, 3).expect("invariant: bounds");
    let picked: Vec<&Job> = jobs.iter().filter(|job| counted(job)).collect();
    let (mut good, mut refused, mut sent) = (0, 0, 0);
    for job in &picked {
        let outcome = results.outcomes[job.id];
        let wait = outcome.first.map(|first: Moment| first.since(job.arrival));
        if let Some(wait) = wait {
            times.saturating_record(u64::try_from(wait.as_millis()).unwrap_or(MAX_MS).max(1));
        }
        good += usize::from(outcome.finished && wait.is_some_and(|wait| wait <= FIRST_TOKEN_GOAL));
        refused += usize::from(outcome.refused);
        sent += outcome.sent as usize;
    }
    let offered = picked.len();
    let share = |count: usize| count as f64 / offered.max(1) as f64;
    let total: u64 = results.started.iter().sum();
    let busiest = results.started.iter().max().copied().unwrap_or_default();
    Figures {
        offered,
        goodput: share(good),
        refused: share(refused),
        first_ms: [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile)),
        hits: results.cached_tokens as f64 / results.prompt_tokens.max(1) as f64,
        spread: busiest as f64 * results.started.len() as f64 / total.max(1) as f64,
        sent: share(sent),
        full: results.full as f64 / jobs.len().max(1) as f64,
    }
}
