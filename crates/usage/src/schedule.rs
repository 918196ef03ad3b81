//! When the usage of a window is fixed and reported.

use std::{ops::RangeInclusive, time::Duration};

use common::{clock::Moment, collections::Map};
use fleet::usage::Fixed;

/// Time after the end of a window until the entry instances' last reports of it have arrived.
const COLLECT_DELAY: Duration = Duration::from_secs(2);
/// Time before its report is due at which a window is fixed with what is known: for a new holder of the duties, which
/// waits 3.5 s after it was elected, and the call.
const CALL_TIME: Duration = Duration::from_secs(5);
/// First pause after the platform didn't accept a report.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; short enough that a window that ends meanwhile is still reported in time.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Pause of a window that the platform refuses, while others are reported.
const REFUSED_PAUSE: Duration = Duration::from_secs(10);

/// Length of windows and the time until a report is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window by which its report is due.
    pub late: Duration,
}

/// What is known of a window when it is to be fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// All entry instances have reported past its end, and enough control instances have passed that on.
    Complete,
    /// Some reports may be missing.
    Partial,
}

impl Bounds {
    /// The window in which a time lies, in milliseconds since the Unix epoch.
    pub fn window(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms
    }

    /// End of a window, in milliseconds since the Unix epoch.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.window_ms)
    }

    /// The windows that are to be collected now: those that ended a while ago and are not fixed, at most as many as may
    /// wait for the platform. The first one of a fleet that has fixed none is `start`.
    pub fn to_collect(&self, start: u64, fixed: &Fixed, unix_ms: u64) -> Vec<u64> {
        let first = fixed.first().unwrap_or(start);
        let Some(windows) = self.ended(first, unix_ms) else {
            return Vec::new();
        };
        windows.filter(|window| !fixed.is_fixed(*window)).collect()
    }

    fn ended(&self, first: u64, unix_ms: u64) -> Option<RangeInclusive<u64>> {
        let collectable_ms = unix_ms.checked_sub(ms(COLLECT_DELAY))?;
        let last = self.window(collectable_ms).checked_sub(1)?;
        let first = first.max((last + 1).saturating_sub(Fixed::MAX_PENDING as u64));
        Some(first..=last)
    }

    /// Whether a window is to be fixed now.
    pub fn may_fix(&self, window: u64, knowledge: Knowledge, unix_ms: u64) -> bool {
        let last_ms = self.end_ms(window) + ms(self.late.saturating_sub(CALL_TIME));
        knowledge == Knowledge::Complete || unix_ms >= last_ms
    }
}

/// When the holder reports fixed windows.
#[derive(Clone, Debug, Default)]
pub struct Reporting {
    /// Failures in a row.
    failures: u32,
    /// No call before this, after failures.
    paused_until: Moment,
    /// Windows that the platform refused, and when they are reported again.
    refused: Map<u64, Moment>,
}

impl Reporting {
    /// The window to report now: of those that can still be in time the oldest, else the newest.
    pub fn next(&self, fixed: &Fixed, bounds: &Bounds, unix_ms: u64, now: Moment) -> Option<u64> {
        if now < self.paused_until {
            return None;
        }
        let is_free = |window: &&u64| self.refused.get(*window).is_none_or(|until| now >= *until);
        let in_time = |window: &&u64| bounds.end_ms(**window) + ms(bounds.late) >= unix_ms;
        let pending = || fixed.pending().keys().filter(is_free);
        pending().find(in_time).or_else(|| pending().next_back()).copied()
    }

    /// Records that the platform has accepted a report.
    pub fn accepted(&mut self, window: u64) {
        self.failures = 0;
        self.refused.remove(&window);
    }

    /// Records that the platform has refused the report of a window; other windows don't wait for it.
    pub fn refused(&mut self, window: u64, now: Moment) {
        self.refused.retain(|_, until| *until > now);
        self.refused.insert(window, now + REFUSED_PAUSE);
    }

    /// Records that the platform takes no reports for now; `random` between 0 and 1 spreads the next call.
    pub fn failed(&mut self, random: f64, now: Moment) {
        let doubled = MIN_PAUSE * 2_u32.saturating_pow(self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        self.paused_until =
            now + doubled.min(MAX_PAUSE).mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0);
    }
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
