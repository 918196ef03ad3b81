//! Elections: terms, pre-votes and votes.

use common::{clock::Moment, collections::Set};

use super::{Node, Timing};
use crate::{
    entry::Position,
    member::Id,
    message::{AppendOutcome, AppendReply, Body, ElectionCause, Envelope},
    status::Role,
};

/// Most doublings of the election timeout.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Node {
    /// Adopts a newer term; returns whether the message is to be handled.
    pub(super) fn adopt_term(&mut self, envelope: &Envelope, now: Moment) -> bool {
        if envelope.term < self.hard.term {
            self.notify_stale_leader(envelope);
            return matches!(envelope.body, Body::PreVote { .. });
        }
        if envelope.term == self.hard.term {
            return true;
        }
        match envelope.body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => true,
            Body::Vote { cause: ElectionCause::Timeout, .. } if self.has_leader(now) => false,
            _ => {
                self.set_hard(envelope.term, None);
                self.become_follower(None, now);
                true
            }
        }
    }

    /// Replies to a leader of an old term with the current term, so that it steps down.
    fn notify_stale_leader(&mut self, envelope: &Envelope) {
        if matches!(envelope.body, Body::Append(_) | Body::SnapshotChunk(_)) {
            let outcome = AppendOutcome::Rejected { previous_index: 0, hint: Position::default() };
            self.send(
                envelope.from,
                Body::AppendReply(AppendReply { round: 0, outcome }),
                Timing::AfterSync,
            );
        }
    }

    /// Whether this replica leads or heard from the leader within the shortest election timeout, so that it must not
    /// support an election (check-quorum).
    fn has_leader(&self, now: Moment) -> bool {
        let recent = |contact: Moment| now.since(contact) < self.options.election_timeout_min;
        self.role == Role::Leader
            || (self.leader.is_some() && self.last_leader_contact.is_some_and(recent))
    }

    /// Becomes a follower of `leader`, or of none yet.
    pub(super) fn become_follower(&mut self, leader: Option<Id>, now: Moment) {
        if self.role == Role::Leader {
            self.stop_leading();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    /// Sets a new random election deadline, later after each campaign without a result: where disks are slow, votes
    /// take longer than the election timeout.
    pub(super) fn reset_election(&mut self, now: Moment) {
        let doublings = self.failed_campaigns.min(MAX_BACKOFF_DOUBLINGS);
        let timeout = self.options.election_timeout(&mut self.random) * 2_u32.pow(doublings);
        self.election_deadline = now + timeout;
    }

    /// Asks the other voters whether they would vote for this replica.
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_election(now);
        if !self.log.config().is_voter(self.hard.id) {
            return;
        }
        if self.role == Role::Candidate {
            self.failed_campaigns += 1;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = Set::default();
        let last = self.log.last();
        for peer in self.other_voters() {
            self.send_in_term(peer, self.hard.term + 1, Body::PreVote { last }, Timing::Immediate);
        }
        self.record_pre_vote(self.hard.id, true, now);
    }

    pub(super) fn handle_pre_vote(&mut self, from: Id, term: u64, last: Position, now: Moment) {
        let granted = term > self.hard.term
            && last.is_as_up_to_date_as(self.log.last())
            && !self.has_leader(now);
        let term = if granted { term } else { self.hard.term };
        self.send_in_term(from, term, Body::PreVoteReply { granted }, Timing::AfterSync);
    }

    pub(super) fn record_pre_vote(&mut self, from: Id, granted: bool, now: Moment) {
        if self.role != Role::PreCandidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_won() {
            self.campaign(ElectionCause::Timeout, now);
        }
    }

    /// Starts an election: requests votes in a new term.
    pub(super) fn campaign(&mut self, cause: ElectionCause, now: Moment) {
        if self.role == Role::Leader || !self.log.config().is_voter(self.hard.id) {
            return;
        }
        self.reset_election(now);
        self.role = Role::Candidate;
        self.leader = None;
        self.votes = Set::default();
        self.set_hard(self.hard.term + 1, Some(self.hard.id));
        self.vote_write = self.write.number + 1;
        let last = self.log.last();
        for peer in self.other_voters() {
            self.send(peer, Body::Vote { last, cause }, Timing::AfterSync);
        }
    }

    pub(super) fn handle_vote(&mut self, from: Id, last: Position, now: Moment) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free && last.is_as_up_to_date_as(self.log.last());
        if granted {
            self.set_hard(self.hard.term, Some(from));
            self.become_follower(None, now);
        }
        self.send(from, Body::VoteReply { granted }, Timing::AfterSync);
    }

    pub(super) fn record_vote(&mut self, from: Id, granted: bool, now: Moment) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_won() {
            self.become_leader(now);
        }
    }

    /// Follows the sender of a message from the leader of the current term.
    pub(super) fn record_leader_contact(&mut self, from: Id, now: Moment) {
        assert!(self.role != Role::Leader, "invariant: a term has at most one leader");
        self.failed_campaigns = 0;
        self.become_follower(Some(from), now);
        self.last_leader_contact = Some(now);
    }

    fn has_won(&self) -> bool {
        self.log.config().has_quorum(|id| self.votes.contains(&id))
    }

    fn other_voters(&self) -> Vec<Id> {
        self.log.config().voters().filter(|id| *id != self.hard.id).collect()
    }
}
