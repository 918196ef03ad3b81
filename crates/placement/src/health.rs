//! Which targets fail, judged by the requests that were sent to them.
//!
//! A target that fails is left out for a while and then gets single requests until one succeeds.

use std::time::Duration;

use common::clock::Moment;

/// Failures in a row after which a target is left out.
const MAX_IN_ROW: u32 = 2;
/// Weight of one answer in the share of failures.
const ANSWER_WEIGHT: f64 = 0.15;
/// A target is left out once its share of failures is this far above that of its service.
const MAX_EXCESS: f64 = 0.3;
/// Answers before the share of failures is believed.
const MIN_ANSWERS: u32 = 6;
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);
const MAX_PAUSE: Duration = Duration::from_secs(8);

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
    in_row: u32,
    answers: u32,
    failing: f64,
    pauses: u32,
    out_until: Option<Moment>,
    /// When a single request was sent to see whether the target works again.
    probed: Option<Moment>,
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
        match self.out_until {
            None => Availability::Available,
            Some(until) if now < until => Availability::Ejected,
            Some(_) => match self.probed {
                Some(probed) if now.since(probed) < FIRST_PAUSE => Availability::Ejected,
                Some(_) | None => Availability::Probation,
            },
        }
    }

    /// Notes that a request is sent.
    pub fn send(&mut self, now: Moment) {
        if self.out_until.is_some() {
            self.probed = Some(now);
        }
    }

    /// Takes in that a connection to the target was made again.
    pub fn reach(&mut self) {
        if std::mem::replace(&mut self.unreached, false) {
            *self = Health { answers: self.answers, failing: self.failing, ..Health::default() };
        }
    }

    /// Takes in an outcome; `usual` is the share of failures of the whole service. Returns whether the target is
    /// left out from now on and was not before.
    pub fn observe(&mut self, outcome: Outcome, usual: f64, now: Moment) -> bool {
        if outcome == Outcome::Unreached {
            // Connections are tried without requests until one is made.
            return !std::mem::replace(&mut self.unreached, true);
        }
        self.unreached = false;
        let failed = outcome != Outcome::Success;
        self.answers = self.answers.saturating_add(1);
        self.failing += ANSWER_WEIGHT * (f64::from(u8::from(failed)) - self.failing);
        if !failed {
            self.in_row = 0;
            self.out_until = None;
            self.probed = None;
            if self.failing <= usual + MAX_EXCESS {
                self.pauses = 0;
                return false;
            }
        }
        // An answered error or refusal shows that the target is alive.
        if outcome == Outcome::Broken {
            self.in_row += 1;
        }
        let excessive = self.answers >= MIN_ANSWERS && self.failing > usual + MAX_EXCESS;
        if self.in_row < MAX_IN_ROW && !excessive && self.out_until.is_none() {
            return false;
        }
        if !failed {
            return false;
        }
        let pause = (FIRST_PAUSE * 2_u32.saturating_pow(self.pauses.min(5))).min(MAX_PAUSE);
        self.pauses += 1;
        self.out_until = Some(now + pause);
        self.probed = None;
        self.pauses == 1
    }

    /// Share of failures of the target.
    pub fn failing(&self) -> f64 {
        self.failing
    }
}
