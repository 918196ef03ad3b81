//! Progress of a response to a caller, and whether it meets the service's latency objectives.

use std::time::{Duration, Instant};

use route::router::Owner;
use settings::service;
use tokio::time;

/// Share of the gaps between tokens that may be longer than the objective, in percent.
const LATE_GAPS_PERCENT: u32 = 5;
const PERCENT: u32 = 100;

/// Progress of a response.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Tokens sent to the caller.
    pub(crate) delivered: u32,
    arrived: Instant,
    first: Option<Duration>,
    last: Instant,
    late_gaps: u32,
    gap_objective: Duration,
    first_objective: Duration,
    /// Latency objective of a response that is sent whole, not as a stream of tokens.
    whole_objective: Duration,
}

impl Progress {
    /// Starts with a request that has just arrived.
    ///
    /// `delivered` is above zero if another instance has already sent a part of the stream and forwards the request for
    /// the rest.
    pub(crate) fn new(limits: &service::Limits, output_tokens: u32, delivered: u32) -> Progress {
        let now = Instant::now();
        let gap_objective = Duration::from_millis(limits.token_gap_ms);
        let first_objective = Duration::from_millis(limits.first_token_ms);
        Progress {
            delivered,
            arrived: now,
            first: None,
            last: now,
            late_gaps: 0,
            gap_objective,
            first_objective,
            whole_objective: first_objective + gap_objective * output_tokens,
        }
    }

    /// Counts a token that was sent to the caller.
    pub(crate) fn count_token(&mut self) {
        let now = Instant::now();
        self.delivered += 1;
        if self.first.is_none() {
            self.first = Some(now - self.arrived);
        } else if now - self.last > self.gap_objective {
            self.late_gaps += 1;
        }
        self.last = now;
    }

    /// Returns when the last token was sent, or when the request arrived if none was.
    pub(crate) fn last_token(&self) -> time::Instant {
        time::Instant::from_std(self.last)
    }

    /// Returns whether the first token and 95% of the gaps between tokens met their objectives.
    pub(crate) fn is_in_time(&self) -> bool {
        let Some(first) = self.first else {
            return self.arrived.elapsed() <= self.whole_objective;
        };
        let gaps = self.delivered.saturating_sub(1);
        first <= self.first_objective && self.late_gaps * PERCENT <= gaps * LATE_GAPS_PERCENT
    }

    /// Records the metrics of a complete response.
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
