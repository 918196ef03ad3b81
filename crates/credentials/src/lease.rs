//! Lease on the currency of the configuration in force.
//!
//! A control instance reads the newest version through the leader of the replicated log. The reading proves that no later
//! version had been accepted when it began, so an instance whose configuration is at least that version knew of all
//! revocations then. It may trust its API keys for a limited time after that moment.

use std::time::Duration;

use common::clock::Moment;
use serde::{Deserialize, Serialize};

/// Share of the time in which a revocation must take effect for which a reading is trusted. The rest covers the rates of two
/// clocks.
const TRUSTED_SHARE: f64 = 0.9;
/// Versions whose readings are kept: a configuration may be fetched while several newer ones are accepted.
const MAX_READINGS: usize = 8;

/// A reading of the newest version of the configuration, as a control instance passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The newest version when the reading began.
    pub version: u64,
    /// Time from the beginning of the reading to the answer that carries it, in milliseconds.
    pub age_ms: u64,
    /// Time from the arrival of the question to the answer, in milliseconds.
    pub held_ms: u64,
}

impl Reading {
    /// The earliest moment at which the reading may have begun, by the clock of the instance that asked at `asked_at`.
    ///
    /// The question can't have arrived before it was sent, so neither a delayed answer nor a process that was suspended on
    /// the way makes the reading look newer than it is.
    pub fn began_at(&self, asked_at: Moment) -> Moment {
        asked_at + Duration::from_millis(self.held_ms) - Duration::from_millis(self.age_ms)
    }
}

/// The lease of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// Time for which a reading is trusted; `None` if API keys are trusted without one.
    duration: Option<Duration>,
    /// The last reading of each version, by ascending version.
    readings: Vec<(u64, Moment)>,
}

impl Lease {
    /// Makes the lease of an instance at which a revocation must take effect within `limit`, if there is such a limit.
    pub fn new(limit: Option<Duration>) -> Lease {
        let duration = limit.map(|limit| limit.mul_f64(TRUSTED_SHARE));
        Lease { duration, readings: Vec::new() }
    }

    /// Records that `version` was the newest one at a moment.
    pub fn renew(&mut self, version: u64, read_at: Moment) {
        match self.readings.binary_search_by_key(&version, |(version, _)| *version) {
            Ok(index) => {
                let known = &mut self.readings[index].1;
                *known = read_at.max(*known);
            }
            Err(index) => self.readings.insert(index, (version, read_at)),
        }
        if self.readings.len() > MAX_READINGS {
            self.readings.remove(0);
        }
    }

    /// Whether an instance whose configuration in force has this version may trust its API keys.
    pub fn holds(&self, version: u64, now: Moment) -> bool {
        let Some(duration) = self.duration else {
            return true;
        };
        let known = self.readings.iter().filter(|(read, _)| *read <= version);
        known
            .map(|(_, read_at)| *read_at)
            .max()
            .is_some_and(|read_at| now.since(read_at) < duration)
    }

    /// Age of the newest reading that covers a configuration, if there is one.
    pub fn age(&self, version: u64, now: Moment) -> Option<Duration> {
        let known = self.readings.iter().filter(|(read, _)| *read <= version);
        known.map(|(_, read_at)| now.since(*read_at)).min()
    }
}
