//! Preemption: cancels attempts of services beyond their guarantee so that services below theirs get the slots.
//!
//! A service may use slots that others leave idle. When those need them again, the cancelled requests are queued again.

use std::time::Duration;

use common::{clock::Moment, name};

use super::{Attempt, Router, State};
use crate::request::{self, Action, Retry, Ticket};

/// Time for which requests of a service below its guarantee wait before attempts of other services are preempted, and
/// pause before the next preemption for it.
const PREEMPTION_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of attempts that are preempted at once for one service.
const MAX_PREEMPTIONS: usize = 8;
/// Maximum number of running attempts of one service that are examined.
const MAX_EXAMINED: usize = 64;

/// Slots that a service lacks to run as many requests as its guarantee allows.
#[derive(Clone, Copy, Debug)]
struct Shortfall {
    service: request::Service,
    pool: request::Pool,
    slots: usize,
}

impl Router {
    /// Cancels attempts of services that use more than their guarantee for those that wait below theirs.
    pub(super) fn reclaim_shares(&mut self, now: Moment) {
        let services: Vec<request::Service> = self.services.keys().collect();
        for service in services {
            let Some(shortfall) = self.shortfall(service) else {
                self.services[service].starved_since = None;
                continue;
            };
            let since = *self.services[service].starved_since.get_or_insert(now);
            if now.since(since) >= PREEMPTION_DELAY {
                self.services[service].starved_since = Some(now);
                self.preempt_for(shortfall, now);
            }
        }
    }

    /// The shortfall of a service: requests wait for a pool without free targets while the service runs fewer attempts
    /// than its guarantee.
    fn shortfall(&self, key: request::Service) -> Option<Shortfall> {
        let service = &self.services[key];
        let starved = service.variants.iter().find(|variant| {
            let pool = &self.pools[self.variants[**variant].pool];
            self.scheduler.queued_requests(**variant) > 0 && !pool.has_free()
        })?;
        let pool = self.variants[*starved].pool;
        let waiting = usize::try_from(self.scheduler.queued_requests(*starved)).unwrap_or_default();
        let unused = self.guarantee(key, pool).checked_sub(service.running.len())?;
        let slots = unused.min(waiting).min(MAX_PREEMPTIONS);
        (slots > 0).then_some(Shortfall { service: key, pool, slots })
    }

    /// Guarantee of a service: the slots of a pool that it may always use on this instance.
    ///
    /// The slots are divided by weight among partners and among the services of a partner, and equally among instances.
    fn guarantee(&self, key: request::Service, pool: request::Pool) -> usize {
        let service = &self.services[key];
        let total_partner_weight = self.total_partner_weight(pool);
        let own = self.partner_weight(&service.owner.partner, pool);
        let siblings =
            self.services_using(pool).filter(|user| user.owner.partner == service.owner.partner);
        let total_share: u64 = siblings.map(|user| u64::from(user.settings.admission.share)).sum();
        let share = u64::from(service.settings.admission.share);
        let divisor = total_partner_weight * total_share.max(share) * u64::from(self.instances);
        let slots = self.pools[pool].slots * own * share / divisor.max(1);
        usize::try_from(slots).unwrap_or(usize::MAX)
    }

    /// Services whose requests the pool's targets may serve: those with a variant for the same version.
    fn services_using(&self, pool: request::Pool) -> impl Iterator<Item = &super::Service> {
        let targets = self.pools[pool].members.keys().first();
        let pools = targets.map(|key| self.targets[*key].pools.as_slice()).unwrap_or_default();
        self.services.values().filter(move |service| {
            service.variants.iter().any(|variant| pools.contains(&self.variants[*variant].pool))
        })
    }

    /// Weight of a partner among the partners that use a pool: the highest that any of its services sets.
    fn partner_weight(&self, partner: &name::Partner, pool: request::Pool) -> u64 {
        let own = self.services_using(pool).filter(|user| user.owner.partner == *partner);
        let weights = own.map(|user| u64::from(user.settings.admission.partner_share));
        weights.max().unwrap_or_default()
    }

    fn total_partner_weight(&self, pool: request::Pool) -> u64 {
        let mut partners: Vec<&name::Partner> =
            self.services_using(pool).map(|user| &user.owner.partner).collect();
        partners.sort();
        partners.dedup();
        partners.into_iter().map(|partner| self.partner_weight(partner, pool)).sum()
    }

    /// Preempts attempts of other services beyond their guarantee, up to the shortfall.
    fn preempt_for(&mut self, shortfall: Shortfall, now: Moment) {
        let others: Vec<request::Service> = self.services.keys().collect();
        let mut remaining = shortfall.slots;
        for key in others.into_iter().filter(|key| *key != shortfall.service) {
            let guarantee = self.guarantee(key, shortfall.pool);
            let excess = self.services[key].running.len().saturating_sub(guarantee);
            for ticket in self.preemptible(key, shortfall.pool, excess.min(remaining)) {
                remaining -= 1;
                self.preempt(ticket, now);
            }
        }
    }

    /// Up to `count` attempts of a service on targets of the pool that may be preempted, the latest first, since they
    /// lose the least work.
    fn preemptible(&self, key: request::Service, pool: request::Pool, count: usize) -> Vec<Ticket> {
        let is_preemptible = |ticket: &Ticket| {
            let record = &self.requests[*ticket];
            let State::Running(running) = record.state else {
                return false;
            };
            let target = self.targets.get(running.target);
            let shared = target.is_some_and(|target| target.pools.contains(&pool));
            shared && !record.preempted && record.request.retry == Retry::Allowed
        };
        let running = self.services[key].running.iter().rev().take(MAX_EXAMINED);
        running.map(|Attempt { ticket, .. }| *ticket).filter(is_preemptible).take(count).collect()
    }

    /// Cancels the running attempt of a request and queues the request again.
    fn preempt(&mut self, ticket: Ticket, now: Moment) {
        self.end_attempt(ticket, now);
        let record = &mut self.requests[ticket];
        record.preempted = true;
        let attempt = record.attempt;
        self.actions.push_back(Action::Preempt { ticket, attempt });
        self.enqueue(ticket, now);
    }
}
