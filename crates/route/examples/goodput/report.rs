//! Figures of a run.

use std::time::Duration;

use common::clock::Moment;
use hdrhistogram::Histogram;

use crate::fleet::{Job, Outcome};

const GOAL: Duration = Duration::from_millis(820);
const MAX_MS: u64 = 120_000;

/// Figures of a part of a run's jobs.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Jobs.
    pub offered: usize,
    /// Share with a first token within the goal and a whole answer.
    pub goodput: f64,
    /// Share that was refused.
    pub refused: f64,
    /// Time to the first token at the 50th, 95th and 99th percentile, in milliseconds.
    pub first_ms: [u64; 3],
    /// Share of prompt tokens found in caches.
    pub hits: f64,
    /// Jobs of the busiest engine over the mean.
    pub spread: f64,
    /// Attempts sent for each job.
    pub sent: f64,
    /// Calls answered "full" for each job.
    pub full: f64,
}

/// Works out the figures of the jobs that `of` picks.
pub fn figures(jobs: &[Job], outcome: &Outcome, of: impl Fn(&Job) -> bool) -> Figures {
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_MS, 3).expect("invariant: bounds");
    let picked: Vec<&Job> = jobs.iter().filter(|job| of(job)).collect();
    let (mut good, mut refused, mut sent) = (0, 0, 0);
    for job in &picked {
        let fate = outcome.fates[job.id];
        let wait = fate.first.map(|first: Moment| first.since(job.arrival));
        if let Some(wait) = wait {
            times.saturating_record(u64::try_from(wait.as_millis()).unwrap_or(MAX_MS).max(1));
        }
        good += usize::from(fate.finished && wait.is_some_and(|wait| wait <= GOAL));
        refused += usize::from(fate.refused);
        sent += fate.sent as usize;
    }
    let offered = picked.len();
    let share = |count: usize| count as f64 / offered.max(1) as f64;
    let total: u64 = outcome.started.iter().sum();
    let busiest = outcome.started.iter().max().copied().unwrap_or_default();
    Figures {
        offered,
        goodput: share(good),
        refused: share(refused),
        first_ms: [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile)),
        hits: outcome.cached_tokens as f64 / outcome.prompt_tokens.max(1) as f64,
        spread: busiest as f64 * outcome.started.len() as f64 / total.max(1) as f64,
        sent: share(sent),
        full: outcome.full as f64 / jobs.len().max(1) as f64,
    }
}
