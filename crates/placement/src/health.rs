//! Which targets fail, judged by the requests that were sent to them.
//!
//! A target that fails is left out for a while and then gets single requests until one succeeds.

use std::time::Duration;

use common::clock::Moment;

/// Failures in a row after which a target is left out.
const MAX_BROKEN: u32 = 2;
/// Weight of one answer in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// A target is left out once its share of failures is this far above that of its service.
const MAX_EXCESS_RATE: f64 = 0.3;
/// Answers before the share of failures is believed.
const MIN_OUTCOMES: u32 = 6;
const MIN_EJECTION: Duration = Duration::from_millis(1_000);
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// How an exchange with a target went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Success,
    /// It answered that it failed.
    Error,
    /// It refused without running the request.
    Refusal,
    /// The connection broke off or stayed silent.
    Broken,
    /// No connection could be made.
    Unreached,
}

/// Health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    broken_since_success: u32,
    outcomes: u32,
    failure_rate: f64,
    ejections: u32,
    ejected_until: Option<Moment>,
    /// When a single request was sent to see whether the target works again.
    probed_at: Option<Moment>,
    /// Whether no connection to it could be made since the last one.
    unreached: bool,
}

/// Whether a target is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// It is used.
    Available,
    /// It gets a single request that may be repeated.
    Probation,
    /// It is left out.
    Ejected,
}

impl Health {
    /// Whether the target is used now.
    pub fn availability(&self, now: Moment) -> Availability {
        if self.unreached {
            return Availability::Ejected;
        }
        match self.ejected_until {
            None => Availability::Available,
            Some(until) if now < until => Availability::Ejected,
            Some(_) => match self.probed_at {
                Some(probed) if now.since(probed) < MIN_EJECTION => Availability::Ejected,
                Some(_) | None => Availability::Probation,
            },
        }
    }

    /// Notes that a request is sent.
    pub fn record_sent(&mut self, now: Moment) {
        if self.ejected_until.is_some() {
            self.probed_at = Some(now);
        }
    }

    /// Takes in that a connection to the target was made again.
    pub fn record_connected(&mut self) {
        if std::mem::replace(&mut self.unreached, false) {
            *self = Health {
                outcomes: self.outcomes,
                failure_rate: self.failure_rate,
                ..Health::default()
            };
        }
    }

    /// Takes in an outcome; `usual` is the share of failures of the whole service. Returns whether the target is
    /// left out from now on and was not before.
    pub fn record_outcome(&mut self, outcome: Outcome, service_rate: f64, now: Moment) -> bool {
        if outcome == Outcome::Unreached {
            // Connections are tried without requests until one is made.
            return !std::mem::replace(&mut self.unreached, true);
        }
        self.unreached = false;
        let failed = outcome != Outcome::Success;
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_rate += OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        if !failed {
            self.broken_since_success = 0;
            self.ejected_until = None;
            self.probed_at = None;
            if self.failure_rate <= service_rate + MAX_EXCESS_RATE {
                self.ejections = 0;
                return false;
            }
        }
        // An answered error or refusal shows that the target is alive.
        if outcome == Outcome::Broken {
            self.broken_since_success += 1;
        }
        let excessive =
            self.outcomes >= MIN_OUTCOMES && self.failure_rate > service_rate + MAX_EXCESS_RATE;
        if self.broken_since_success < MAX_BROKEN && !excessive && self.ejected_until.is_none() {
            return false;
        }
        if !failed {
            return false;
        }
        let ejection =
            (MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(5))).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection);
        self.probed_at = None;
        self.ejections == 1
    }

    /// Share of failures of the target.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
