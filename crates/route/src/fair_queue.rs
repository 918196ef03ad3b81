//! Order among waiting requests: weighted fair among partners and their services, then by class, fair among
//! organisations, then by deadline.
//!
//! Each level is start-time fair queueing (Goyal, Vin and Cheng 1996): an idle share is used by the others, and
//! whoever returns starts at the present virtual time, ahead of those who used it.

use std::collections::{BTreeMap, BTreeSet};

use common::{clock::Moment, collections::Map, name};
use settings::service::Priority;
use slotmap::SecondaryMap;

use crate::request::{Service, Ticket, Variant};

/// Virtual time for each token at weight 1.
const SCALE: u64 = 1_000;
/// Virtual time by which an active share may lie behind, in tokens at weight 1.
const MAX_CREDIT: u64 = 10_000 * SCALE;
/// Virtual time by which a service may be ahead of its partner's others and still go by priority.
const PRIORITY_LEAD: u64 = 200 * SCALE;
/// One in so many picks of a variant goes to its last class, so that no class starves.
const LAST_CLASS_TURN: u32 = 16;
const CLASSES: usize = 4;
/// Organisations in order of their turn among which one that fits the free targets may go first.
const FITTING_AMONG: usize = 8;
/// Turns that the first in order may be passed over (delay scheduling, Zaharia et al. 2010).
const MAX_PASSED: u32 = 8;

/// Rank among the requests of one variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A person waits.
    Interactive,
    /// Ordinary calls.
    Standard,
    /// Can't meet its goal for the first token any more.
    Late,
    /// Nobody waits.
    Batch,
}

impl From<Priority> for Class {
    fn from(priority: Priority) -> Class {
        match priority {
            Priority::Interactive => Class::Interactive,
            Priority::Standard => Class::Standard,
            Priority::Batch => Class::Batch,
        }
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// The request.
    pub ticket: Ticket,
    /// Its class.
    pub class: Class,
    /// Hash of its organisation.
    pub organisation: u64,
    /// When its answer must have ended.
    pub deadline: Moment,
    /// When it misses its goal for the first token.
    pub late_at: Moment,
    /// Tokens by which it waits; bounds are measured in them.
    pub tokens: u64,
    /// Tokens charged to its share when it is picked.
    pub charge: u64,
}

/// Weights of a service.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Of the service against the partner's others.
    pub service: u32,
    /// Of the partner against others.
    pub partner: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Moment,
    number: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    virtual_time: u64,
    weight: u64,
    waiting: u32,
    /// Virtual time at which the last pick among the children started.
    floor: u64,
}

impl Share {
    fn join(&mut self, floor: u64) {
        if self.waiting == 0 {
            self.virtual_time = self.virtual_time.max(floor);
        }
        self.waiting += 1;
    }

    /// Charges a pick and returns the parent's new floor.
    fn charge(&mut self, tokens: u64, floor: u64) -> u64 {
        let start = self.virtual_time.max(floor.saturating_sub(MAX_CREDIT));
        self.virtual_time = start + tokens * SCALE / self.weight.max(1);
        floor.max(start)
    }
}

#[derive(Debug, Default)]
struct Flow {
    virtual_time: u64,
    tokens: u64,
    waiting: BTreeMap<Rank, Ticket>,
}

#[derive(Debug, Default)]
struct Flows {
    tokens: u64,
    floor: u64,
    passed: u32,
    by_organisation: Map<u64, Flow>,
    order: BTreeSet<Turn>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    virtual_time: u64,
    organisation: u64,
}

impl Flows {
    fn push(&mut self, waiting: &Item, rank: Rank) {
        let floor = self.floor;
        let flow = self.by_organisation.entry(waiting.organisation).or_default();
        if flow.waiting.is_empty() {
            flow.virtual_time = flow.virtual_time.max(floor);
            let turn = Turn { virtual_time: flow.virtual_time, organisation: waiting.organisation };
            self.order.insert(turn);
        }
        flow.waiting.insert(rank, waiting.ticket);
        flow.tokens += waiting.tokens;
        self.tokens += waiting.tokens;
    }

    /// The request whose turn it is, or one soon after it that `fits` the free targets better.
    fn next(&mut self, fits: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        let first = self.order.first().and_then(|turn| self.head(*turn))?;
        if self.passed >= MAX_PASSED || fits(first) {
            self.passed = 0;
            return Some(first);
        }
        let later = self.order.iter().skip(1).take(FITTING_AMONG - 1);
        let fitting = later.filter_map(|turn| self.head(*turn)).find(|ticket| fits(*ticket));
        self.passed = if fitting.is_some() { self.passed + 1 } else { 0 };
        fitting.or(Some(first))
    }

    fn head(&self, turn: Turn) -> Option<Ticket> {
        let flow = self.by_organisation.get(&turn.organisation)?;
        flow.waiting.values().next().copied()
    }

    fn remove(&mut self, waiting: &Item, rank: Rank, charge: u64) {
        let Some(flow) = self.by_organisation.get_mut(&waiting.organisation) else {
            return;
        };
        let organisation = waiting.organisation;
        self.order.remove(&Turn { virtual_time: flow.virtual_time, organisation });
        flow.waiting.remove(&rank);
        flow.tokens -= waiting.tokens;
        self.tokens -= waiting.tokens;
        if charge > 0 {
            self.floor = self.floor.max(flow.virtual_time);
            flow.virtual_time += charge * SCALE;
        }
        if !flow.waiting.is_empty() {
            self.order.insert(Turn { virtual_time: flow.virtual_time, organisation });
        } else if flow.virtual_time <= self.floor || self.order.is_empty() {
            self.by_organisation.remove(&organisation);
        }
    }
}

#[derive(Debug)]
struct Queue {
    service: Service,
    share: Share,
    picks: u32,
    classes: [Flows; CLASSES],
}

impl Queue {
    /// The class that is served next.
    fn class(&self) -> Option<usize> {
        let mut filled = (0..CLASSES).filter(|class| self.classes[*class].tokens > 0);
        let turn = self.picks % LAST_CLASS_TURN == LAST_CLASS_TURN - 1;
        if turn { filled.next_back() } else { filled.next() }
    }
}

#[derive(Clone, Copy, Debug)]
struct Place {
    variant: Variant,
    rank: Rank,
    waiting: Item,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    partner: usize,
    share: Share,
}

/// All waiting requests.
#[derive(Debug, Default)]
pub struct Scheduler {
    partners: Vec<Share>,
    partner_names: Map<name::Partner, usize>,
    services: SecondaryMap<Service, Member>,
    variants: SecondaryMap<Variant, Queue>,
    places: SecondaryMap<Ticket, Place>,
    floor: u64,
    next_number: u64,
}

impl Scheduler {
    /// Sets the weights of a service.
    pub fn set_service(&mut self, service: Service, partner: &name::Partner, weights: Weights) {
        let count = self.partners.len();
        let partner = *self.partner_names.entry(partner.clone()).or_insert(count);
        if partner == count {
            self.partners.push(Share::default());
        }
        self.partners[partner].weight = u64::from(weights.partner);
        let share = self.services.get(service).map_or(Share::default(), |member| member.share);
        let share = Share { weight: u64::from(weights.service), ..share };
        self.services.insert(service, Member { partner, share });
    }

    /// Adds a variant to a service.
    pub fn add_variant(&mut self, variant: Variant, service: Service) {
        let share = Share { weight: 1, ..Share::default() };
        let classes = Default::default();
        self.variants.insert(variant, Queue { service, share, picks: 0, classes });
    }

    /// Adds a request.
    pub fn push(&mut self, variant: Variant, waiting: Item) {
        self.next_number += 1;
        let rank = Rank { deadline: waiting.deadline, number: self.next_number };
        let queue = &mut self.variants[variant];
        let member = &mut self.services[queue.service];
        let partner = &mut self.partners[member.partner];
        partner.join(self.floor);
        member.share.join(partner.floor);
        queue.share.join(member.share.floor);
        queue.classes[waiting.class as usize].push(&waiting, rank);
        self.places.insert(waiting.ticket, Place { variant, rank, waiting });
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let place = self.places.remove(ticket)?;
        self.take(&place, 0);
        Some(place.waiting)
    }

    /// Takes the next request among the variants that can be served, and charges its shares; `fits` tells whether a
    /// free target holds a part of the request's prompt.
    pub fn pick(
        &mut self,
        now: Moment,
        servable: impl Fn(Variant) -> bool,
        fits: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        loop {
            let variant = self.next_variant(&servable)?;
            let queue = &mut self.variants[variant];
            let class = queue.class()?;
            let ticket = queue.classes[class].next(&fits)?;
            let place = self.places[ticket];
            let waiting = place.waiting;
            if waiting.class < Class::Late && waiting.late_at < now {
                self.remove(ticket);
                self.push(variant, Item { class: Class::Late, ..waiting });
                continue;
            }
            self.places.remove(ticket);
            self.take(&place, waiting.charge);
            return Some(ticket);
        }
    }

    /// Tokens that are served before a new request of the organisation.
    pub fn tokens_ahead(&self, variant: Variant, class: Class, organisation: u64) -> u64 {
        let classes = &self.variants[variant].classes;
        let before: u64 = classes[..class as usize].iter().map(|flows| flows.tokens).sum();
        let same = &classes[class as usize];
        let active = u64::try_from(same.order.len()).unwrap_or(u64::MAX);
        let own = same.by_organisation.get(&organisation).map_or(0, |flow| flow.tokens);
        let average = same.tokens / active.max(1);
        before + same.tokens.min((own + average) * active)
    }

    /// Tokens of one organisation that wait in a variant.
    pub fn organisation_tokens(&self, variant: Variant, organisation: u64) -> u64 {
        let flows = self.variants[variant].classes.iter();
        flows
            .filter_map(|flows| flows.by_organisation.get(&organisation))
            .map(|flow| flow.tokens)
            .sum()
    }

    /// Requests that wait in a variant.
    pub fn queued_requests(&self, variant: Variant) -> u32 {
        self.variants[variant].share.waiting
    }

    fn next_variant(&self, servable: &impl Fn(Variant) -> bool) -> Option<Variant> {
        let filled = self.variants.iter().filter(|(_, queue)| queue.share.waiting > 0);
        let keyed = filled.filter(|(variant, _)| servable(*variant)).map(|(variant, queue)| {
            let member = &self.services[queue.service];
            let partner = &self.partners[member.partner];
            let owed = member.share.virtual_time <= partner.floor + PRIORITY_LEAD;
            let class = if owed { queue.class().unwrap_or(CLASSES) } else { CLASSES };
            let order = Order {
                partner: partner.virtual_time,
                class,
                service: member.share.virtual_time,
                variant: queue.share.virtual_time,
            };
            Candidate { order, variant }
        });
        keyed.min_by_key(|candidate| candidate.order).map(|candidate| candidate.variant)
    }

    fn take(&mut self, place: &Place, charge: u64) {
        let queue = &mut self.variants[place.variant];
        let member = &mut self.services[queue.service];
        let partner = &mut self.partners[member.partner];
        queue.classes[place.waiting.class as usize].remove(&place.waiting, place.rank, charge);
        queue.share.waiting -= 1;
        member.share.waiting -= 1;
        partner.waiting -= 1;
        if charge > 0 {
            queue.picks = queue.picks.wrapping_add(1);
            member.share.floor = queue.share.charge(charge, member.share.floor);
            partner.floor = member.share.charge(charge, partner.floor);
            self.floor = partner.charge(charge, self.floor);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    partner: u64,
    class: usize,
    service: u64,
    variant: u64,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    order: Order,
    variant: Variant,
}
