//! How many targets of each kind a service is to have in each data centre.

use std::time::Duration;

use common::{clock::Moment, name};

use crate::{demand, input, state};

/// Data centres that may be lost at the same time without a loss of service.
const TOLERATED: usize = 1;
/// One ordinary target is kept for this many of the capacity. If all reclaimable targets of all data centres are taken at
/// once, the rest still serves the rates of calm traffic, though late: these keep a ninth of the engines busy.
const FLOOR_DIVISOR: u32 = 8;
/// Time for which a demand below the highest one must last before fewer targets are wanted.
const SHRINK_DELAY: Duration = Duration::from_secs(10);

/// Targets that a service is to have in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Size {
    pub(crate) centre: name::DataCentre,
    /// Fewest ordinary targets.
    pub(crate) floor: u32,
    /// Reclaimable targets that replace others here.
    pub(crate) own: u32,
    /// Reclaimable targets that replace those that are missing in other data centres.
    pub(crate) substitutes: u32,
    /// Ordinary targets to add, since there are no reclaimable ones.
    pub(crate) ordinary_added: u32,
    pub(crate) is_lost: bool,
}

/// The sizes of a service, and its capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Sizes {
    pub(crate) centres: Vec<Size>,
    /// Targets of both kinds that are wanted in all data centres together.
    pub(crate) total: u32,
}

/// Capacity of a data centre whose reclaimable targets have replaced others, beside a floor of ordinary ones; more
/// ordinary ones are about to be given up. Reclaimable targets beyond what belongs to the floor replace those of another
/// data centre.
pub(crate) fn capacity(ordinary: u32, reclaimable: u32) -> u32 {
    let replaced = reclaimable + reclaimable.div_ceil(FLOOR_DIVISOR - 1);
    let is_floor = ordinary <= replaced.div_ceil(FLOOR_DIVISOR) + 1;
    match ordinary {
        0 => replaced,
        _ if is_floor => (ordinary + reclaimable).min(ordinary.saturating_mul(FLOOR_DIVISOR)),
        _ => replaced,
    }
}

/// Least capacity of a data centre whose floor is so many ordinary targets.
pub(crate) fn least_capacity(floor: u32) -> u32 {
    floor.saturating_sub(1).saturating_mul(FLOOR_DIVISOR) + 1
}

/// Sizes for now; `None` while more data centres are missing than may be lost, since then the view may be wrong.
pub(crate) fn sizes(
    service: &input::Service,
    state: &mut state::Service,
    now: Moment,
) -> Option<Sizes> {
    let wanted = wanted_engines(service, state, now);
    let base: u32 = state.centres.values().map(|centre| centre.base).sum();
    update_extra(state, wanted.map(|wanted| wanted.saturating_sub(base)), now);
    let mut centres = own_sizes(service, state, now);
    if centres.iter().filter(|size| size.is_lost).count() > TOLERATED {
        return None;
    }
    let total = centres.iter().map(|size| size.floor + size.own).sum();
    let missing = missing(service, state, &centres, now);
    let missing = substitute(service, state, &mut centres, missing, now);
    let expected: u32 =
        state.centres.values().map(|centre| centre.expected(service.scale.boot, now)).sum();
    let required = wanted.map_or(total, |wanted| wanted.min(total));
    let added = missing.min(required.saturating_sub(expected));
    add_ordinary(service, state, &mut centres, added, now);
    Some(Sizes { centres, total })
}

/// Engines for the demand, so that enough are left when a data centre is lost; `None` if the demand isn't known.
fn wanted_engines(service: &input::Service, state: &state::Service, now: Moment) -> Option<u32> {
    let needed = demand::engines(service.demand.as_ref(), now)?;
    let centres = u32::try_from(state.centres.len()).unwrap_or(u32::MAX);
    let lost = u32::try_from(TOLERATED).unwrap_or(u32::MAX);
    let rest = centres.saturating_sub(lost).max(1);
    Some(needed.saturating_mul(centres).div_ceil(rest))
}

fn update_extra(state: &mut state::Service, extra: Option<u32>, now: Moment) {
    let Some(extra) = extra else {
        return;
    };
    if extra >= state.extra {
        state.extra_at = now;
    }
    if extra >= state.extra || now.since(state.extra_at) >= SHRINK_DELAY {
        state.extra = extra;
    }
}

/// Sizes without regard to what is missing.
fn own_sizes(service: &input::Service, state: &state::Service, now: Moment) -> Vec<Size> {
    let count = u32::try_from(state.centres.len()).unwrap_or(u32::MAX).max(1);
    let extra = state.extra.div_ceil(count);
    let size = |(name, centre): (&name::DataCentre, &state::Centre)| {
        let floor = centre.base.div_ceil(FLOOR_DIVISOR);
        let total = (centre.base + extra).clamp(service.scale.min, service.scale.max);
        Size {
            centre: name.clone(),
            floor: floor.min(total),
            own: total.saturating_sub(floor),
            substitutes: 0,
            ordinary_added: 0,
            is_lost: centre.is_lost(now),
        }
    };
    state.centres.iter().map(size).collect()
}

/// Number of targets that are missing and can't be expected where they belong.
fn missing(service: &input::Service, state: &state::Service, centres: &[Size], now: Moment) -> u32 {
    let missing = |size: &Size| {
        let centre = &state.centres[&size.centre];
        if size.is_lost {
            return size.floor + size.own;
        }
        let ordinary = if centre.ordinary.is_short(service.scale.boot, now) {
            size.floor.saturating_sub(centre.ordinary.ready)
        } else {
            0
        };
        let reclaimable = if takes_substitutes(service, centre, now) {
            0
        } else {
            size.own.saturating_sub(centre.reclaimable.ready)
        };
        ordinary + reclaimable
    };
    centres.iter().map(missing).sum()
}

/// Whether reclaimable targets can be had in a data centre as far as is known.
fn takes_substitutes(service: &input::Service, centre: &state::Centre, now: Moment) -> bool {
    let tracked = &centre.reclaimable;
    !tracked.is_unavailable && !tracked.is_short(service.scale.boot, now)
}

/// Places reclaimable targets where they can be had, spread evenly; returns how many found no place.
fn substitute(
    service: &input::Service,
    state: &state::Service,
    centres: &mut [Size],
    mut missing: u32,
    now: Moment,
) -> u32 {
    let room = |size: &Size| {
        let centre = &state.centres[&size.centre];
        let taken = size.floor + size.own + size.substitutes;
        !size.is_lost && takes_substitutes(service, centre, now) && taken < service.scale.max
    };
    while missing > 0 {
        let open = centres.iter_mut().filter(|size| room(size));
        let Some(size) = open.min_by_key(|size| size.substitutes) else {
            break;
        };
        size.substitutes += 1;
        missing -= 1;
    }
    missing
}

/// Adds ordinary targets, first where they are cheapest.
fn add_ordinary(
    service: &input::Service,
    state: &state::Service,
    centres: &mut [Size],
    mut added: u32,
    now: Moment,
) {
    let mut by_price: Vec<&mut Size> = centres.iter_mut().filter(|size| !size.is_lost).collect();
    by_price.sort_by_key(|size| service.scale.price(&size.centre));
    for size in by_price {
        let centre = &state.centres[&size.centre];
        if now < centre.ordinary.blocked_until || centre.ordinary.is_short(service.scale.boot, now)
        {
            continue;
        }
        let reclaimable = centre.reclaimable.ordered().max(size.own + size.substitutes);
        let taken = centre.ordinary.largest_present() + reclaimable;
        let room = service.scale.max.saturating_sub(taken);
        size.ordinary_added = added.min(room);
        added -= size.ordinary_added;
    }
}
