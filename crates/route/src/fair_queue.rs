//! Hierarchical fair queueing of waiting requests.
//!
//! Partners share capacity by weight, and so do the services of a partner, except that a higher class goes first while
//! its service is only a little ahead. The variants of a service share equally. Within a variant, requests go by class,
//! the organisations of a class share equally, and the requests of an organisation go by deadline.
//!
//! Shares and organisations use start-time fair queueing (Goyal, Vin and Cheng 1996): capacity that one leaves idle is
//! used by the others, and one that becomes active again starts at the current virtual time, before those that used it.

use std::collections::{BTreeMap, BTreeSet};

use common::{clock::Moment, collections::Map, name};
use settings::service::Priority;
use slotmap::SecondaryMap;

use crate::request::{Service, Ticket, Variant};

/// Virtual time that one token costs at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;
/// Maximum virtual time by which an active share may lag behind its siblings: 10 000 tokens at weight 1.
const MAX_LAG: u64 = 10_000 * VIRTUAL_TIME_PER_TOKEN;
/// Maximum virtual time by which a service may be ahead of its partner's other services while its requests still
/// compete by class: 200 tokens at weight 1.
const MAX_PRIORITY_LEAD: u64 = 200 * VIRTUAL_TIME_PER_TOKEN;
/// Every 16th pick of a variant goes to its last waiting class instead of its first, so that no class starves.
const LAST_CLASS_INTERVAL: u32 = 16;
const CLASS_COUNT: usize = 4;
/// Number of organisations, in order of their turns, that are searched for a request with a prefix cached on a free
/// target.
const FITTING_CANDIDATES: usize = 8;
/// Consecutive picks that may skip the first organisation (delay scheduling, Zaharia et al. 2010).
const MAX_SKIPS: u32 = 8;

/// Scheduling class of a request within its variant, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A person is waiting for the answer.
    Interactive,
    /// Default class.
    Standard,
    /// A request of the classes above that can no longer meet its latency goal for the first token.
    Late,
    /// Nobody is waiting for the answer.
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

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// Key of the request.
    pub ticket: Ticket,
    /// Its scheduling class.
    pub class: Class,
    /// Hash of its organisation.
    pub organisation: u64,
    /// When its answer must be complete.
    pub deadline: Moment,
    /// When it can no longer meet its goal for the first token, and becomes [`Class::Late`].
    pub late_at: Moment,
    /// Its cost in the queue's length, in tokens.
    pub tokens: u64,
    /// Tokens charged to its shares when it is picked; 0 if an earlier attempt was charged.
    pub charge: u64,
}

/// Weights of a service and its partner.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Weight of the service among its partner's services.
    pub service: u32,
    /// Weight of the partner among all partners.
    pub partner: u32,
}

/// Order of the requests of one organisation: by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Moment,
    sequence: u64,
}

/// Weighted share of a partner, a service or a variant in what its parent is given.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Start tag of its next request in the parent's virtual time.
    virtual_time: u64,
    weight: u64,
    /// Requests waiting in it.
    waiting: u32,
    /// Virtual time among its children: the highest start tag picked so far.
    clock: u64,
}

impl Share {
    /// Counts a waiting request; an idle share becomes active no earlier than the parent's virtual time `clock`.
    fn add_waiting(&mut self, clock: u64) {
        if self.waiting == 0 {
            self.virtual_time = self.virtual_time.max(clock);
        }
        self.waiting += 1;
    }

    /// Charges a picked request of `tokens` at the parent's virtual time `clock`, and returns the parent's new time.
    fn charge(&mut self, tokens: u64, clock: u64) -> u64 {
        let start = self.virtual_time.max(clock.saturating_sub(MAX_LAG));
        self.virtual_time = start + tokens * VIRTUAL_TIME_PER_TOKEN / self.weight.max(1);
        clock.max(start)
    }
}

/// Waiting requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    virtual_time: u64,
    tokens: u64,
    requests: BTreeMap<Rank, Ticket>,
}

/// Waiting requests of one class, by organisation.
#[derive(Debug, Default)]
struct Flows {
    tokens: u64,
    clock: u64,
    skips: u32,
    by_organisation: Map<u64, Flow>,
    turns: BTreeSet<Turn>,
}

/// Position of an organisation with waiting requests in the service order of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    virtual_time: u64,
    organisation: u64,
}

impl Flows {
    fn push(&mut self, item: &Item, rank: Rank) {
        let clock = self.clock;
        let flow = self.by_organisation.entry(item.organisation).or_default();
        if flow.requests.is_empty() {
            flow.virtual_time = flow.virtual_time.max(clock);
            let turn = Turn { virtual_time: flow.virtual_time, organisation: item.organisation };
            self.turns.insert(turn);
        }
        flow.requests.insert(rank, item.ticket);
        flow.tokens += item.tokens;
        self.tokens += item.tokens;
    }

    /// The request whose turn it is. If it doesn't fit a free target, the first that `fits` among the next
    /// organisations, at most [`MAX_SKIPS`] times in a row.
    fn next(&mut self, fits: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        let first = self.turns.first().and_then(|turn| self.head(*turn))?;
        if self.skips >= MAX_SKIPS || fits(first) {
            self.skips = 0;
            return Some(first);
        }
        let later = self.turns.iter().skip(1).take(FITTING_CANDIDATES - 1);
        let fitting = later.filter_map(|turn| self.head(*turn)).find(|ticket| fits(*ticket));
        self.skips = if fitting.is_some() { self.skips + 1 } else { 0 };
        fitting.or(Some(first))
    }

    fn head(&self, turn: Turn) -> Option<Ticket> {
        let flow = self.by_organisation.get(&turn.organisation)?;
        flow.requests.values().next().copied()
    }

    fn remove(&mut self, item: &Item, rank: Rank, charge: u64) {
        let Some(flow) = self.by_organisation.get_mut(&item.organisation) else {
            return;
        };
        let organisation = item.organisation;
        self.turns.remove(&Turn { virtual_time: flow.virtual_time, organisation });
        flow.requests.remove(&rank);
        flow.tokens -= item.tokens;
        self.tokens -= item.tokens;
        if charge > 0 {
            self.clock = self.clock.max(flow.virtual_time);
            flow.virtual_time += charge * VIRTUAL_TIME_PER_TOKEN;
        }
        if !flow.requests.is_empty() {
            self.turns.insert(Turn { virtual_time: flow.virtual_time, organisation });
        } else if flow.virtual_time <= self.clock || self.turns.is_empty() {
            self.by_organisation.remove(&organisation);
        }
    }
}

/// Waiting requests of one variant.
#[derive(Debug)]
struct Queue {
    service: Service,
    share: Share,
    picks: u32,
    classes: [Flows; CLASS_COUNT],
}

impl Queue {
    /// The class to pick from next; `None` if nothing waits.
    fn next_class(&self) -> Option<usize> {
        let mut nonempty = (0..CLASS_COUNT).filter(|class| self.classes[*class].tokens > 0);
        let serve_last = self.picks % LAST_CLASS_INTERVAL == LAST_CLASS_INTERVAL - 1;
        if serve_last { nonempty.next_back() } else { nonempty.next() }
    }
}

/// A waiting request and its place in the queues.
#[derive(Clone, Copy, Debug)]
struct Entry {
    variant: Variant,
    rank: Rank,
    item: Item,
}

/// A service and its share in what its partner is given.
#[derive(Clone, Copy, Debug)]
struct Member {
    /// Index into `Scheduler::partners`.
    partner: usize,
    share: Share,
}

/// Waiting requests of all services, and the order in which they are sent.
#[derive(Debug, Default)]
pub struct Scheduler {
    partners: Vec<Share>,
    partner_names: Map<name::Partner, usize>,
    services: SecondaryMap<Service, Member>,
    variants: SecondaryMap<Variant, Queue>,
    entries: SecondaryMap<Ticket, Entry>,
    clock: u64,
    next_sequence: u64,
}

impl Scheduler {
    /// Adds a service or changes its weights; the weight of its partner changes for all of the partner's services.
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

    /// Enqueues a request.
    pub fn push(&mut self, variant: Variant, item: Item) {
        self.next_sequence += 1;
        let rank = Rank { deadline: item.deadline, sequence: self.next_sequence };
        let queue = &mut self.variants[variant];
        let member = &mut self.services[queue.service];
        let partner = &mut self.partners[member.partner];
        partner.add_waiting(self.clock);
        member.share.add_waiting(partner.clock);
        queue.share.add_waiting(member.share.clock);
        queue.classes[item.class as usize].push(&item, rank);
        self.entries.insert(item.ticket, Entry { variant, rank, item });
    }

    /// Removes a request without charging its shares.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let entry = self.entries.remove(ticket)?;
        self.dequeue(&entry, 0);
        Some(entry.item)
    }

    /// Dequeues the next request among the variants that are `servable`, and charges its shares.
    ///
    /// `fits` returns whether a free target has a prefix of the request's prompt in its cache.
    pub fn pick(
        &mut self,
        now: Moment,
        servable: impl Fn(Variant) -> bool,
        fits: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        loop {
            let variant = self.next_variant(&servable)?;
            let queue = &mut self.variants[variant];
            let class = queue.next_class()?;
            let ticket = queue.classes[class].next(&fits)?;
            let entry = self.entries[ticket];
            let item = entry.item;
            if item.class < Class::Late && item.late_at < now {
                self.remove(ticket);
                self.push(variant, Item { class: Class::Late, ..item });
                continue;
            }
            self.entries.remove(ticket);
            self.dequeue(&entry, item.charge);
            return Some(ticket);
        }
    }

    /// Estimated tokens that are served before a new request of the organisation: all tokens of earlier classes, and
    /// in its own class, for each active organisation, as many as its own plus the average, but at most all.
    pub fn tokens_ahead(&self, variant: Variant, class: Class, organisation: u64) -> u64 {
        let classes = &self.variants[variant].classes;
        let before: u64 = classes[..class as usize].iter().map(|flows| flows.tokens).sum();
        let same = &classes[class as usize];
        let active = u64::try_from(same.turns.len()).unwrap_or(u64::MAX);
        let own = same.by_organisation.get(&organisation).map_or(0, |flow| flow.tokens);
        let average = same.tokens / active.max(1);
        before + same.tokens.min((own + average) * active)
    }

    /// Tokens of an organisation's requests that wait for a variant.
    pub fn organisation_tokens(&self, variant: Variant, organisation: u64) -> u64 {
        let flows = self.variants[variant].classes.iter();
        flows
            .filter_map(|flows| flows.by_organisation.get(&organisation))
            .map(|flow| flow.tokens)
            .sum()
    }

    /// Number of requests that wait for a variant.
    pub fn queued_requests(&self, variant: Variant) -> u32 {
        self.variants[variant].share.waiting
    }

    fn next_variant(&self, servable: &impl Fn(Variant) -> bool) -> Option<Variant> {
        let nonempty = self.variants.iter().filter(|(_, queue)| queue.share.waiting > 0);
        let candidates =
            nonempty.filter(|(variant, _)| servable(*variant)).map(|(variant, queue)| {
                let member = &self.services[queue.service];
                let partner = &self.partners[member.partner];
                let within_lead = member.share.virtual_time <= partner.clock + MAX_PRIORITY_LEAD;
                let class = if within_lead {
                    queue.next_class().unwrap_or(CLASS_COUNT)
                } else {
                    CLASS_COUNT
                };
                let precedence = Precedence {
                    partner: partner.virtual_time,
                    class,
                    service: member.share.virtual_time,
                    variant: queue.share.virtual_time,
                };
                Candidate { precedence, variant }
            });
        candidates.min_by_key(|candidate| candidate.precedence).map(|candidate| candidate.variant)
    }

    /// Removes an entry from its queues and charges `charge` tokens to its shares; 0 leaves their virtual times.
    fn dequeue(&mut self, entry: &Entry, charge: u64) {
        let queue = &mut self.variants[entry.variant];
        let member = &mut self.services[queue.service];
        let partner = &mut self.partners[member.partner];
        queue.classes[entry.item.class as usize].remove(&entry.item, entry.rank, charge);
        queue.share.waiting -= 1;
        member.share.waiting -= 1;
        partner.waiting -= 1;
        if charge > 0 {
            queue.picks = queue.picks.wrapping_add(1);
            member.share.clock = queue.share.charge(charge, member.share.clock);
            partner.clock = member.share.charge(charge, partner.clock);
            self.clock = partner.charge(charge, self.clock);
        }
    }
}

/// Order among the variants with waiting requests; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    partner: u64,
    class: usize,
    service: u64,
    variant: u64,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    precedence: Precedence,
    variant: Variant,
}
