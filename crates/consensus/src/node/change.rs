//! Membership changes and leadership transfer.

use common::clock::Moment;

use super::{Node, Timing, leader::LeadershipTransfer};
use crate::{
    effect::{Effect, OperationId, Refusal},
    entry::Payload,
    member::{Change, Config, Error, Id},
    message::Body,
    status::Role,
};

/// Heartbeats without a reply up to which a replica counts as one that answers.
const MAX_MISSED_HEARTBEATS: u32 = 3;

impl Node {
    pub(super) fn change(&mut self, operation: OperationId, change: &Change, now: Moment) {
        if self.role != Role::Leader {
            let refusal = self.not_leader();
            return self.refuse(operation, refusal);
        }
        if !self.changes_allowed() {
            return self.refuse(operation, Refusal::Busy);
        }
        match self.check_change(change) {
            Ok(config) => {
                let position = self.append(Payload::Config(config));
                self.effects.push(Effect::Appended(operation, position));
                self.update_peers(now);
                self.replicate(now);
            }
            Err(error) => self.refuse(operation, Refusal::InvalidChange(error)),
        }
    }

    /// Whether the leader accepts a membership change: only one at a time, only after an entry of its own term is
    /// committed, and not during a leadership transfer.
    pub(super) fn changes_allowed(&self) -> bool {
        self.commit >= self.leader_state.first_index
            && self.commit >= self.log.config_index()
            && self.leader_state.leadership_transfer.is_none()
    }

    fn check_change(&self, change: &Change) -> Result<Config, Error> {
        if let Change::Promote(id) = change
            && !self.is_up_to_date(*id)
        {
            return Err(Error::Behind);
        }
        self.log.config().with_change(change)
    }

    /// Whether a peer holds the newest configuration and, but for a few, all entries.
    fn is_up_to_date(&self, id: Id) -> bool {
        let held = self.leader_state.match_index(id);
        let lag = self.log.last().index.saturating_sub(held);
        held >= self.log.config_index() && lag <= self.options.max_promotion_lag
    }

    /// Whether this replica leads, and a peer is up to date and has replied to one of the last heartbeats.
    pub fn has_caught_up(&self, id: Id, now: Moment) -> bool {
        let answers = |silence| silence < self.options.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        self.is_up_to_date(id) && self.silence(id, now).is_some_and(answers)
    }

    /// Starts a leadership transfer: refuses proposals until `to` has all entries and can start its election.
    pub(super) fn transfer_leadership(&mut self, to: Id, now: Moment) {
        let votes = self.log.config().is_voter(to) && to != self.hard.id;
        if self.role == Role::Leader && votes {
            self.leader_state.leadership_transfer =
                Some(LeadershipTransfer { to, until: now + self.options.election_timeout_max });
            self.send_timeout_now_if_ready(to, now);
        }
    }

    /// Sends `TimeoutNow` to the target of a leadership transfer once it has all entries.
    pub(super) fn send_timeout_now_if_ready(&mut self, peer: Id, now: Moment) {
        let due = self
            .leader_state
            .leadership_transfer
            .is_some_and(|transfer| transfer.to == peer && now < transfer.until);
        if due && self.leader_state.match_index(peer) == self.log.last().index {
            self.send(peer, Body::TimeoutNow, Timing::Immediate);
        }
    }
}
