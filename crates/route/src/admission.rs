//! Bounds on what waits, and early refusal of what can't be answered in time.

use std::time::Duration;

use common::{clock::Moment, random::Random};
use settings::service::{self, Priority};

use crate::request::{Reason, Refusal, Request};

/// Time over which the rate of service is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// A rate is forgotten after this time without any request that waited.
const RATE_MEMORY: Duration = Duration::from_secs(60);
/// Time for which requests must have waited before a rate is known.
const MIN_BUSY: Duration = Duration::from_millis(500);
/// A request of a waiting person is given up after this many times its goal for the first token.
const PATIENCE_GOALS: u32 = 8;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Retry-after where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Tokens dispatched a second while requests waited, averaged over two seconds with exponential decay.
///
/// Time in which nothing waits tells how much is asked for and not how much can be served, so it is left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    tokens: f64,
    busy_seconds: f64,
    at: Moment,
}

impl Rate {
    /// Counts the time since the last call, in which requests waited or not.
    pub fn advance(&mut self, period: Period, now: Moment) {
        let elapsed = now.since(self.at);
        self.at = now;
        match period {
            Period::Busy => {
                let decay = (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
                self.tokens *= decay;
                self.busy_seconds = self.busy_seconds * decay + elapsed.as_secs_f64();
            }
            Period::Idle if elapsed > RATE_MEMORY => {
                self.tokens = 0.0;
                self.busy_seconds = 0.0;
            }
            Period::Idle => {}
        }
    }

    /// Counts tokens that were dispatched.
    pub fn add(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }

    /// Tokens a second, once requests have waited long enough to tell.
    pub fn per_second(&self) -> Option<f64> {
        let known = self.busy_seconds >= MIN_BUSY.as_secs_f64();
        known.then(|| self.tokens / self.busy_seconds)
    }
}

/// Whether requests waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Period {
    /// At least one did.
    Busy,
    /// None did.
    Idle,
}

/// Average of a latency and of its deviation, as for TCP's retransmission timer (Jacobson 1988).
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    average: Duration,
    deviation: Duration,
}

impl Latency {
    /// Takes in a sample.
    pub fn observe(&mut self, sample: Duration) {
        const WEIGHT: f64 = 0.125;
        const DEVIATION_WEIGHT: f64 = 0.25;
        let off = sample.abs_diff(self.average);
        self.deviation = blend(self.deviation, off, DEVIATION_WEIGHT);
        self.average = blend(self.average, sample, WEIGHT);
    }

    /// A latency that few samples exceed.
    pub fn upper_bound(&self) -> Duration {
        const DEVIATIONS: u32 = 2;
        self.average + self.deviation * DEVIATIONS
    }
}

fn blend(old: Duration, new: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}

/// What waits of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Controller {
    /// Tokens that wait.
    pub tokens: u64,
    /// Requests that wait.
    pub requests: u32,
    /// Tokens dispatched.
    pub rate: Rate,
}

/// A change of what waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A request begins to wait.
    Enqueued,
    /// A request is dispatched.
    Dispatched,
    /// A request leaves without being dispatched.
    Removed,
}

/// Tokens that wait before and beside a new request.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Served before it.
    pub ahead_tokens: u64,
    /// Of its own organisation.
    pub organisation_tokens: u64,
}

impl Controller {
    /// Counts a change of a request with `cost` tokens.
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
    /// An organisation may hold as much of the queue as is still free (dynamic threshold of Choudhury and
    /// Hahne 1998, with factor 4), so that there is always room for another one.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the queue is full or the wait is longer than the request's patience.
    pub fn admit(
        &self,
        request: &Request,
        settings: &service::Service,
        backlog: Backlog,
        random: &mut Random,
        now: Moment,
    ) -> Result<(), Refusal> {
        const ORGANISATION_FACTOR: u64 = 4;
        let wait = self.expected_wait(backlog.ahead_tokens);
        let mut refuse = |reason| Refusal { reason, retry_after: retry_after(wait, random) };
        let bounds = &settings.admission;
        let free = bounds.queue_tokens.saturating_sub(self.tokens);
        let organisation = backlog.organisation_tokens + request.cost();
        let crowded = backlog.organisation_tokens > 0 && organisation > free * ORGANISATION_FACTOR;
        if self.requests >= bounds.queue_requests || request.cost() > free || crowded {
            return Err(refuse(Reason::QueueFull));
        }
        if now + wait > queue_deadline(request, settings, now) {
            return Err(refuse(Reason::TooLate));
        }
        Ok(())
    }

    /// Expected wait behind `ahead` tokens; zero while the rate is not known.
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

/// When a request that still waits is given up.
pub fn queue_deadline(request: &Request, settings: &service::Service, arrived: Moment) -> Moment {
    let latest = request.deadline - least_service(request, settings);
    if request.priority == Priority::Batch {
        return latest;
    }
    let goal = Duration::from_millis(settings.limits.first_token_ms);
    latest.min(arrived + goal * PATIENCE_GOALS)
}

/// A refusal for want of any target.
pub fn no_target() -> Refusal {
    Refusal { reason: Reason::NoTarget, retry_after: NO_TARGET_RETRY_AFTER }
}

/// When to ask again after `wait`, jittered upwards by half so that callers don't return together.
pub fn retry_after(wait: Duration, random: &mut Random) -> Duration {
    let jittered = wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + random.unit() / 2.0);
    jittered.min(MAX_RETRY_AFTER)
}

/// Time that the answer takes once it has been dispatched, at a small part of the goal between tokens since
/// most answers are shorter than what was asked for.
fn least_service(request: &Request, settings: &service::Service) -> Duration {
    const PART: u64 = 10;
    Duration::from_millis(request.output_tokens * settings.limits.token_gap_ms / PART)
        .min(Duration::from_millis(settings.limits.first_token_ms))
}
