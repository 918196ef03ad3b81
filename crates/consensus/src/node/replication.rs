//! Leader: sends entries and heartbeats to one peer.

use common::clock::Moment;

use super::{Node, Timing};
use crate::{
    entry::Entry,
    member::Id,
    message::{Append, Body},
    progress::Mode,
};

impl Node {
    /// Sends entries within the peer's limits, or starts a snapshot transfer if they are no longer in memory.
    pub(super) fn send_entries(&mut self, to: Id, now: Moment) {
        loop {
            let last = self.log.last().index;
            let Some(peer) = self.leader_state.peers.get(&to) else {
                return;
            };
            if peer.next_index > last {
                return;
            }
            let waits = match &peer.mode {
                Mode::Probe { sent } => sent.is_some(),
                Mode::Replicate => peer.available_entries(&self.options) == 0,
                Mode::Snapshot(_) => true,
            };
            if waits {
                return;
            }
            if peer.next_index <= self.log.base().index {
                return self.start_snapshot_transfer(to, now);
            }
            self.send_batch(to, now);
        }
    }

    /// Sends entries, or else a heartbeat. Sends a probe or snapshot chunk again that has gone unanswered.
    pub(super) fn send_entries_or_heartbeat(&mut self, to: Id, now: Moment) {
        let resend_after = self.options.resend_after;
        let Some(peer) = self.leader_state.peers.get_mut(&to) else {
            return;
        };
        match &mut peer.mode {
            Mode::Probe { sent } if sent.is_some_and(|sent| now.since(sent) >= resend_after) => {
                *sent = None;
            }
            Mode::Snapshot(transfer) if now.since(transfer.sent) >= resend_after => {
                return self.send_chunk(to, now);
            }
            Mode::Probe { .. } | Mode::Replicate | Mode::Snapshot(_) => {}
        }
        let next = peer.next_index;
        self.send_entries(to, now);
        if self.leader_state.peers.get(&to).is_some_and(|peer| peer.next_index == next) {
            self.send_append(to, next, Vec::new());
        }
    }

    fn send_batch(&mut self, to: Id, now: Moment) {
        let Some(peer) = self.leader_state.peers.get_mut(&to) else {
            return;
        };
        let next = peer.next_index;
        let entries = self.log.batch(
            next,
            peer.available_entries(&self.options),
            self.options.max_batch_bytes,
        );
        let bytes = entries.iter().map(Entry::size_bytes).sum();
        match &mut peer.mode {
            Mode::Probe { sent } => *sent = Some(now),
            Mode::Replicate => {
                peer.record_sent(next + entries.len() as u64 - 1, entries.len(), bytes);
            }
            Mode::Snapshot(_) => return,
        }
        self.send_append(to, next, entries);
    }

    /// Sends `entries`, which start at index `next`.
    fn send_append(&mut self, to: Id, next: u64, entries: Vec<Entry>) {
        let previous = self.log.position(next - 1).unwrap_or(self.log.base());
        let append =
            Append { previous, entries, commit: self.commit, round: self.leader_state.round };
        self.send(to, Body::Append(append), Timing::Immediate);
    }
}
