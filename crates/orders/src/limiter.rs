//! Limits loads of models to what the weight store can serve, by their rate (a token bucket) and by their number at
//! once.

use std::time::Duration;

use common::clock::Moment;

const MINUTE_MS: u64 = 60_000;

/// Limits on the loads of models in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most loads that run at once.
    pub at_once: u32,
    /// Loads that may start in a minute on average; after a pause, up to `at_once` may start without delay.
    pub per_minute: u32,
}

/// Decides when the next load may start.
#[derive(Clone, Debug)]
pub struct Limiter {
    limits: Limits,
    /// Time that has accrued and not been spent on loads, in milliseconds; each load costs [`Limiter::cost_ms`].
    credit_ms: u64,
    counted_to: Moment,
}

impl Limiter {
    /// Makes a limiter with a full bucket.
    pub fn new(limits: Limits, now: Moment) -> Limiter {
        let mut limiter = Limiter { limits, credit_ms: 0, counted_to: now };
        limiter.credit_ms = limiter.max_credit_ms();
        limiter
    }

    /// Sets new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Allows one more load, if fewer than the most are `running` and the rate permits it.
    pub fn take(&mut self, running: u32, now: Moment) -> bool {
        self.accrue(now);
        let cost_ms = self.cost_ms();
        if running >= self.limits.at_once || self.credit_ms < cost_ms {
            return false;
        }
        self.credit_ms -= cost_ms;
        true
    }

    fn accrue(&mut self, now: Moment) {
        let passed = now.since(self.counted_to);
        self.counted_to = self.counted_to.max(now);
        let passed_ms = u64::try_from(Duration::as_millis(&passed)).unwrap_or(u64::MAX);
        self.credit_ms = self.credit_ms.saturating_add(passed_ms).min(self.max_credit_ms());
    }

    fn cost_ms(&self) -> u64 {
        MINUTE_MS / u64::from(self.limits.per_minute.max(1))
    }

    fn max_credit_ms(&self) -> u64 {
        self.cost_ms() * u64::from(self.limits.at_once.max(1))
    }
}
