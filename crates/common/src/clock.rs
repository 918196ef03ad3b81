//! Monotonic time that keeps counting while a process or machine is suspended.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derive_more::Display;
use rustix::time::ClockId;
use serde::{Deserialize, Serialize};

const MS_PER_SECOND: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// A point in time, in milliseconds of `CLOCK_BOOTTIME`; comparable only within one machine.
///
/// Unlike `CLOCK_MONOTONIC`, `CLOCK_BOOTTIME` also counts time for which the machine is suspended, so that a process
/// sees the time that it missed.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct Moment(pub u64);

impl Moment {
    /// The current time.
    pub fn now() -> Moment {
        let time = rustix::time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
        Moment(seconds * MS_PER_SECOND + nanoseconds / NS_PER_MS)
    }

    /// Time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        let milliseconds = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(milliseconds))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, span: Duration) -> Moment {
        let milliseconds = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_sub(milliseconds))
    }
}

/// Milliseconds since the Unix epoch, for timestamps in logs and records.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Nanoseconds since the Unix epoch, for timestamps of spans.
pub fn unix_ns() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX)
}
