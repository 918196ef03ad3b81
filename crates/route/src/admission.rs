//! Admission control: limits on the requests that wait, and early refusal of those that can't be answered in time.

use std::time::Duration;

use common::{clock::Moment, random::Random};
use settings::service::{self, Priority};

use crate::request::{Reason, Refusal, Request};

/// Time constant of the average over the dispatch rate.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// A rate is discarded after this time without any waiting request.
const RATE_EXPIRY: Duration = Duration::from_secs(60);
/// Busy time that must have been observed before the rate is used.
const MIN_BUSY_TIME: Duration = Duration::from_millis(500);
/// A request that is not of batch priority is refused once it has waited this many times its service's latency goal
/// for the first token.
const MAX_WAIT_GOALS: u32 = 8;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Retry-after of a refusal because no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Rate of tokens dispatched while requests waited, averaged over two seconds with exponential decay.
///
/// Idle periods are left out: without waiting requests, the rate measures the demand and not the capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    tokens: f64,
    busy_seconds: f64,
    at: Moment,
}

impl Rate {
    /// Accounts for the time since the last call, which was a busy or an idle period.
    pub fn advance(&mut self, period: Period, now: Moment) {
        let elapsed = now.since(self.at);
        self.at = now;
        match period {
            Period::Busy => {
                let decay = (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
                self.tokens *= decay;
                self.busy_seconds = self.busy_seconds * decay + elapsed.as_secs_f64();
            }
            Period::Idle if elapsed > RATE_EXPIRY => {
                self.tokens = 0.0;
                self.busy_seconds = 0.0;
            }
            Period::Idle => {}
        }
    }

    /// Adds dispatched tokens.
    pub fn add(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }

    /// Tokens per second; `None` until the observed busy time is long enough.
    pub fn per_second(&self) -> Option<f64> {
        let known = self.busy_seconds >= MIN_BUSY_TIME.as_secs_f64();
        known.then(|| self.tokens / self.busy_seconds)
    }
}

/// Whether requests waited in a period, as in queueing theory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Period {
    /// At least one request waited.
    Busy,
    /// No request waited.
    Idle,
}

/// Smoothed latency and its mean deviation, as for TCP's retransmission timer (Jacobson 1988).
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    average: Duration,
    deviation: Duration,
}

impl Latency {
    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration) {
        const WEIGHT: f64 = 0.125;
        const DEVIATION_WEIGHT: f64 = 0.25;
        let error = sample.abs_diff(self.average);
        self.deviation = weighted_mean(self.deviation, error, DEVIATION_WEIGHT);
        self.average = weighted_mean(self.average, sample, WEIGHT);
    }

    /// A latency that few samples exceed: the average plus two mean deviations.
    pub fn upper_bound(&self) -> Duration {
        const DEVIATIONS: u32 = 2;
        self.average + self.deviation * DEVIATIONS
    }
}

fn weighted_mean(old: Duration, new: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}

/// Queue length and dispatch rate of one service, from which requests are admitted or refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Controller {
    /// Tokens of the waiting requests.
    pub tokens: u64,
    /// Number of waiting requests.
    pub requests: u32,
    /// Rate at which waiting requests are dispatched.
    pub rate: Rate,
}

/// How a request enters or leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The request begins to wait.
    Enqueued,
    /// The request is dispatched.
    Dispatched,
    /// The request leaves the queue without being dispatched.
    Removed,
}

/// Waiting tokens that decide whether a new request is admitted.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Tokens that are served before it.
    pub ahead_tokens: u64,
    /// Tokens of its own organisation.
    pub organisation_tokens: u64,
}

impl Controller {
    /// Records that a request of `cost` tokens entered or left the queue.
    pub fn record(&mut self, transition: Transition, cost: u64, now: Moment) {
        let period = if self.requests > 0 { Period::Busy } else { Period::Idle };
        self.rate.advance(period, now);
        if transition == Transition::Enqueued {
            self.tokens += cost;
            self.requests += 1;
            return;
        }
        self.tokens -= cost;
        self.requests -= 1;
        if transition == Transition::Dispatched {
            self.rate.add(cost);
        }
    }

    /// Admits a request that has to wait, or refuses it.
    ///
    /// An organisation may hold up to 4 times as many tokens as are still free in the queue (dynamic threshold of
    /// Choudhury and Hahne 1998), so that there is always room for another organisation. One that holds no tokens may
    /// use any free ones.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue or the organisation's share of it is full, or if the expected wait ends after
    /// the request's [`queue_deadline`].
    pub fn admit(
        &self,
        request: &Request,
        settings: &service::Service,
        backlog: Backlog,
        random: &mut Random,
        now: Moment,
    ) -> Result<(), Refusal> {
        const THRESHOLD_FACTOR: u64 = 4;
        let wait = self.expected_wait(backlog.ahead_tokens);
        let mut refuse = |reason| Refusal { reason, retry_after: retry_after(wait, random) };
        let limits = &settings.admission;
        let free = limits.queue_tokens.saturating_sub(self.tokens);
        let organisation = backlog.organisation_tokens + request.cost();
        let over_share = backlog.organisation_tokens > 0 && organisation > free * THRESHOLD_FACTOR;
        if self.requests >= limits.queue_requests || request.cost() > free || over_share {
            return Err(refuse(Reason::QueueFull));
        }
        if now + wait > queue_deadline(request, settings, now) {
            return Err(refuse(Reason::TooLate));
        }
        Ok(())
    }

    /// Expected wait behind `ahead` tokens, at most 60 s; zero while the rate is unknown.
    pub fn expected_wait(&self, ahead: u64) -> Duration {
        match self.rate.per_second() {
            Some(rate) if ahead > 0 => {
                let seconds = ahead as f64 / rate.max(f64::MIN_POSITIVE);
                Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
            }
            _ => Duration::ZERO,
        }
    }
}

/// Time until which a request may wait before it is refused.
pub fn queue_deadline(request: &Request, settings: &service::Service, arrived: Moment) -> Moment {
    let latest = request.deadline - min_service_time(request, settings);
    if request.priority == Priority::Batch {
        return latest;
    }
    let goal = Duration::from_millis(settings.limits.first_token_ms);
    latest.min(arrived + goal * MAX_WAIT_GOALS)
}

/// Refusal because no target serves the request.
pub fn no_target() -> Refusal {
    Refusal { reason: Reason::NoTarget, retry_after: NO_TARGET_RETRY_AFTER }
}

/// Retry-after for an expected `wait`: between 1 s and 60 s, with up to half added at random so that callers don't
/// all retry at the same time.
pub fn retry_after(wait: Duration, random: &mut Random) -> Duration {
    let jittered = wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + random.unit() / 2.0);
    jittered.min(MAX_RETRY_AFTER)
}

/// Minimum time that an answer is assumed to take after its dispatch: a tenth of the goal for the gaps between all
/// requested tokens, since most answers are shorter than requested, and at most the goal for the first token.
fn min_service_time(request: &Request, settings: &service::Service) -> Duration {
    const DIVISOR: u64 = 10;
    Duration::from_millis(request.output_tokens * settings.limits.token_gap_ms / DIVISOR)
        .min(Duration::from_millis(settings.limits.first_token_ms))
}
