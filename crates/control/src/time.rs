//! The log's time, which advances only by commands.
//!
//! A proposer reads the log's time, waits on its own monotonic clock, and proposes to advance the time that it read
//! by at most as long as it waited. The command takes effect only if the log's time is still the one that was read,
//! so two proposers never count the same interval twice, and time that passes while nobody proposes is not counted.
//! The log's time is therefore never ahead of real time, even while proposers are paused or partitioned.

use serde::{Deserialize, Serialize};

/// Longest interval that one command may count, in milliseconds.
///
/// The interval may have begun before a log entry that lies between two advances. A deadline that is measured from
/// such an entry therefore has to be extended by this interval.
pub const MAX_STEP_MS: u64 = 1_000;

/// Advances the log's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advance {
    /// The log's time as the proposer read it, in milliseconds.
    pub from_ms: u64,
    /// Time that the proposer measured since then, in milliseconds; what exceeds [`MAX_STEP_MS`] is not counted.
    pub elapsed_ms: u64,
}

/// The reply to [`Advance`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The log's time after the command, in milliseconds.
    pub now_ms: u64,
}

/// The clock of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// The log's time, in milliseconds since the log began.
    pub now_ms: u64,
}

impl Clock {
    /// Advances the time, unless it has already advanced since the proposer read it.
    pub fn apply(&mut self, advance: Advance) -> Reply {
        if advance.from_ms == self.now_ms {
            self.now_ms += advance.elapsed_ms.min(MAX_STEP_MS);
        }
        Reply { now_ms: self.now_ms }
    }
}
