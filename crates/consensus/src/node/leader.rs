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
pub(super) struct Lead {
    pub(super) peers: Map<Id, Progress>,
    /// The empty entry that began this leadership; nothing older counts as committed before it.
    pub(super) first: u64,
    /// Round of the latest messages.
    pub(super) round: u64,
    pub(super) reads: VecDeque<Read>,
    pub(super) handover: Option<Handover>,
    heartbeat_due: Moment,
    quorum_due: Moment,
}

/// A leadership that is being handed over.
#[derive(Clone, Copy, Debug)]
pub(super) struct Handover {
    pub(super) to: Id,
    pub(super) until: Moment,
}

impl Lead {
    pub(super) fn match_index(&self, id: Id) -> u64 {
        self.peers.get(&id).map_or(0, |peer| peer.match_index)
    }
}

impl Node {
    /// Begins to lead with an empty entry of the new term.
    pub(super) fn lead(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.hard.id);
        self.lead = Lead { quorum_due: now + self.options.election_timeout_min, ..Lead::default() };
        self.lead.first = self.append(Payload::Empty).index;
        self.track_peers(now);
        self.broadcast(now);
    }

    /// Refuses what waits for a confirmation that can't come any more.
    pub(super) fn stop_leading(&mut self) {
        let lead = std::mem::take(&mut self.lead);
        for read in lead.reads {
            self.refuse(read.operation, Refusal::NotLeader { leader: None });
        }
    }

    /// Keeps one progress for each other member.
    pub(super) fn track_peers(&mut self, now: Moment) {
        let next = self.log.last().index;
        let config = self.log.config();
        self.lead.peers.retain(|id, _| config.member(*id).is_some());
        let others = config.members().iter().filter(|member| member.id != self.hard.id);
        for member in others {
            self.lead.peers.entry(member.id).or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(super) fn propose(&mut self, proposals: Vec<Proposal>, now: Moment) {
        if self.role != Role::Leader {
            let refusal = self.not_leader();
            return self.refuse_all(&proposals, &refusal);
        }
        let waiting = self.log.last().index - self.commit + proposals.len() as u64;
        if self.lead.handover.is_some() || waiting > self.options.max_uncommitted_entries {
            return self.refuse_all(&proposals, &Refusal::Busy);
        }
        for proposal in proposals {
            let position = self.append(Payload::Command(proposal.command));
            self.effects.push(Effect::Appended(proposal.operation, position));
        }
        self.replicate(now);
    }

    pub(super) fn tick_leader(&mut self, now: Moment) {
        if now >= self.lead.quorum_due {
            self.lead.quorum_due = now + self.options.election_timeout_min;
            if !self.hears_quorum(now) {
                return self.follow(None, now);
            }
        }
        if self.lead.handover.is_some_and(|handover| now >= handover.until) {
            self.lead.handover = None;
        }
        if now >= self.lead.heartbeat_due {
            self.broadcast(now);
        }
    }

    fn hears_quorum(&self, now: Moment) -> bool {
        let recent = |peer: &Progress| now.since(peer.heard) < self.options.election_timeout_min;
        self.log
            .config()
            .has_quorum(|id| id == self.hard.id || self.lead.peers.get(&id).is_some_and(recent))
    }

    /// Sends something to every peer: entries where there are any, else a heartbeat.
    pub(super) fn broadcast(&mut self, now: Moment) {
        self.lead.heartbeat_due = now + self.options.heartbeat_interval;
        for peer in self.peer_ids() {
            self.poke(peer, now);
        }
    }

    /// Sends waiting entries to every peer that may take more.
    pub(super) fn replicate(&mut self, now: Moment) {
        for peer in self.peer_ids() {
            self.send_entries(peer, now);
        }
    }

    fn peer_ids(&self) -> Vec<Id> {
        let mut peers: Vec<Id> = self.lead.peers.keys().copied().collect();
        peers.sort_unstable();
        peers
    }

    pub(super) fn take_reply(&mut self, from: Id, reply: AppendReply, now: Moment) {
        let Some(peer) = self.lead.peers.get_mut(&from).filter(|_| self.role == Role::Leader)
        else {
            return;
        };
        let base = self.log.base().index;
        peer.heard = now;
        peer.round = peer.round.max(reply.round);
        match reply.outcome {
            AppendOutcome::Accepted { match_index } => {
                peer.accepted(match_index);
                let next = peer.next;
                match &peer.mode {
                    Mode::Probe { .. } => peer.mode = Mode::Replicate,
                    Mode::Snapshot(transfer)
                        if match_index >= base.min(transfer.snapshot.last.index) =>
                    {
                        peer.probe(next);
                    }
                    Mode::Snapshot(_) | Mode::Replicate => {}
                }
                self.advance_commit(now);
                self.hand_over_if_ready(from, now);
            }
            AppendOutcome::Rejected { previous_index, hint } => {
                self.back_off(from, previous_index, hint)
            }
        }
        self.resolve_reads();
        self.send_entries(from, now);
    }

    /// Goes back to where the logs may still agree.
    fn back_off(&mut self, from: Id, previous_index: u64, hint: Position) {
        let agreed = self.log.agreement(hint).index;
        let Some(peer) = self.lead.peers.get_mut(&from) else {
            return;
        };
        let stale = previous_index <= peer.match_index
            || match peer.mode {
                Mode::Probe { .. } => previous_index + 1 != peer.next,
                Mode::Replicate => false,
                Mode::Snapshot(_) => true,
            };
        if !stale {
            peer.probe(agreed.min(hint.index).min(previous_index - 1) + 1);
        }
    }

    /// Commits what a quorum holds, but only together with an entry of the own term.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let config = self.log.config();
        let held =
            |id: Id| if id == self.hard.id { self.durable } else { self.lead.match_index(id) };
        let mut indexes: Vec<u64> = config.voters().map(held).collect();
        indexes.sort_unstable_by(|left, right| right.cmp(left));
        let index = indexes.get(config.quorum() - 1).copied().unwrap_or(0);
        if index <= self.commit || index < self.lead.first {
            return;
        }
        self.commit_to(index);
        if self.log.config_index() <= self.commit && !self.log.config().is_voter(self.hard.id) {
            self.broadcast(now);
            self.follow(None, now);
        }
    }
}
