//! Budget, order and pauses of repeated attempts.
//!
//! The budget follows the retry budgets of Finagle: first attempts deposit a share, retries withdraw one each,
//! so that retries stay a bounded share of traffic however many attempts fail.

use std::time::Duration;

use common::{clock::Moment, random::Random};
use settings::service;

use crate::request::{Event, Repeat};

const PERCENT: u64 = 100;
/// Deposits that a budget holds at most, in retries.
const MAX_SAVED_RETRIES: u64 = 20;
/// Retries that a budget holds at its start, so that a quiet service can retry.
const START_RETRIES: u64 = 5;
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time that an attempt needs at least to be worth sending.
pub const MIN_ATTEMPT: Duration = Duration::from_millis(50);

/// Retries that a service may still make, in hundredths.
#[derive(Clone, Copy, Debug)]
pub struct Budget(u64);

impl Default for Budget {
    fn default() -> Budget {
        Budget(START_RETRIES * PERCENT)
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn deposit(&mut self, settings: &service::Retry) {
        let sum = self.0 + u64::from(settings.budget_percent);
        self.0 = sum.min(MAX_SAVED_RETRIES * PERCENT);
    }

    /// Takes one retry, or refuses.
    pub fn withdraw(&mut self) -> Result<(), Exhausted> {
        self.0 = self.0.checked_sub(PERCENT).ok_or(Exhausted)?;
        Ok(())
    }
}

/// The budget is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try again after the pause.
    Retry(Duration),
    /// Give up now.
    Stop,
}

/// A failed attempt and its request.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// What happened.
    pub event: Event,
    /// Whether the request may be sent again.
    pub repeat: Repeat,
    /// Attempts made so far.
    pub attempts: u32,
    /// Whether the caller holds a part of the answer.
    pub begun: bool,
    /// When another attempt is of no use any more.
    pub deadline: Moment,
}

/// Decides on another attempt; withdraws from the budget where one is made.
///
/// A refusal by the target costs neither budget nor an attempt: the target is remembered as full, which bounds
/// such calls. A stream that has begun is resumed without the budget's leave, since giving up would cut it.
pub fn decide(
    failure: &Failure,
    settings: &service::Retry,
    budget: &mut Budget,
    random: &mut Random,
    now: Moment,
) -> Decision {
    let sent = failure.event == Event::Broken;
    if sent && failure.repeat == Repeat::Never {
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

/// Doubles with each attempt, with full jitter over its upper half.
fn backoff(failure: &Failure, settings: &service::Retry, random: &mut Random) -> Duration {
    let exponent = failure.attempts.saturating_sub(1).min(10);
    let longest = Duration::from_millis(settings.backoff_ms << exponent).min(MAX_BACKOFF);
    longest.mul_f64(0.5 + random.unit() / 2.0)
}
