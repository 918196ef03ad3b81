//! What the planner remembers between two plans: what it observed, ordered and was answered.

use std::{collections::BTreeMap, time::Duration};

use common::{clock::Moment, collections::Map, name};

use crate::{
    input,
    order::{Kind, Order, Outcome},
    sizing,
};

/// Time for which the number of targets must not change before it counts as the service's capacity.
const STABLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a number that keeps changing counts as the capacity all the same.
const LEARNING_LIMIT: Duration = Duration::from_secs(5);
/// Time beyond the time to boot after which targets that were ordered count as missing.
const BOOT_MARGIN: Duration = Duration::from_secs(2);
/// Time after which an order whose targets have not started is repeated.
const REPEAT_TIME: Duration = Duration::from_secs(10);
/// Time without any target after which a data centre counts as lost.
const LOSS_TIME: Duration = Duration::from_secs(2);
/// Pause after an order that the platform could not fulfil; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Pause of all orders after one that was not answered or not handled; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// State of the planner at one holder of the duty. A new holder begins with an empty one and learns the capacity from
/// what targets have announced.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(crate) services: Map<name::Service, Service>,
    pub(crate) paused_until: Moment,
    pause: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) centres: BTreeMap<name::DataCentre, Centre>,
    /// Targets wanted beyond the capacity, because of the demand, and since when there have been fewer.
    pub(crate) extra: u32,
    pub(crate) extra_at: Moment,
    first_seen: Moment,
    changed_at: Moment,
    is_learnt: bool,
}

/// State of a service's targets in a data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Centre {
    /// Capacity in targets that the service had at the start.
    pub(crate) base: u32,
    /// Whether an earlier holder has recorded it. Ordinary targets beyond it may have been ordered since.
    is_recorded: bool,
    empty_since: Option<Moment>,
    pub(crate) ordinary: Tracked,
    pub(crate) reclaimable: Tracked,
}

/// State of the targets of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tracked {
    /// Number of targets that take requests, and since when.
    pub(crate) ready: u32,
    pub(crate) ready_since: Moment,
    /// Largest number that has taken requests.
    largest: u32,
    /// The last order that may have been accepted.
    pub(crate) accepted: Option<Accepted>,
    /// Whether the platform had none at the last order, and when it may be asked again.
    pub(crate) is_unavailable: bool,
    pub(crate) blocked_until: Moment,
    backoff: Duration,
    /// Since when fewer targets than ordered have been wanted.
    pub(crate) surplus_since: Option<Moment>,
}

/// An order that may have been accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accepted {
    pub(crate) count: u32,
    pub(crate) at: Moment,
    /// Largest number of its targets that have taken requests.
    reached: u32,
    /// Whether the platform's answer arrived.
    is_certain: bool,
}

impl State {
    /// Orders nothing for some time, since what is known may be old. Targets are still observed.
    pub fn hold(&mut self, until: Moment) {
        self.paused_until = self.paused_until.max(until);
    }

    /// The capacity of a service, to be recorded before orders are sent; `None` until it is known.
    pub fn capacity(&self, service: &name::Service) -> Option<Vec<(name::DataCentre, u32)>> {
        let service = self.services.get(service).filter(|service| service.is_learnt)?;
        let centres = service.centres.iter();
        Some(centres.map(|(name, centre)| (name.clone(), centre.base)).collect())
    }

    /// Records the outcome of an order.
    pub fn record(&mut self, order: &Order, outcome: Outcome, now: Moment) {
        let centre = self
            .services
            .get_mut(&order.service)
            .and_then(|service| service.centres.get_mut(&order.data_centre));
        if let Some(centre) = centre {
            let tracked = match order.kind {
                Kind::Ordinary => &mut centre.ordinary,
                Kind::Reclaimable => &mut centre.reclaimable,
            };
            tracked.record(order.count, outcome, now);
        }
        self.pause = match outcome {
            Outcome::Unknown | Outcome::Throttled => (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE),
            // A new holder has to wait for a known time.
            Outcome::NotSent => FIRST_PAUSE,
            Outcome::Accepted | Outcome::Unavailable | Outcome::Refused => Duration::ZERO,
        };
        self.hold(now + self.pause);
    }
}

impl Service {
    pub(crate) fn new(now: Moment) -> Service {
        Service {
            centres: BTreeMap::new(),
            extra: 0,
            extra_at: now,
            first_seen: now,
            changed_at: now,
            is_learnt: false,
        }
    }

    /// Takes over what targets have announced.
    pub(crate) fn observe(&mut self, service: &input::Service, now: Moment) {
        for input in &service.centres {
            let centre = self.centres.entry(input.name.clone()).or_default();
            let before = (centre.ordinary.ready, centre.reclaimable.ready);
            centre.ordinary.observe(input.ordinary.ready, now);
            centre.reclaimable.observe(input.reclaimable.ready, now);
            if before != (centre.ordinary.ready, centre.reclaimable.ready) {
                self.changed_at = now;
            }
            if input.ready() > 0 {
                centre.empty_since = None;
            } else {
                centre.empty_since.get_or_insert(now);
            }
            centre.learn(input, self.is_learnt);
        }
        if !service.capacity.is_empty() && !self.is_learnt {
            self.take_over(&service.capacity);
        }
        for (name, centre) in &mut self.centres {
            if service.centres.iter().all(|input| input.name != *name) {
                centre.ordinary.observe(0, now);
                centre.reclaimable.observe(0, now);
                centre.empty_since.get_or_insert(now);
            }
        }
        let is_stable = now.since(self.changed_at) >= STABLE_TIME
            || now.since(self.first_seen) >= LEARNING_LIMIT;
        if !self.is_learnt && is_stable && self.centres.values().any(|centre| centre.base > 0) {
            if service.capacity.is_empty() {
                self.raise_small_bases();
            }
            self.is_learnt = true;
        }
    }

    /// Takes over the recorded capacity. Data centres without a record keep what was learnt.
    fn take_over(&mut self, capacity: &[(name::DataCentre, u32)]) {
        for (name, base) in capacity {
            let centre = self.centres.entry(name.clone()).or_default();
            centre.base = *base;
            centre.is_recorded = true;
        }
    }

    /// Whether the capacity is known.
    pub(crate) fn is_learnt(&self) -> bool {
        self.is_learnt
    }

    /// Raises the capacity of data centres that lost most of their targets before this holder could learn it: those without
    /// targets, and, if others have been replaced by reclaimable ones, those with fewer of these than ordinary ones.
    fn raise_small_bases(&mut self) {
        let mut bases: Vec<u32> = self.centres.values().map(|centre| centre.base).collect();
        bases.sort_unstable();
        let median = bases.get(bases.len() / 2).copied().unwrap_or_default();
        let largest = bases.last().copied().unwrap_or_default();
        let is_replaced = self.centres.values().any(|centre| centre.reclaimable.ready > 0);
        for centre in self.centres.values_mut() {
            let ordinary = centre.ordinary.ready;
            if centre.base == 0 {
                centre.base = median;
            } else if is_replaced && centre.reclaimable.ready < ordinary {
                let least = sizing::least_capacity(ordinary);
                centre.base = centre.base.max(least.min(largest));
            }
        }
    }
}

impl Centre {
    /// Learns the capacity. Replaced ordinary targets no longer show it, but the reclaimable ones that replaced them do.
    /// Ordinary targets that announce themselves later count, too, as long as none were ordered here.
    fn learn(&mut self, input: &input::Centre, is_learnt: bool) {
        if self.is_recorded || (is_learnt && self.ordinary.accepted.is_some()) {
            return;
        }
        let ordinary = input.ordinary.ready;
        let replaced =
            if is_learnt { 0 } else { sizing::capacity(ordinary, input.reclaimable.ready) };
        self.base = self.base.max(ordinary).max(replaced);
    }

    /// Whether all targets are missing; they may be there and just not be heard of.
    pub(crate) fn is_silent(&self) -> bool {
        self.empty_since.is_some()
    }

    /// Whether all targets have been missing for some time.
    pub(crate) fn is_lost(&self, now: Moment) -> bool {
        self.empty_since.is_some_and(|since| now.since(since) >= LOSS_TIME)
    }

    /// Number of targets of both kinds that take requests or will within the time to boot.
    pub(crate) fn expected(&self, boot: Duration, now: Moment) -> u32 {
        self.ordinary.expected(boot, now) + self.reclaimable.expected(boot, now)
    }
}

impl Tracked {
    fn observe(&mut self, ready: u32, now: Moment) {
        if self.ready != ready {
            self.ready = ready;
            self.ready_since = now;
        }
        self.largest = self.largest.max(ready);
        if let Some(accepted) = &mut self.accepted {
            accepted.reached = accepted.reached.max(ready.min(accepted.count));
            if ready >= accepted.count {
                self.backoff = Duration::ZERO;
            }
        }
    }

    fn record(&mut self, count: u32, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Accepted | Outcome::Unknown => {
                let is_certain = outcome == Outcome::Accepted;
                self.accepted = Some(Accepted { count, at: now, reached: 0, is_certain });
                self.is_unavailable = false;
                self.surplus_since = None;
            }
            Outcome::Unavailable | Outcome::Refused => {
                self.is_unavailable = true;
                self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
                self.blocked_until = now + self.backoff;
            }
            Outcome::Throttled | Outcome::NotSent => {}
        }
    }

    /// Number of targets that the platform keeps there as far as is known.
    pub(crate) fn ordered(&self) -> u32 {
        self.accepted.map_or(self.ready, |accepted| accepted.count)
    }

    /// Largest number of targets that the platform may count there.
    pub(crate) fn largest_present(&self) -> u32 {
        self.accepted.map_or(self.largest, |accepted| accepted.count.max(self.ready))
    }

    /// Whether targets that ran under the last order have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.accepted.is_some_and(|accepted| self.ready < accepted.reached)
    }

    /// Whether targets of the last order may still be starting.
    pub(crate) fn is_starting(&self, boot: Duration, now: Moment) -> bool {
        self.accepted.is_some_and(|accepted| {
            self.ready < accepted.count && now.since(accepted.at) < boot + BOOT_MARGIN
        })
    }

    /// Whether targets of the last order have not started in time.
    pub(crate) fn is_short(&self, boot: Duration, now: Moment) -> bool {
        self.ready < self.ordered() && !self.has_ended() && !self.is_starting(boot, now)
    }

    /// Whether targets of the last order have not started for so long that the order may have been lost.
    pub(crate) fn is_overdue(&self, boot: Duration, now: Moment) -> bool {
        self.is_short(boot, now)
            && self.accepted.is_some_and(|accepted| now.since(accepted.at) >= REPEAT_TIME)
    }

    /// Whether the answer to the last order is missing.
    pub(crate) fn is_uncertain(&self) -> bool {
        self.accepted.is_some_and(|accepted| !accepted.is_certain)
    }

    /// Number of targets that take requests or will within the time to boot.
    pub(crate) fn expected(&self, boot: Duration, now: Moment) -> u32 {
        if self.is_starting(boot, now) { self.ordered() } else { self.ready.min(self.ordered()) }
    }

    /// Number of targets above the last order: the platform has not drained them yet.
    pub(crate) fn leaving(&self) -> u32 {
        self.ready.saturating_sub(self.ordered())
    }
}
