//! How long a stream that can go on at one software version only waits for targets of that version.
//!
//! While a service has several versions, streams of one of them break off together when its targets end, and all of them need
//! the few that are left or come back. Targets of other versions go on taking new requests meanwhile. A caller may return after
//! a third of its time at most, so a refused stream misses the targets that are back earlier.

use std::time::Duration;

use common::clock::Moment;

use crate::balancer::selection::Reason;

/// Streams of an instance that may wait at a time; further ones are refused at once. Each selects a target at every attempt.
pub const MAX_WAITING: usize = 128;
/// A stream waits for the time left divided by this: as long as callers wait for their next attempt after a refusal.
const TIME_DIVISOR: u32 = 3;
/// The pause before the second attempt, doubled before each further one up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// At any target of its service.
    Service,
    /// At targets of one software version, while the service has several.
    Version,
}

/// Whether a request for which no target was selected waits.
///
/// An instance whose connections to several targets of one version fail takes itself for cut off until another one answers.
pub fn is_deferred(reason: Reason, scope: Scope) -> bool {
    scope == Scope::Version && (reason.is_for_lack_of_targets() || reason == Reason::CutOff)
}

/// The wait of one request.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    until: Moment,
    pause: Duration,
}

impl Wait {
    /// Starts the wait of a request with this much time left.
    pub fn new(remaining: Duration, now: Moment) -> Wait {
        Wait { until: now + remaining / TIME_DIVISOR, pause: FIRST_PAUSE }
    }

    /// Time until the next attempt; nothing once the request is to be refused.
    pub fn next_pause(&mut self, now: Moment) -> Option<Duration> {
        let left = self.until.since(now);
        let pause = self.pause.min(left);
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
        (!left.is_zero()).then_some(pause)
    }
}
