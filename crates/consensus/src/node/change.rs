//! Changes of the members and of the leader.

use common::clock::Moment;

use super::{Node, Order, leader::Handover};
use crate::{
    effect::{Effect, OperationId, Refusal},
    entry::Payload,
    member::{Change, Config, Error, Id},
    message::Body,
    status::Role,
};

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
                self.track_peers(now);
                self.replicate(now);
            }
            Err(error) => self.refuse(operation, Refusal::InvalidChange(error)),
        }
    }

    /// One change at a time, and none before an entry of the own term is committed.
    pub(super) fn changes_allowed(&self) -> bool {
        self.commit >= self.lead.first
            && self.commit >= self.log.config_index()
            && self.lead.handover.is_none()
    }

    fn check_change(&self, change: &Change) -> Result<Config, Error> {
        if let Change::Promote(id) = change {
            let lag = self.log.last().index.saturating_sub(self.lead.match_index(*id));
            if lag > self.options.max_promotion_lag {
                return Err(Error::Behind);
            }
        }
        self.log.config().with_change(change)
    }

    /// Stops taking proposals until `to` has everything and can start its election.
    pub(super) fn transfer(&mut self, to: Id, now: Moment) {
        let votes = self.log.config().is_voter(to) && to != self.hard.id;
        if self.role == Role::Leader && votes {
            self.lead.handover =
                Some(Handover { to, until: now + self.options.election_timeout_max });
            self.hand_over_if_ready(to, now);
        }
    }

    pub(super) fn hand_over_if_ready(&mut self, peer: Id, now: Moment) {
        let due =
            self.lead.handover.is_some_and(|handover| handover.to == peer && now < handover.until);
        if due && self.lead.match_index(peer) == self.log.last().index {
            self.send(peer, Body::TimeoutNow, Order::Now);
        }
    }
}
