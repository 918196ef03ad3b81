//! Snapshot transfer in chunks, to a peer that lacks entries which the leader no longer has in memory.

use std::sync::Arc;

use common::clock::Moment;

use super::{Node, Timing};
use crate::{
    effect::Effect,
    entry::{Position, Snapshot},
    member::Id,
    message::{AppendOutcome, AppendReply, Body, SnapshotChunk},
    progress::{Mode, SnapshotTransfer},
    status::Role,
};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    from: Id,
    last: Position,
    data: Vec<u8>,
}

impl Node {
    pub(super) fn start_snapshot_transfer(&mut self, to: Id, now: Moment) {
        let snapshot = self.log.snapshot.clone();
        if let Some(peer) = self.leader_state.peers.get_mut(&to) {
            peer.mode = Mode::Snapshot(SnapshotTransfer { snapshot, offset: 0, sent: now });
            self.send_chunk(to, now);
        }
    }

    pub(super) fn send_chunk(&mut self, to: Id, now: Moment) {
        let snapshot_chunk_bytes = self.options.snapshot_chunk_bytes;
        let Some(peer) = self.leader_state.peers.get_mut(&to) else {
            return;
        };
        let Mode::Snapshot(transfer) = &mut peer.mode else {
            return;
        };
        transfer.sent = now;
        let snapshot = &transfer.snapshot;
        let end = snapshot.data.len().min(transfer.offset + snapshot_chunk_bytes);
        let chunk = SnapshotChunk {
            last: snapshot.last,
            config: snapshot.config.clone(),
            offset: transfer.offset as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[transfer.offset..end].to_vec(),
        };
        self.send(to, Body::SnapshotChunk(chunk), Timing::Immediate);
    }

    pub(super) fn handle_snapshot_chunk_reply(
        &mut self,
        from: Id,
        last: Position,
        received: u64,
        now: Moment,
    ) {
        let Some(peer) =
            self.leader_state.peers.get_mut(&from).filter(|_| self.role == Role::Leader)
        else {
            return;
        };
        peer.last_contact = now;
        let Mode::Snapshot(transfer) = &mut peer.mode else {
            return;
        };
        let received = usize::try_from(received).unwrap_or(usize::MAX);
        if transfer.snapshot.last == last && received <= transfer.snapshot.data.len() {
            transfer.offset = received;
            self.send_chunk(from, now);
        }
    }

    pub(super) fn handle_snapshot_chunk(&mut self, from: Id, chunk: SnapshotChunk, now: Moment) {
        self.record_leader_contact(from, now);
        if chunk.last.index <= self.commit {
            return self.confirm_snapshot(from, self.commit);
        }
        let last = chunk.last;
        let same = |incoming: &&mut Incoming| incoming.from == from && incoming.last == last;
        if self.incoming_snapshot.as_mut().filter(same).is_none() {
            self.incoming_snapshot = Some(Incoming { from, last, data: Vec::new() });
        }
        let Some(incoming) = self.incoming_snapshot.as_mut() else {
            return;
        };
        if incoming.data.len() as u64 == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received < chunk.total {
            return self.send(from, Body::SnapshotChunkReply { last, received }, Timing::Immediate);
        }
        let data = std::mem::take(&mut incoming.data);
        self.incoming_snapshot = None;
        self.restore(Snapshot { last, config: chunk.config, data: Arc::new(data) });
        self.confirm_snapshot(from, last.index);
    }

    /// Installs a received snapshot.
    fn restore(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.last.index;
        self.log.restore(snapshot.clone());
        let last = self.log.last().index;
        self.durable_index = self.durable_index.min(last);
        for write in &mut self.pending_writes {
            write.last = write.last.min(last);
        }
        self.write.snapshot = Some(snapshot.clone());
        self.effects.push(Effect::Restore(snapshot));
    }

    fn confirm_snapshot(&mut self, to: Id, match_index: u64) {
        let reply = AppendReply { round: 0, outcome: AppendOutcome::Accepted { match_index } };
        self.send(to, Body::AppendReply(reply), Timing::AfterSync);
    }
}
