//! Decides when another attempt to connect begins while earlier ones are still open.
//!
//! A machine without power answers nothing, so the first packet of a connect that begins before the peer is up is lost,
//! and the kernel sends it again only after a second. After a common loss of power a fleet would wait for that second.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::clock::Moment;

/// Time after which a connect that has not succeeded counts as failed.
const LIMIT: Duration = Duration::from_secs(1);
/// Time between the beginnings of two attempts while the instance starts.
const STARTUP_INTERVAL: Duration = Duration::from_millis(125);

/// How many attempts a connect may have open at once, and how soon they follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time between the beginnings of two attempts.
    pub interval: Duration,
    /// Attempts that are begun at most; all stay open until the first succeeds or the limit has passed.
    pub max_attempts: u32,
    /// Time after which the connect counts as failed.
    pub limit: Duration,
}

impl Pace {
    /// One attempt at a time.
    pub const STEADY: Pace = Pace { interval: LIMIT, max_attempts: 1, limit: LIMIT };
    /// Attempts side by side: a peer that comes up during the connect is reached within the interval.
    pub const STARTUP: Pace = Pace { interval: STARTUP_INTERVAL, max_attempts: 8, limit: LIMIT };
}

/// What to do next for a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Begin an attempt.
    Start,
    /// Wait for the open attempts, for at most this time.
    Wait(Duration),
    /// Give up.
    Fail,
}

/// The attempts of one connect.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    pace: Pace,
    began: Moment,
    started: u32,
    open: u32,
}

impl Schedule {
    /// The schedule of a connect that begins now.
    pub fn new(pace: Pace, now: Moment) -> Schedule {
        Schedule { pace, began: now, started: 0, open: 0 }
    }

    /// What to do now. A connect fails as soon as no attempt is open: one that the peer refuses is left to the caller,
    /// who knows when to try again.
    pub fn next(&self, now: Moment) -> Step {
        if self.started == 0 {
            return Step::Start;
        }
        let elapsed = now.since(self.began);
        if self.open == 0 || elapsed >= self.pace.limit {
            return Step::Fail;
        }
        let due = self.pace.interval * self.started;
        if self.started < self.pace.max_attempts && elapsed >= due {
            return Step::Start;
        }
        let until = if self.started < self.pace.max_attempts {
            due.min(self.pace.limit)
        } else {
            self.pace.limit
        };
        Step::Wait(until.saturating_sub(elapsed))
    }

    /// Counts an attempt that was begun.
    pub fn record_start(&mut self) {
        self.started += 1;
        self.open += 1;
    }

    /// Counts an attempt that failed.
    pub fn record_failure(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}

/// Whether an instance is starting. A clone shares the state.
#[derive(Clone, Debug)]
pub struct Startup {
    /// Milliseconds of the [`Moment`] at which it has started.
    until: Arc<AtomicU64>,
}

impl Startup {
    /// An instance that is starting until it says otherwise.
    pub fn open_ended() -> Startup {
        Startup { until: Arc::new(AtomicU64::new(u64::MAX)) }
    }

    /// An instance that has started by `moment`.
    pub fn until(moment: Moment) -> Startup {
        Startup { until: Arc::new(AtomicU64::new(moment.0)) }
    }

    /// An instance that has started.
    pub fn ended() -> Startup {
        Startup { until: Arc::default() }
    }

    /// Records that the instance has started.
    pub fn end(&self) {
        self.until.store(0, Ordering::Relaxed);
    }

    /// Whether the instance is starting.
    pub fn is_under_way(&self, now: Moment) -> bool {
        now.0 < self.until.load(Ordering::Relaxed)
    }

    /// The pace of connects.
    pub fn pace(&self, now: Moment) -> Pace {
        if self.is_under_way(now) { Pace::STARTUP } else { Pace::STEADY }
    }
}
