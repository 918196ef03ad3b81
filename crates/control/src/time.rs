//! Time as the log counts it.
//!
//! A proposer reads the log's time, waits on its own monotonic clock, and proposes to advance from the time it
//! read by at most what it waited. The command takes effect only if the log's time is still the one it was read
//! at, so two proposers never count the same span twice, and time that passes while nobody proposes is not
//! counted. The log's time is therefore never ahead of real time, whatever proposers are paused or cut off.

use serde::{Deserialize, Serialize};

/// Longest span that one command may count, in milliseconds.
///
/// The span may have begun before an entry that stands between two advances, so every promise that some time has
/// passed since an entry adds this span.
pub const MAX_STEP_MS: u64 = 1_000;

/// Advances the log's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advance {
    /// The log's time as the proposer read it, in milliseconds.
    pub from_ms: u64,
    /// What the proposer counted since, in milliseconds; anything above [`MAX_STEP_MS`] is not counted.
    pub elapsed_ms: u64,
}

/// The answer to [`Advance`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The log's time now, in milliseconds.
    pub now_ms: u64,
}

/// The log's time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// Milliseconds that the log has counted.
    pub now_ms: u64,
}

impl Clock {
    /// Applies an advance.
    pub fn apply(&mut self, advance: Advance) -> Reply {
        if advance.from_ms == self.now_ms {
            self.now_ms += advance.elapsed_ms.min(MAX_STEP_MS);
        }
        Reply { now_ms: self.now_ms }
    }
}
