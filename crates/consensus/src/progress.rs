//! What a leader knows of one peer, and what is under way to it.

use std::collections::VecDeque;

use common::clock::Moment;

use crate::{entry::Snapshot, options::Options};

/// How entries are sent to a peer.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// One message at a time, until the peer's log is known to agree.
    Probe {
        /// When the message was sent, or nothing if none is under way.
        sent: Option<Moment>,
    },
    /// Messages one after the other within the bounds.
    Replicate,
    /// The peer lacks entries that are no longer held.
    Snapshot(SnapshotTransfer),
}

/// A snapshot under way.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Bytes that the peer has.
    pub offset: usize,
    /// When the last chunk was sent.
    pub sent: Moment,
}

/// A message under way.
#[derive(Clone, Copy, Debug)]
struct InflightMessage {
    last: u64,
    entries: usize,
    bytes: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The peer's log equals the leader's up to here, durably.
    pub match_index: u64,
    /// First entry to send next.
    pub next_index: u64,
    pub mode: Mode,
    /// Latest round that the peer has confirmed.
    pub round: u64,
    /// When the peer was heard from last.
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

    /// Entries that may be sent now.
    pub(crate) fn available_entries(&self, options: &Options) -> usize {
        if self.inflight_bytes >= options.max_inflight_bytes {
            return 0;
        }
        options.max_inflight_entries.saturating_sub(self.inflight_entries)
    }

    /// Notes entries sent up to `last`.
    pub(crate) fn record_sent(&mut self, last: u64, entries: usize, bytes: usize) {
        self.inflight.push_back(InflightMessage { last, entries, bytes });
        self.inflight_entries += entries;
        self.inflight_bytes += bytes;
        self.next_index = last + 1;
    }

    /// Notes that the peer has everything up to `match_index`.
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

    /// Forgets what is under way and sends from `next` on, one message at a time.
    pub(crate) fn start_probe(&mut self, next: u64) {
        self.inflight.clear();
        self.inflight_entries = 0;
        self.inflight_bytes = 0;
        self.next_index = next.max(self.match_index + 1);
        self.mode = Mode::Probe { sent: None };
    }
}
