//! How far an answer has come, and whether it keeps the service's goals.

use std::time::{Duration, Instant};

use route::router::Owner;
use settings::service;

/// Gaps between tokens that may be longer than the goal, in percent.
const LATE_GAPS_PERCENT: u32 = 5;
const PERCENT: u32 = 100;

/// How far an answer has come.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Tokens that the caller holds.
    pub(crate) delivered: u32,
    arrived: Instant,
    first: Option<Duration>,
    last: Instant,
    late_gaps: u32,
    gap_goal: Duration,
    first_goal: Duration,
    /// Goal for an answer that is given at once, when it is whole.
    whole_goal: Duration,
}

impl Progress {
    /// Starts with a request that has just arrived.
    ///
    /// `delivered` is more than zero where another instance hands a stream over in its middle.
    pub(crate) fn new(limits: &service::Limits, output_tokens: u32, delivered: u32) -> Progress {
        let now = Instant::now();
        let gap_goal = Duration::from_millis(limits.token_gap_ms);
        let first_goal = Duration::from_millis(limits.first_token_ms);
        Progress {
            delivered,
            arrived: now,
            first: None,
            last: now,
            late_gaps: 0,
            gap_goal,
            first_goal,
            whole_goal: first_goal + gap_goal * output_tokens,
        }
    }

    /// Counts a token that was given to the caller.
    pub(crate) fn count_token(&mut self) {
        let now = Instant::now();
        self.delivered += 1;
        if self.first.is_none() {
            self.first = Some(now - self.arrived);
        } else if now - self.last > self.gap_goal {
            self.late_gaps += 1;
        }
        self.last = now;
    }

    /// Whether the first token and 95 in 100 of the gaps between tokens kept the goals.
    pub(crate) fn is_in_time(&self) -> bool {
        let Some(first) = self.first else {
            return self.arrived.elapsed() <= self.whole_goal;
        };
        let gaps = self.delivered.saturating_sub(1);
        first <= self.first_goal && self.late_gaps * PERCENT <= gaps * LATE_GAPS_PERCENT
    }

    /// Records an answer that was given whole.
    pub(crate) fn record(&self, owner: &Owner) {
        let labels =
            [("partner", owner.partner.to_string()), ("service", owner.service.to_string())];
        metrics::histogram!("daisydrum_answer_seconds", &labels).record(self.arrived.elapsed());
        if let Some(first) = self.first {
            metrics::histogram!("daisydrum_first_token_seconds", &labels).record(first);
        }
        let [partner, service] = labels;
        let in_time = if self.is_in_time() { "yes" } else { "no" };
        let labels = [partner, service, ("in_time", String::from(in_time))];
        metrics::counter!("daisydrum_answers_total", &labels).increment(1);
    }
}
