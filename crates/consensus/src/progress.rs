//! A leader's view of one peer: replication progress and messages in flight.

use std::collections::VecDeque;

use common::clock::Moment;

use crate::{entry::Snapshot, options::Options};

/// Replication mode of a peer.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// One message at a time, until it is known where the logs match.
    Probe {
        /// When the message in flight was sent; none if there is none.
        sent: Option<Moment>,
    },
    /// Pipelined messages within the in-flight limits.
    Replicate,
    /// A snapshot is sent, since the peer lacks entries that are no longer in memory.
    Snapshot(SnapshotTransfer),
}

/// A snapshot transfer in progress.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Bytes that the peer has confirmed.
    pub offset: usize,
    /// When the last chunk was sent.
    pub sent: Moment,
}

/// A message with entries that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct InflightMessage {
    /// Index of its last entry.
    last: u64,
    entries: usize,
    bytes: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Index up to which the peer's log is known to match the leader's and to be durable.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    pub mode: Mode,
    /// Latest round that the peer has confirmed.
    pub round: u64,
    /// Time of the last reply from the peer.
    pub last_contact: Moment,
    inflight: VecDeque<InflightMessage>,
    inflight_entries: usize,
    inflight_bytes: usize,
}

impl Progress {
    pub(crate) fn new(next_index: u64, now: Moment) -> Progress {
        Progress {
            match_index: 0,
            next_index,
            mode: Mode::Probe { sent: None },
            round: 0,
            last_contact: now,
            inflight: VecDeque::new(),
            inflight_entries: 0,
            inflight_bytes: 0,
        }
    }

    /// Number of entries that may be sent now.
    pub(crate) fn available_entries(&self, options: &Options) -> usize {
        if self.inflight_bytes >= options.max_inflight_bytes {
            return 0;
        }
        options.max_inflight_entries.saturating_sub(self.inflight_entries)
    }

    /// Records a message with entries up to `last`.
    pub(crate) fn record_sent(&mut self, last: u64, entries: usize, bytes: usize) {
        self.inflight.push_back(InflightMessage { last, entries, bytes });
        self.inflight_entries += entries;
        self.inflight_bytes += bytes;
        self.next_index = last + 1;
    }

    /// Records that the peer's log matches up to `match_index`.
    pub(crate) fn record_accepted(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while let Some(message) =
            self.inflight.front().copied().filter(|message| message.last <= self.match_index)
        {
            self.inflight_entries -= message.entries;
            self.inflight_bytes -= message.bytes;
            self.inflight.pop_front();
        }
    }

    /// Drops the in-flight messages and probes from `next` on.
    pub(crate) fn start_probe(&mut self, next: u64) {
        self.inflight.clear();
        self.inflight_entries = 0;
        self.inflight_bytes = 0;
        self.next_index = next.max(self.match_index + 1);
        self.mode = Mode::Probe { sent: None };
    }
}
