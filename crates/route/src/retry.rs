//! Decides whether a failed or silent attempt is followed by another, and when.
//!
//! Each service has a retry budget as in Finagle: each first attempt deposits a fraction of a retry and each retry
//! withdraws one, so that retries stay a bounded share of the traffic however many attempts fail.

use std::time::Duration;

use common::{clock::Moment, random::Random};
use settings::service;

use crate::request::{Event, Retry};

/// Units of a budget that pay for one retry; a unit is a percent, as in the settings.
const UNITS_PER_RETRY: u64 = 100;
/// Maximum number of retries that a budget holds.
const MAX_BUDGET_RETRIES: u64 = 20;
/// Retries in a new budget, so that a service with little traffic can retry.
const INITIAL_RETRIES: u64 = 5;
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Minimum time between an attempt and its deadline; an attempt with less is not made.
pub const MIN_ATTEMPT: Duration = Duration::from_millis(50);

/// Retries that a service may still make, in hundredths of a retry.
#[derive(Clone, Copy, Debug)]
pub struct Budget(u64);

impl Default for Budget {
    fn default() -> Budget {
        Budget(INITIAL_RETRIES * UNITS_PER_RETRY)
    }
}

impl Budget {
    /// Deposits the share of a retry that the settings grant for a first attempt.
    pub fn deposit(&mut self, settings: &service::Retry) {
        let sum = self.0 + u64::from(settings.budget_percent);
        self.0 = sum.min(MAX_BUDGET_RETRIES * UNITS_PER_RETRY);
    }

    /// Withdraws one retry.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] if the budget holds less than one retry.
    pub fn withdraw(&mut self) -> Result<(), Exhausted> {
        self.0 = self.0.checked_sub(UNITS_PER_RETRY).ok_or(Exhausted)?;
        Ok(())
    }
}

/// The retry budget holds less than one retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Whether a failed or silent attempt is followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry after the given pause.
    Retry(Duration),
    /// Don't retry.
    Stop,
}

/// A failed or silent attempt and its request.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// How the attempt failed.
    pub event: Event,
    /// Whether the request may be sent again after it may have run.
    pub retry: Retry,
    /// Failed and silent attempts so far, this one included; after a refusal by the target, refusals so far.
    pub attempts: u32,
    /// Whether the caller has received a part of the answer.
    pub begun: bool,
    /// When another attempt is of no use any more.
    pub deadline: Moment,
}

/// Decides whether a failed attempt is retried, and withdraws from the budget if it is.
///
/// A refusal by the target counts neither against the budget nor against the maximum of attempts: the target is marked
/// as full, which limits such calls. A stream that has begun is resumed even if the budget is exhausted, since the
/// caller's stream would be cut otherwise.
pub fn decide(
    failure: &Failure,
    settings: &service::Retry,
    budget: &mut Budget,
    random: &mut Random,
    now: Moment,
) -> Decision {
    let may_have_run = matches!(failure.event, Event::Silent | Event::Broken);
    if may_have_run && failure.retry == Retry::Never {
        return Decision::Stop;
    }
    let refused = matches!(failure.event, Event::Full | Event::Unavailable);
    if !refused && failure.attempts >= settings.max_attempts {
        return Decision::Stop;
    }
    let pause = backoff(failure, settings, random);
    if now + pause + MIN_ATTEMPT > failure.deadline {
        return Decision::Stop;
    }
    if !refused && !failure.begun && budget.withdraw().is_err() {
        return Decision::Stop;
    }
    Decision::Retry(pause)
}

/// Pause before a retry: doubles with each attempt up to 2 s, and is drawn evenly from the upper half of that time.
fn backoff(failure: &Failure, settings: &service::Retry, random: &mut Random) -> Duration {
    let exponent = failure.attempts.saturating_sub(1).min(10);
    let max_pause = Duration::from_millis(settings.backoff_ms << exponent).min(MAX_BACKOFF);
    max_pause.mul_f64(0.5 + random.unit() / 2.0)
}
