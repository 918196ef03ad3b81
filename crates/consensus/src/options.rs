//! Timeouts and limits of a node.

use std::time::Duration;

use common::random::Random;

/// Timeouts and limits of a node.
///
/// The defaults suit one-way latencies of up to 100 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout. Also the time in which a leader must hear from a quorum, and in which a follower that
    /// heard from the leader refuses votes.
    pub election_timeout_min: Duration,
    /// Longest election timeout. Also the time limit of a leadership transfer.
    pub election_timeout_max: Duration,
    /// Time without a reply after which a probe or a snapshot chunk is sent again.
    pub resend_after: Duration,
    /// Most bytes of entries in one message. A single larger entry is still sent.
    pub max_batch_bytes: usize,
    /// Most entries in flight to one peer.
    pub max_inflight_entries: usize,
    /// No more entries are sent to a peer once this many bytes are in flight to it.
    pub max_inflight_bytes: usize,
    /// Most bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Proposals are refused when more entries than this would be uncommitted.
    pub max_uncommitted_entries: u64,
    /// Proposals are refused while uncommitted entries have this many bytes or more.
    pub max_uncommitted_bytes: usize,
    /// Entries before a snapshot that are kept in memory, so that a peer that lags slightly needs no snapshot.
    pub retained_entries: u64,
    /// Most bytes of these entries.
    pub retained_bytes: usize,
    /// Most entries that a learner may lack when it is promoted.
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
            max_uncommitted_bytes: 8 * 1024 * 1024,
            retained_entries: 1_024,
            retained_bytes: 4 * 1024 * 1024,
            max_promotion_lag: 64,
        }
    }
}

impl Options {
    /// A random election timeout between the shortest and the longest.
    pub(crate) fn election_timeout(&self, random: &mut Random) -> Duration {
        let width = self.election_timeout_max.saturating_sub(self.election_timeout_min);
        self.election_timeout_min + width.mul_f64(random.unit())
    }
}
