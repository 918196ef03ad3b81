//! Linearizable reads without log entries (read index; Ongaro's dissertation, section 6.4).

use common::clock::Moment;

use super::Node;
use crate::{
    effect::{Effect, OperationId},
    member::Id,
    status::Role,
};

/// A read that waits until a quorum confirms the leadership.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    pub(super) operation: OperationId,
    /// A quorum must reply to a message of this round or a later one.
    round: u64,
}

impl Node {
    pub(super) fn read(&mut self, operation: OperationId, now: Moment) {
        if self.role != Role::Leader {
            let refusal = self.not_leader();
            return self.refuse(operation, refusal);
        }
        self.leader_state.round += 1;
        self.leader_state.reads.push_back(Read { operation, round: self.leader_state.round });
        self.broadcast(now);
        self.resolve_reads();
    }

    /// Releases the reads whose round a quorum has confirmed.
    pub(super) fn resolve_reads(&mut self) {
        if self.role != Role::Leader || self.commit < self.leader_state.first_index {
            return;
        }
        while let Some(read) = self.leader_state.reads.front().copied() {
            let confirmed = |id: Id| {
                id == self.hard.id
                    || self.leader_state.peers.get(&id).is_some_and(|peer| peer.round >= read.round)
            };
            if !self.log.config().has_quorum(confirmed) {
                return;
            }
            self.leader_state.reads.pop_front();
            self.effects.push(Effect::Readable(read.operation, self.commit));
        }
    }
}
