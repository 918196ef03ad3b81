//! Passive health checks: targets that fail are ejected by the outcomes of the requests sent to them.
//!
//! An ejected target gets no requests for a time that doubles with each ejection. After it, single requests probe
//! the target until one succeeds. A target that can't be connected to stays ejected until a connection is made, unless
//! answers come over other connections.
//!
//! Silence is not a failure: a target that was silent is ejected until it sends something, and its failure rate remains.

use std::time::Duration;

use common::clock::Moment;

/// Broken exchanges since the last success after which a target is ejected.
const MAX_BROKEN: u32 = 2;
/// Silent exchanges since the target last sent something after which it is ejected.
const MAX_SILENT: u32 = 2;
/// Weight of one outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Excess of a target's failure rate over its service's median above which it is ejected.
const MAX_EXCESS_RATE: f64 = 0.3;
/// Outcomes after which the failure rate of a target is meaningful.
const MIN_OUTCOMES: u32 = 6;
/// Duration of the first ejection, and time that a probe is waited for before the next one.
const MIN_EJECTION: Duration = Duration::from_millis(1_000);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Time for which an answer shows that connections to a target live on, though a new one fails.
const ANSWER_TTL: Duration = Duration::from_millis(400);

/// Outcome of an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered the request.
    Success,
    /// It answered with an error.
    Error,
    /// It refused the request without running it.
    Refusal,
    /// The connection was lost.
    Broken,
    /// It has sent nothing for longer than expected, and its connection is open.
    Silent,
    /// No connection could be made.
    Unreached,
}

/// Time without a connection after which a target is taken for absent, rather than slow to accept one.
const SLOW_TIME: Duration = Duration::from_millis(1_500);

/// Health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    broken_since_success: u32,
    silent_since_heard: u32,
    outcomes: u32,
    /// Moving average of the share of outcomes that are no success.
    failure_rate: f64,
    /// Ejections since the target was last healthy.
    ejections: u32,
    ejected_until: Option<Moment>,
    /// When the last probe was sent to the ejected target.
    probed_at: Option<Moment>,
    /// Whether the last attempt to connect to it failed, with no answer over another connection shortly before.
    unreached: bool,
    /// Since when `unreached` holds.
    unreached_since: Option<Moment>,
    /// When it last answered, unless an attempt to connect has failed since then.
    answered_at: Option<Moment>,
    /// Whether it is ejected for its silence alone.
    ejected_for_silence: bool,
}

/// Whether a target gets requests; a smaller value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// It gets requests.
    Available,
    /// Its ejection is over; a single request that may be retried elsewhere probes it.
    Probation,
    /// It gets no requests while another target is available.
    Ejected,
}

impl Health {
    /// Whether the target gets requests now.
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

    /// Whether the last attempt to connect to it failed.
    pub fn is_unreached(&self) -> bool {
        self.unreached
    }

    /// Whether no connection could be made to it for so long that waiting for one is in vain.
    pub fn is_absent(&self, now: Moment) -> bool {
        self.unreached_since.is_some_and(|since| now.since(since) >= SLOW_TIME)
    }

    /// Records that a request was sent, which probes the target if it is ejected.
    pub fn record_sent(&mut self, now: Moment) {
        if self.ejected_until.is_some() {
            self.probed_at = Some(now);
        }
    }

    /// Records that a connection was made; this ends an ejection for failed connections.
    pub fn record_connected(&mut self) {
        if std::mem::replace(&mut self.unreached, false) {
            *self = Health {
                outcomes: self.outcomes,
                failure_rate: self.failure_rate,
                ..Health::default()
            };
        }
    }

    /// Records an outcome; `service_rate` is the median failure rate of the service's targets.
    ///
    /// Returns whether this begins an ejection, rather than prolonging one.
    pub fn record_outcome(&mut self, outcome: Outcome, service_rate: f64, now: Moment) -> bool {
        if outcome == Outcome::Unreached {
            let answered_at = self.answered_at.take();
            if answered_at.is_some_and(|answered| now.since(answered) < ANSWER_TTL) {
                return false;
            }
            self.unreached_since = self.unreached_since.or(Some(now));
            // The caller tries to connect in the background until it succeeds.
            return !std::mem::replace(&mut self.unreached, true);
        }
        self.unreached = false;
        self.unreached_since = None;
        if outcome == Outcome::Silent {
            return self.record_silence(now);
        }
        if outcome == Outcome::Broken {
            self.ejected_for_silence = false;
        } else {
            self.record_heard();
            self.answered_at = Some(now);
        }
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
        // An error or a refusal shows that the target is alive.
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
        self.eject(now)
    }

    /// Records that the target has sent something; this ends an ejection for silence.
    pub fn record_heard(&mut self) {
        self.silent_since_heard = 0;
        if std::mem::replace(&mut self.ejected_for_silence, false) {
            self.ejected_until = None;
            self.probed_at = None;
            self.ejections = 0;
        }
    }

    fn record_silence(&mut self, now: Moment) -> bool {
        self.silent_since_heard += 1;
        if self.silent_since_heard < MAX_SILENT {
            return false;
        }
        match self.ejected_until {
            None => self.ejected_for_silence = true,
            Some(until) if now < until => return false,
            Some(_) => {}
        }
        self.eject(now)
    }

    /// Ejects the target, for twice as long as the last time; returns whether this is the first ejection in turn.
    fn eject(&mut self, now: Moment) -> bool {
        let ejection =
            (MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(5))).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection);
        self.probed_at = None;
        self.ejections == 1
    }

    /// Moving average of the target's failure rate, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
