//! Plans the orders that are due now.
//!
//! Orders only follow what targets have announced: ordinary targets are given up once reclaimable ones that replace them
//! take requests, in one data centre at a time, and never so many that fewer than the capacity would be left.

use std::time::Duration;

use common::{clock::Moment, name};

use crate::{
    demand,
    input::Service,
    order::{Kind, Order, Reason},
    sizing::{self, Size, Sizes},
    state::{self, State, Tracked},
};

/// Time for which the number of reclaimable targets in a data centre must not change before ordinary ones are given up.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a data centre whose number doesn't change no longer waits for a more expensive one whose number does.
const PRECEDENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time between two orders that give up ordinary targets.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which ordinary targets of the next data centre are given up even if some of the last one still drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);
/// Time for which there must be more targets than wanted before reclaimable ones are given up; those that end at once
/// have to be started again.
const SURPLUS_TIME: Duration = Duration::from_secs(10);
/// Time between two orders that raise a number, so that targets that are announced one by one don't cause one each.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
/// Part of a data centre's capacity that is given up at least at once, unless it is the last of it.
const STEP_DIVISOR: u32 = 4;

/// Plans the orders that are due now, for all services. The caller sends them and records their outcomes in the state.
pub fn plan(services: &[Service], state: &mut State, now: Moment) -> Vec<Order> {
    state.services.retain(|name, _| services.iter().any(|service| service.name == *name));
    let is_paused = now < state.paused_until;
    let mut orders = Vec::new();
    for service in services {
        let known = state.services.entry(service.name.clone());
        let known = known.or_insert_with(|| state::Service::new(now));
        known.observe(service, now);
        if known.is_learnt() && !is_paused {
            orders.extend(plan_service(service, known, now));
        }
    }
    orders
}

fn plan_service(service: &Service, state: &mut state::Service, now: Moment) -> Vec<Order> {
    let Some(sizes) = sizing::sizes(service, state, now) else {
        return Vec::new();
    };
    let mut balance = balance(state, &sizes);
    let mut orders = Vec::new();
    for size in &sizes.centres {
        let centre = state.centres.get_mut(&size.centre);
        let Some(centre) = centre.filter(|centre| !centre.is_silent()) else {
            continue;
        };
        let before = centre.reclaimable.ordered();
        if let Some(order) = reclaimable(service, size, centre, balance, now) {
            let given_up = before.saturating_sub(order.count);
            balance.surplus = balance.surplus.saturating_sub(given_up);
            orders.push(order);
        }
        orders.extend(added_ordinary(service, size, centre, balance, now));
    }
    orders.extend(replaced_ordinary(service, &sizes, state, balance, now));
    orders
}

/// Targets that take requests and are not about to be drained, compared with the wanted capacity.
#[derive(Clone, Copy, Debug)]
struct Balance {
    /// Number above it.
    surplus: u32,
    /// Number below it.
    deficit: u32,
}

fn balance(state: &state::Service, sizes: &Sizes) -> Balance {
    let staying = |centre: &state::Centre| {
        let leaving = centre.ordinary.leaving() + centre.reclaimable.leaving();
        (centre.ordinary.ready + centre.reclaimable.ready).saturating_sub(leaving)
    };
    let staying: u32 = state.centres.values().map(staying).sum();
    Balance {
        surplus: staying.saturating_sub(sizes.total),
        deficit: sizes.total.saturating_sub(staying),
    }
}

/// The order for a data centre's reclaimable targets if one is due.
fn reclaimable(
    service: &Service,
    size: &Size,
    centre: &mut state::Centre,
    balance: Balance,
    now: Moment,
) -> Option<Order> {
    let room = service.scale.max.saturating_sub(centre.ordinary.largest_present());
    let wanted = (size.own + size.substitutes).min(room);
    let tracked = &mut centre.reclaimable;
    let ordered = tracked.ordered();
    if now < tracked.blocked_until {
        return None;
    }
    if wanted >= ordered {
        tracked.surplus_since = None;
    }
    // What doesn't run is not there to be given up.
    let is_harmless = wanted >= tracked.ready || wanted == ordered;
    let void = void_order(service, tracked, now).filter(|_| is_harmless);
    if wanted < ordered && void.is_none() {
        let since = *tracked.surplus_since.get_or_insert(now);
        let cut = (ordered - wanted).min(balance.surplus);
        let is_due = cut > 0 && now.since(since) >= SURPLUS_TIME;
        let (kind, count) = (Kind::Reclaimable, ordered - cut);
        return is_due.then(|| order(service, &size.centre, kind, count, Reason::Surplus));
    }
    let raised = (wanted > ordered).then_some(match size.substitutes {
        0 => Reason::Replacement,
        _ => Reason::Unavailable,
    });
    let reason = void.or(raised).filter(|_| may_raise(tracked, now))?;
    let count = match needed_again(tracked, balance) {
        0 => wanted,
        needed => wanted.max(ordered + needed).min(room),
    };
    Some(order(service, &size.centre, Kind::Reclaimable, count, reason))
}

/// Number of targets that the last order gave up, that still run, and that are needed by now.
fn needed_again(tracked: &Tracked, balance: Balance) -> u32 {
    tracked.leaving().min(balance.deficit)
}

/// Why the last order has to be repeated, if it has to.
fn void_order(service: &Service, tracked: &Tracked, now: Moment) -> Option<Reason> {
    if tracked.has_ended() {
        Some(Reason::Ended)
    } else if tracked.is_uncertain() {
        Some(Reason::Unanswered)
    } else if tracked.is_overdue(service.scale.boot, now) {
        Some(Reason::NotStarted)
    } else {
        None
    }
}

/// The order for more ordinary targets in a data centre if one is due.
fn added_ordinary(
    service: &Service,
    size: &Size,
    centre: &state::Centre,
    balance: Balance,
    now: Moment,
) -> Option<Order> {
    let tracked = &centre.ordinary;
    if now < tracked.blocked_until || !may_raise(tracked, now) {
        return None;
    }
    let order = |count, reason| Some(order(service, &size.centre, Kind::Ordinary, count, reason));
    if size.ordinary_added > 0 {
        order(tracked.ordered() + size.ordinary_added, Reason::Unavailable)
    } else if tracked.ordered() < size.floor {
        order(size.floor, Reason::Ended)
    } else {
        let count = tracked.ordered() + needed_again(tracked, balance);
        order(count, void_order(service, tracked, now)?)
    }
}

/// The order that gives up ordinary targets which have been replaced, in the most expensive data centre that has any.
fn replaced_ordinary(
    service: &Service,
    sizes: &Sizes,
    state: &state::Service,
    balance: Balance,
    now: Moment,
) -> Option<Order> {
    // Whatever an order without an answer gives up comes first.
    let is_uncertain = state.centres.values().any(|centre| centre.ordinary.is_uncertain());
    if is_uncertain || is_draining(service, state, now) {
        return None;
    }
    let cut = |size: &Size| {
        let centre = &state.centres[&size.centre];
        let excess = centre.ordinary.ordered().saturating_sub(size.floor);
        let cut = excess.min(balance.surplus);
        let is_step = cut == excess || cut >= centre.base.div_ceil(STEP_DIVISOR);
        let is_due = cut > 0 && is_step && now >= centre.ordinary.blocked_until;
        is_due.then_some(cut)
    };
    let settled = |size: &Size| now.since(state.centres[&size.centre].reclaimable.ready_since);
    let price = |size: &Size| service.scale.price(&size.centre);
    let is_candidate =
        |size: &&Size| !state.centres[&size.centre].is_silent() && size.ordinary_added == 0;
    let candidates: Vec<(&Size, u32)> = (sizes.centres.iter().filter(is_candidate))
        .filter_map(|size| Some((size, cut(size)?)))
        .collect();
    let (size, cut) = *candidates
        .iter()
        .filter(|(size, _)| settled(size) >= SETTLE_TIME)
        .max_by_key(|(size, _)| price(size))?;
    // Targets that were ordered at the same time are not ready at the same time.
    let precedes = |other: &Size| price(other) > price(size) && settled(other) < SETTLE_TIME;
    if settled(size) < PRECEDENCE_LIMIT && candidates.iter().any(|(other, _)| precedes(other)) {
        return None;
    }
    let count = state.centres[&size.centre].ordinary.ordered() - cut;
    Some(order(service, &size.centre, Kind::Ordinary, count, Reason::Replaced))
}

/// Whether ordinary targets were given up that have not announced so, or, while there is demand, have not left. After a
/// time without an effect of the order they are no longer waited for.
fn is_draining(service: &Service, state: &state::Service, now: Moment) -> bool {
    let is_busy = demand::engines(service.demand.as_ref(), now).is_some_and(|engines| engines > 0);
    service.centres.iter().any(|input| {
        let centre = &state.centres[&input.name];
        let drains = centre.ordinary.leaving() > 0 || (is_busy && input.ordinary.draining > 0);
        let limit = if drains { DRAIN_LIMIT } else { STEP_INTERVAL };
        centre.ordinary.accepted.is_some_and(|accepted| now.since(accepted.at) < limit)
    })
}

fn may_raise(tracked: &Tracked, now: Moment) -> bool {
    tracked.accepted.is_none_or(|accepted| now.since(accepted.at) >= RAISE_INTERVAL)
}

fn order(
    service: &Service,
    data_centre: &name::DataCentre,
    kind: Kind,
    count: u32,
    reason: Reason,
) -> Order {
    Order { service: service.name.clone(), data_centre: data_centre.clone(), kind, count, reason }
}
