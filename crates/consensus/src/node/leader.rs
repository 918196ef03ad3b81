//! Leader: proposals, heartbeats, commit index and check-quorum.

use std::{collections::VecDeque, time::Duration};

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

/// State that only a leader has.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) peers: Map<Id, Progress>,
    /// Index of the empty entry that this leader appended first. Until it is committed, the leader commits nothing
    /// and accepts no membership change, and reads wait.
    pub(super) first_index: u64,
    /// Heartbeat round, sent with every append message. Replies to it confirm leadership for reads; each read starts a
    /// new one.
    pub(super) round: u64,
    pub(super) reads: VecDeque<Read>,
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    /// Since when this leader has run without a pause: messages that arrived during a pause are yet to be handled.
    running_since: Moment,
    last_tick: Moment,
    next_heartbeat: Moment,
    next_quorum_check: Moment,
}

/// A leadership transfer in progress.
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
    /// Becomes the leader and appends an empty entry of the new term.
    pub(super) fn become_leader(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.failed_campaigns = 0;
        self.leader = Some(self.hard.id);
        self.leader_state = State {
            running_since: now,
            last_tick: now,
            next_quorum_check: now + self.options.election_timeout_min,
            ..State::default()
        };
        self.leader_state.first_index = self.append(Payload::Empty).index;
        self.update_peers(now);
        self.broadcast(now);
    }

    /// Refuses the pending reads, which can no longer be confirmed.
    pub(super) fn stop_leading(&mut self) {
        let state = std::mem::take(&mut self.leader_state);
        for read in state.reads {
            self.refuse(read.operation, Refusal::NotLeader { leader: None });
        }
    }

    /// Makes `peers` hold exactly the other members.
    pub(super) fn update_peers(&mut self, now: Moment) {
        // A peer is first sent the last entry, since its log most likely matches up to the one before: a new leader has
        // just appended its empty entry. A rejection moves the index back.
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
        let waiting_bytes = self.log.bytes_after(self.commit);
        if self.leader_state.leadership_transfer.is_some()
            || waiting > self.options.max_uncommitted_entries
            || waiting_bytes >= self.options.max_uncommitted_bytes
        {
            return self.refuse_all(&proposals, &Refusal::Busy);
        }
        for proposal in proposals {
            let position = self.append(Payload::Command(proposal.command.into()));
            self.effects.push(Effect::Appended(proposal.operation, position));
        }
        self.replicate(now);
    }

    /// Checks the quorum, aborts an overdue leadership transfer and sends heartbeats.
    pub(super) fn tick_leader(&mut self, now: Moment) {
        if now.since(self.leader_state.last_tick) >= self.options.election_timeout_min {
            self.leader_state.running_since = now;
        }
        self.leader_state.last_tick = now;
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

    /// Whether a quorum was heard from within the shortest election timeout (check-quorum).
    fn has_quorum_contact(&self, now: Moment) -> bool {
        let recent =
            |peer: &Progress| now.since(peer.last_contact) < self.options.election_timeout_min;
        self.log.config().has_quorum(|id| {
            id == self.hard.id || self.leader_state.peers.get(&id).is_some_and(recent)
        })
    }

    /// Time for which a peer has not replied while this leader ran; none if this replica does not lead or `peer` is no
    /// other member.
    pub fn silence(&self, peer: Id, now: Moment) -> Option<Duration> {
        if self.role != Role::Leader {
            return None;
        }
        let peer = self.leader_state.peers.get(&peer)?;
        Some(now.since(peer.last_contact.max(self.leader_state.running_since)))
    }

    /// Sends entries, or else a heartbeat, to every peer.
    pub(super) fn broadcast(&mut self, now: Moment) {
        self.leader_state.next_heartbeat = now + self.options.heartbeat_interval;
        for peer in self.peer_ids() {
            self.send_entries_or_heartbeat(peer, now);
        }
    }

    /// Sends pending entries to every peer, within the peer's in-flight limits.
    pub(super) fn replicate(&mut self, now: Moment) {
        for peer in self.peer_ids() {
            self.send_entries(peer, now);
        }
    }

    /// Sorted identities of the peers, so that the order of messages is deterministic.
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
                    // The peer holds the snapshot, or enough of the log to continue without it.
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
                self.handle_rejection(from, previous_index, hint);
            }
        }
        self.resolve_reads();
        self.send_entries(from, now);
    }

    /// Moves the peer's next index back to where the logs may match, unless the rejection is outdated.
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

    /// Commits the entries that are durable on a quorum, but only together with an entry of the leader's own term
    /// (Ongaro's dissertation, section 3.6.2). A leader that a committed change removed steps down.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let config = self.log.config();
        let held = |id: Id| {
            if id == self.hard.id { self.durable_index } else { self.leader_state.match_index(id) }
        };
        let index = config.quorum_index(held);
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
