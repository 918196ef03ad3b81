//! Timeouts and bounds of a node.

use std::time::Duration;

use common::random::Random;

/// Timeouts and bounds of a node.
///
/// The defaults suit one-way latencies of up to 100 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest silence of the leader before an election.
    pub election_timeout_min: Duration,
    /// Longest silence of the leader before an election.
    pub election_timeout_max: Duration,
    /// Silence of a peer after which the last message to it is sent again.
    pub resend_after: Duration,
    /// Largest number of bytes of entries in one message, unless one entry alone is larger.
    pub max_batch_bytes: usize,
    /// Entries in flight to one peer.
    pub max_inflight_entries: usize,
    /// Bytes in flight to one peer.
    pub max_inflight_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries that may wait for their commit before proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Entries kept in memory behind a snapshot for peers that are a little behind.
    pub retained_entries: u64,
    /// Entries that a learner may lack when it is promoted.
    pub max_promotion_lag: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(900),
            resend_after: Duration::from_millis(500),
            max_batch_bytes: 256 * 1024,
            max_inflight_entries: 1_024,
            max_inflight_bytes: 1024 * 1024,
            snapshot_chunk_bytes: 1024 * 1024,
            max_uncommitted_entries: 4_096,
            retained_entries: 1_024,
            max_promotion_lag: 64,
        }
    }
}

impl Options {
    /// A random time from the shortest to the longest silence before an election.
    pub(crate) fn election_timeout(&self, random: &mut Random) -> Duration {
        let width = self.election_timeout_max.saturating_sub(self.election_timeout_min);
        self.election_timeout_min + width.mul_f64(random.unit())
    }
}
