//! The leader: proposals, heartbeats, commit and the check that a quorum still follows.

use std::collections::VecDeque;

use common::{clock::Moment, collections::Map};

use super::{Node, read::Read};
use crate::{
    effect::{Effect, Proposal, Refusal},
    entry::{Payload, Position},
    member::Id,
    message::{AppendOutcome, AppendReply},
    progress::{Mode, Progress},
    status::Role,
};

/// What only a leader keeps.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) peers: Map<Id, Progress>,
    /// The empty entry that began this leadership; nothing older counts as committed before it.
    pub(super) first_index: u64,
    /// Round of the latest messages.
    pub(super) round: u64,
    pub(super) reads: VecDeque<Read>,
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    next_heartbeat: Moment,
    next_quorum_check: Moment,
}

/// A leadership that is being handed over.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) to: Id,
    pub(super) until: Moment,
}

impl State {
    pub(super) fn match_index(&self, id: Id) -> u64 {
        self.peers.get(&id).map_or(0, |peer| peer.match_index)
    }
}

impl Node {
    /// Begins to lead with an empty entry of the new term.
    pub(super) fn become_leader(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.hard.id);
        self.leader_state = State {
            next_quorum_check: now + self.options.election_timeout_min,
            ..State::default()
        };
        self.leader_state.first_index = self.append(Payload::Empty).index;
        self.update_peers(now);
        self.broadcast(now);
    }

    /// Refuses what waits for a confirmation that can't come any more.
    pub(super) fn stop_leading(&mut self) {
        let state = std::mem::take(&mut self.leader_state);
        for read in state.reads {
            self.refuse(read.operation, Refusal::NotLeader { leader: None });
        }
    }

    /// Keeps one progress for each other member.
    pub(super) fn update_peers(&mut self, now: Moment) {
        let next = self.log.last().index;
        let config = self.log.config();
        self.leader_state.peers.retain(|id, _| config.member(*id).is_some());
        let others = config.members().iter().filter(|member| member.id != self.hard.id);
        for member in others {
            self.leader_state.peers.entry(member.id).or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(super) fn propose(&mut self, proposals: Vec<Proposal>, now: Moment) {
        if self.role != Role::Leader {
            let refusal = self.not_leader();
            return self.refuse_all(&proposals, &refusal);
        }
        let waiting = self.log.last().index - self.commit + proposals.len() as u64;
        if self.leader_state.leadership_transfer.is_some()
            || waiting > self.options.max_uncommitted_entries
        {
            return self.refuse_all(&proposals, &Refusal::Busy);
        }
        for proposal in proposals {
            let position = self.append(Payload::Command(proposal.command));
            self.effects.push(Effect::Appended(proposal.operation, position));
        }
        self.replicate(now);
    }

    pub(super) fn tick_leader(&mut self, now: Moment) {
        if now >= self.leader_state.next_quorum_check {
            self.leader_state.next_quorum_check = now + self.options.election_timeout_min;
            if !self.has_quorum_contact(now) {
                return self.become_follower(None, now);
            }
        }
        if self.leader_state.leadership_transfer.is_some_and(|transfer| now >= transfer.until) {
            self.leader_state.leadership_transfer = None;
        }
        if now >= self.leader_state.next_heartbeat {
            self.broadcast(now);
        }
    }

    fn has_quorum_contact(&self, now: Moment) -> bool {
        let recent =
            |peer: &Progress| now.since(peer.last_contact) < self.options.election_timeout_min;
        self.log.config().has_quorum(|id| {
            id == self.hard.id || self.leader_state.peers.get(&id).is_some_and(recent)
        })
    }

    /// Sends something to every peer: entries where there are any, else a heartbeat.
    pub(super) fn broadcast(&mut self, now: Moment) {
        self.leader_state.next_heartbeat = now + self.options.heartbeat_interval;
        for peer in self.peer_ids() {
            self.send_entries_or_heartbeat(peer, now);
        }
    }

    /// Sends waiting entries to every peer that may take more.
    pub(super) fn replicate(&mut self, now: Moment) {
        for peer in self.peer_ids() {
            self.send_entries(peer, now);
        }
    }

    fn peer_ids(&self) -> Vec<Id> {
        let mut peers: Vec<Id> = self.leader_state.peers.keys().copied().collect();
        peers.sort_unstable();
        peers
    }

    pub(super) fn handle_append_reply(&mut self, from: Id, reply: AppendReply, now: Moment) {
        let Some(peer) =
            self.leader_state.peers.get_mut(&from).filter(|_| self.role == Role::Leader)
        else {
            return;
        };
        let base = self.log.base().index;
        peer.last_contact = now;
        peer.round = peer.round.max(reply.round);
        match reply.outcome {
            AppendOutcome::Accepted { match_index } => {
                peer.record_accepted(match_index);
                let next = peer.next_index;
                match &peer.mode {
                    Mode::Probe { .. } => peer.mode = Mode::Replicate,
                    Mode::Snapshot(transfer)
                        if match_index >= base.min(transfer.snapshot.last.index) =>
                    {
                        peer.start_probe(next);
                    }
                    Mode::Snapshot(_) | Mode::Replicate => {}
                }
                self.advance_commit(now);
                self.send_timeout_now_if_ready(from, now);
            }
            AppendOutcome::Rejected { previous_index, hint } => {
                self.handle_rejection(from, previous_index, hint)
            }
        }
        self.resolve_reads();
        self.send_entries(from, now);
    }

    /// Goes back to where the logs may still agree.
    fn handle_rejection(&mut self, from: Id, previous_index: u64, hint: Position) {
        let agreed = self.log.last_possible_match(hint).index;
        let Some(peer) = self.leader_state.peers.get_mut(&from) else {
            return;
        };
        let stale = previous_index <= peer.match_index
            || match peer.mode {
                Mode::Probe { .. } => previous_index + 1 != peer.next_index,
                Mode::Replicate => false,
                Mode::Snapshot(_) => true,
            };
        if !stale {
            peer.start_probe(agreed.min(hint.index).min(previous_index - 1) + 1);
        }
    }

    /// Commits what a quorum holds, but only together with an entry of the own term.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let config = self.log.config();
        let held = |id: Id| {
            if id == self.hard.id { self.durable_index } else { self.leader_state.match_index(id) }
        };
        let mut indexes: Vec<u64> = config.voters().map(held).collect();
        indexes.sort_unstable_by(|left, right| right.cmp(left));
        let index = indexes.get(config.quorum() - 1).copied().unwrap_or(0);
        if index <= self.commit || index < self.leader_state.first_index {
            return;
        }
        self.commit_to(index);
        if self.log.config_index() <= self.commit && !self.log.config().is_voter(self.hard.id) {
            self.broadcast(now);
            self.become_follower(None, now);
        }
    }
}
