//! Takes lent shares back: attempts beyond their service's guarantee are cancelled and go on later.

use std::time::Duration;

use common::{clock::Moment, name};

use super::{Router, Started, State};
use crate::request::{self, Action, Repeat, Ticket};

/// A service below its guarantee may be kept waiting this long before a lent share is taken back.
const TAKE_BACK_AFTER: Duration = Duration::from_millis(200);
/// Attempts taken back at once for one service.
const MAX_TAKEN: usize = 8;
/// Running attempts that are looked at for one service.
const MAX_LOOKED_AT: usize = 64;

/// A service that waits although it runs less than its guarantee.
#[derive(Clone, Copy, Debug)]
struct Claim {
    service: request::Service,
    pool: request::Pool,
    wanted: usize,
}

impl Router {
    /// Cancels attempts of services that use more than their guarantee for those that wait below theirs.
    pub(super) fn take_back(&mut self, now: Moment) {
        let services: Vec<request::Service> = self.services.keys().collect();
        for service in services {
            let Some(claim) = self.claim(service) else {
                self.services[service].starved_since = None;
                continue;
            };
            let since = *self.services[service].starved_since.get_or_insert(now);
            if now.since(since) >= TAKE_BACK_AFTER {
                self.services[service].starved_since = Some(now);
                self.satisfy(claim, now);
            }
        }
    }

    fn claim(&self, key: request::Service) -> Option<Claim> {
        let service = &self.services[key];
        let stuck = service.variants.iter().find(|variant| {
            let pool = &self.pools[self.variants[**variant].pool];
            self.scheduler.queued_requests(**variant) > 0 && !pool.has_free()
        })?;
        let pool = self.variants[*stuck].pool;
        let waiting = usize::try_from(self.scheduler.queued_requests(*stuck)).unwrap_or_default();
        let unused = self.guarantee(key, pool).checked_sub(service.running.len())?;
        let wanted = unused.min(waiting).min(MAX_TAKEN);
        (wanted > 0).then_some(Claim { service: key, pool, wanted })
    }

    /// Slots of a pool that a service may always use on this instance.
    fn guarantee(&self, key: request::Service, pool: request::Pool) -> usize {
        let service = &self.services[key];
        let partners = self.partner_weights(pool);
        let own = self.partner_weight(&service.owner.partner, pool);
        let siblings = self.users(pool).filter(|user| user.owner.partner == service.owner.partner);
        let shares: u64 = siblings.map(|user| u64::from(user.settings.admission.share)).sum();
        let share = u64::from(service.settings.admission.share);
        let parts = partners * shares.max(share) * u64::from(self.instances);
        let slots = self.pools[pool].slots * own * share / parts.max(1);
        usize::try_from(slots).unwrap_or(usize::MAX)
    }

    /// Services whose requests the pool's targets may serve: those with a variant for the same version.
    fn users(&self, pool: request::Pool) -> impl Iterator<Item = &super::Service> {
        let targets = self.pools[pool].members.keys().first();
        let pools = targets.map(|key| self.targets[*key].pools.as_slice()).unwrap_or_default();
        self.services.values().filter(move |service| {
            service.variants.iter().any(|variant| pools.contains(&self.variants[*variant].pool))
        })
    }

    fn partner_weight(&self, partner: &name::Partner, pool: request::Pool) -> u64 {
        let own = self.users(pool).filter(|user| user.owner.partner == *partner);
        let weights = own.map(|user| u64::from(user.settings.admission.partner_share));
        weights.max().unwrap_or_default()
    }

    fn partner_weights(&self, pool: request::Pool) -> u64 {
        let mut partners: Vec<&name::Partner> =
            self.users(pool).map(|user| &user.owner.partner).collect();
        partners.sort();
        partners.dedup();
        partners.into_iter().map(|partner| self.partner_weight(partner, pool)).sum()
    }

    fn satisfy(&mut self, claim: Claim, now: Moment) {
        let lenders: Vec<request::Service> = self.services.keys().collect();
        let mut left = claim.wanted;
        for key in lenders.into_iter().filter(|key| *key != claim.service) {
            let guarantee = self.guarantee(key, claim.pool);
            let spare = self.services[key].running.len().saturating_sub(guarantee);
            for ticket in self.youngest(key, claim.pool, spare.min(left)) {
                left -= 1;
                self.preempt(ticket, now);
            }
        }
    }

    /// The attempts that were sent last, since they lose the least.
    fn youngest(&self, key: request::Service, pool: request::Pool, count: usize) -> Vec<Ticket> {
        let fits = |ticket: &Ticket| {
            let record = &self.requests[*ticket];
            let State::Running(running) = record.state else {
                return false;
            };
            let target = self.targets.get(running.target);
            let shared = target.is_some_and(|target| target.pools.contains(&pool));
            shared && !record.preempted && record.request.repeat == Repeat::Allowed
        };
        let running = self.services[key].running.iter().rev().take(MAX_LOOKED_AT);
        running.map(|Started { ticket, .. }| *ticket).filter(fits).take(count).collect()
    }

    fn preempt(&mut self, ticket: Ticket, now: Moment) {
        self.stop_attempt(ticket, now);
        let record = &mut self.requests[ticket];
        record.preempted = true;
        let attempt = record.attempt;
        self.actions.push_back(Action::Preempt { ticket, attempt });
        self.wait(ticket, now);
    }
}
