//! Cache-aware load balancer: the known targets with their predicted load, and the selection among them.
//!
//! Made for loads that share a few hundred prompt prefixes. A request goes to the target with the earliest predicted
//! first token. Tokens that must be prefilled again count for more than their own time, since they also delay later
//! requests.

pub mod cells;
mod choice;
mod contention;
mod departure;
mod engine;
mod notices;
pub mod selection;

use std::{net::SocketAddr, time::Duration};

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
    random::Random,
};
use fleet::{
    condition::Report,
    config,
    exchange::{self, Notice},
    registry::{State, Target},
};
use slotmap::{SlotMap, new_key_type};

use crate::{
    backlog::Backlog,
    balancer::departure::{Removed, is_placed_apart, leaving_since},
    cache::Cache,
    cell,
    condition::{Change, Condition},
    doubt::Doubt,
    end,
    health::{Availability, Health, Outcome},
    precedence, quota,
    relay::Peer,
    speed::Speed,
};

/// Time for which a target that says that it leaves still takes streams that can go on nowhere else. It serves for two
/// seconds at least, a part of which may have passed before this instance learnt of it.
const LEAVING_GRACE: Duration = Duration::from_millis(1_500);

new_key_type! {
    /// Key of a target in the balancer.
    pub struct Key;
}
/// A target with the models that predict its load.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its last announcement.
    pub target: Target,
    /// Hash of its name.
    hash: u64,
    backlog: Backlog,
    cache: Cache,
    speed: Speed,
    health: Health,
    condition: Condition,
    doubt: Doubt,
    /// Whether it was ordered to change its stage and hasn't yet.
    changing: bool,
    /// When it was first known to leave.
    leaving_since: Option<Moment>,
    /// Whether it has left, and serves on for a while.
    has_left: bool,
}

/// What an announcement of a target changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The target is new, or has started again.
    Started,
    /// It was known.
    Known,
    /// It is lost or gone.
    Removed,
}

/// Selects targets for requests.
#[derive(Debug)]
pub struct Balancer {
    instance: name::Instance,
    data_centre: name::DataCentre,
    entries: SlotMap<Key, Entry>,
    names: Map<name::Target, Key>,
    engines: Map<name::Service, config::Engine>,
    /// Targets that were ordered to change their stage, known or not.
    changing: Set<name::Target>,
    /// Conditions of targets that were removed, which may come back without a restart.
    removed: Map<name::Target, Removed>,
    /// The instances among which targets' limits are divided.
    fleet: quota::Fleet,
    /// The instances that keep cells, sorted, this one included.
    peers: Vec<Peer>,
    cells: cell::Division,
    /// Whether targets or instances have changed since the cells were determined.
    cells_outdated: bool,
    /// The cells that this instance keeps.
    kept: Map<cell::Id, cells::Kept>,
    /// Prompts whose prefill isn't known to have ended, by the number of their dispatch.
    prompts: Map<u64, notices::Prompt>,
    /// Which requests give way when room is short.
    precedence: precedence::Table,
    random: Random,
}

impl Balancer {
    /// Makes the balancer of an instance in `data_centre`; `seed` seeds the random choices among equal targets.
    pub fn new(instance: name::Instance, data_centre: name::DataCentre, seed: u64) -> Balancer {
        Balancer {
            peers: vec![Peer { instance: instance.clone(), data_centre: data_centre.clone() }],
            cells: cell::Division::default(),
            cells_outdated: true,
            kept: Map::default(),
            instance: instance.clone(),
            data_centre,
            entries: SlotMap::with_key(),
            names: Map::default(),
            engines: Map::default(),
            changing: Set::default(),
            removed: Map::default(),
            fleet: quota::Fleet::new(instance),
            prompts: Map::default(),
            precedence: precedence::Table::default(),
            random: Random::new(seed),
        }
    }

    /// The balancer with less urgent requests giving way in this scope.
    #[must_use]
    pub fn with_precedence(self, scope: precedence::Scope) -> Balancer {
        Balancer { precedence: precedence::Table::new(scope), ..self }
    }

    /// Applies a configuration: the engines' properties of each service.
    pub fn configure(&mut self, config: &config::Config) {
        let engine = |service: &config::Service| Some((service.name.clone(), service.engine?));
        self.engines = config.services.iter().filter_map(engine).collect();
        self.precedence.configure(config);
        for entry in self.entries.values_mut() {
            // Targets can be known before the configuration.
            if let Some(engine) = self.engines.get(&entry.target.service) {
                entry.cache.resize(engine.kv_tokens);
            }
        }
    }

    /// Adds, updates or removes a target by its announcement; a restarted target begins with empty models. Returns what that
    /// changes.
    pub fn update(&mut self, target: &Target, now: Moment) -> Update {
        let known = self.names.get(&target.name).copied();
        let entry = known.and_then(|key| self.entries.get(key));
        self.cells_outdated |= entry.is_none_or(|entry| is_placed_apart(&entry.target, target));
        if target.state >= State::Lost {
            if let Some(key) = known
                && !self.keep_leaving(key, target, now)
            {
                self.names.remove(&target.name);
                self.remove(key, now);
            }
            return Update::Removed;
        }
        let restarted = |entry: &Entry| entry.target.started_unix_ms != target.started_unix_ms;
        match known.and_then(|key| self.entries.get_mut(key)) {
            Some(entry) if !restarted(entry) => {
                entry.target = target.clone();
                entry.has_left = false;
                entry.leaving_since = leaving_since(target, entry.leaving_since, now);
                Update::Known
            }
            _ => {
                let tokens = self.engines.get(&target.service).map_or(0, |engine| engine.kv_tokens);
                let entry = Entry {
                    target: target.clone(),
                    hash: cell::hash(&target.name.0),
                    backlog: Backlog::default(),
                    cache: Cache::new(tokens),
                    speed: Speed::default(),
                    health: Health::default(),
                    condition: self.restore_condition(target),
                    doubt: Doubt::default(),
                    changing: self.changing.contains(&target.name),
                    leaving_since: leaving_since(target, None, now),
                    has_left: false,
                };
                if let Some(key) = known {
                    self.entries.remove(key);
                }
                let key = self.entries.insert(entry);
                self.names.insert(target.name.clone(), key);
                Update::Started
            }
        }
    }

    /// Sets the other instances that send requests, among which targets' limits are divided.
    pub fn set_instances(&mut self, others: Vec<name::Instance>, now: Moment) {
        if self.fleet.set_others(others) {
            for entry in self.entries.values_mut() {
                entry.condition.update_share(&entry.target.name, &self.fleet, now);
            }
        }
    }

    /// The instances that send requests, as this one knows them.
    pub fn fleet(&self) -> &quota::Fleet {
        &self.fleet
    }

    /// Whether a target is expected to stay: it has not said that it leaves.
    pub fn is_staying(&self, key: Key) -> bool {
        let staying =
            |entry: &Entry| entry.target.state == State::Ready && !entry.condition.report().leaving;
        self.entries.get(key).is_some_and(staying)
    }

    /// Records what a response says of its target, to a request that was sent at `sent_at`; returns the notice for the
    /// other instances, and whether the condition changed.
    pub fn record_report(
        &mut self,
        key: Key,
        report: &Report,
        sent_at: Moment,
        now: Moment,
    ) -> (Change, Option<Notice>) {
        let Some(Entry { target, condition, .. }) = self.entries.get_mut(key) else {
            return (Change::None, None);
        };
        let change = condition.apply_response(report, &target.name, &self.fleet, sent_at, now);
        let Report { leaving, limit, .. } = condition.report();
        let notice = Notice::Condition {
            target: target.name.clone(),
            started_unix_ms: target.started_unix_ms,
            leaving,
            limit,
        };
        (change, (change != Change::None).then_some(notice))
    }

    /// Sets which engines were ordered to change their stage; they get no requests until they have.
    pub fn set_changing(&mut self, targets: &[name::Target]) {
        let targets: Set<name::Target> = targets.iter().cloned().collect();
        if targets == self.changing {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.changing = targets.contains(&entry.target.name);
        }
        self.changing = targets;
    }

    /// The target with a key, unless it was removed.
    pub fn entry(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Key of a target.
    pub fn key(&self, target: &name::Target) -> Option<Key> {
        self.names.get(target).copied()
    }

    /// Address of a target for requests.
    pub fn address(&self, target: &name::Target) -> Option<SocketAddr> {
        let key = self.names.get(target)?;
        Some(self.entries.get(*key)?.target.address)
    }

    /// Whether a later process has taken the place of a target's.
    pub fn is_replaced(&self, process: &exchange::Process) -> bool {
        self.entries.values().any(|entry| end::replaces(&entry.target, process))
    }

    /// Whether this is the process of a target that takes requests.
    pub fn is_current(&self, process: &exchange::Process) -> bool {
        let key = self.names.get(&process.target).copied();
        let target = key.and_then(|key| self.entries.get(key)).map(|entry| &entry.target);
        target.is_some_and(|target| exchange::Process::from(target) == *process)
    }

    /// Addresses of up to `count` other targets of the same service, drawn at random, those that take requests first.
    pub fn others(&mut self, target: &name::Target, count: usize, now: Moment) -> Vec<SocketAddr> {
        let Some(key) = self.names.get(target).copied() else {
            return Vec::new();
        };
        let Some(service) = self.entries.get(key).map(|entry| entry.target.service.clone()) else {
            return Vec::new();
        };
        let random = &mut self.random;
        let mut others: Vec<(Availability, u64, SocketAddr)> = self
            .entries
            .iter()
            .filter(|(other, entry)| *other != key && entry.target.service == service)
            .filter(|(_, entry)| entry.target.state == State::Ready)
            .map(|(_, entry)| {
                (entry.health.availability(now), random.next_u64(), entry.target.address)
            })
            .collect();
        others.sort_unstable();
        others.into_iter().take(count).map(|(_, _, address)| address).collect()
    }

    /// Whether no connection could be made to a target for so long that waiting for one is in vain.
    pub fn is_absent(&self, key: Key, now: Moment) -> bool {
        self.entries.get(key).is_none_or(|entry| entry.health.is_absent(now))
    }

    /// Service and software version of each known target.
    pub fn software(&self) -> impl Iterator<Item = (&name::Service, &name::Software)> {
        self.entries.values().map(|entry| (&entry.target.service, &entry.target.software))
    }

    /// Number of known targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Availability of each target.
    pub fn availabilities(&self, now: Moment) -> Vec<Availability> {
        self.entries.values().map(|entry| entry.health.availability(now)).collect()
    }

    /// Whether a service has a target that takes requests.
    pub fn serves(&self, service: &name::Service) -> bool {
        let ready = |entry: &Entry| entry.target.state == State::Ready;
        self.entries.values().any(|entry| entry.target.service == *service && ready(entry))
    }

    /// Whether a service has a target of a software version that takes requests.
    pub fn serves_version(&self, service: &name::Service, software: &name::Software) -> bool {
        self.ready(service).iter().any(|(_, target)| target.software == *software)
    }

    /// The targets of a service that take requests.
    pub fn ready(&self, service: &name::Service) -> Vec<(Key, &Target)> {
        let ready = self.entries.iter().filter(|(_, entry)| {
            entry.target.service == *service && entry.target.state == State::Ready
        });
        ready.map(|(key, entry)| (key, &entry.target)).collect()
    }

    /// At most `count` random ones of [`Balancer::ready`], with their names and addresses.
    pub fn sample_ready(
        &mut self,
        service: &name::Service,
        count: usize,
    ) -> Vec<(Key, name::Target, SocketAddr)> {
        let ready = self.ready(service).into_iter();
        let mut ready: Vec<(Key, name::Target, SocketAddr)> =
            ready.map(|(key, target)| (key, target.name.clone(), target.address)).collect();
        let mut sample = Vec::new();
        while sample.len() < count && !ready.is_empty() {
            sample.push(ready.swap_remove(self.random.below(ready.len())));
        }
        sample
    }

    /// Whether the last attempt to connect to a target failed.
    pub fn is_unreached(&self, key: Key) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.health.is_unreached())
    }

    /// Ends the ejections of a service's targets for failed connections, which this instance's lost path explains. Engines
    /// are still asked whether they are the ones that announced themselves.
    pub fn reset_unreached(&mut self, service: &name::Service) {
        let can_be_asked = self.engines.contains_key(service);
        for entry in self.entries.values_mut().filter(|entry| entry.target.service == *service) {
            entry.health.record_connected();
            if !can_be_asked {
                entry.doubt.settle();
            }
        }
    }

    /// Records that another instance was refused by a target to which this one has a connection that works. Unless the target
    /// can be asked, that says more about the other instance.
    pub fn doubt_connected(&mut self, key: Key, now: Moment) {
        let service = self.entries.get(key).map(|entry| &entry.target.service);
        if service.is_some_and(|service| self.engines.contains_key(service)) {
            self.doubt(key, now);
        }
    }

    /// Records that the process of a target may have ended; see [`crate::doubt`].
    pub fn doubt(&mut self, key: Key, now: Moment) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.doubt.raise(now);
        }
    }

    /// Records that the process of a target started at this time, as it says itself; `false` if it isn't the one that
    /// announced itself, which renews the doubt.
    pub fn identify(&mut self, key: Key, started_unix_ms: u64, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let same = entry.target.started_unix_ms == started_unix_ms;
        if same {
            entry.doubt.settle();
        } else {
            entry.doubt.raise(now);
        }
        same
    }

    /// Whether the process of a target may have ended since it announced itself.
    pub fn is_doubted(&self, key: Key, now: Moment) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.doubt.holds(now))
    }

    /// Whether an engine must say when its process started before it gets a stream that may go on at one version only.
    pub fn must_be_identified(&self, key: Key, now: Moment) -> bool {
        self.is_doubted(key, now) && self.can_be_identified(key)
    }

    /// Whether a target is an engine, which says when its process started if it is asked.
    pub fn can_be_identified(&self, key: Key) -> bool {
        let service = self.entries.get(key).map(|entry| &entry.target.service);
        service.is_some_and(|service| self.engines.contains_key(service))
    }

    /// Moves a request of this instance from the target that it was planned for to another one.
    pub fn redirect(&mut self, from: Key, to: Key, now: Moment) {
        self.complete_request(from);
        if let Some(entry) = self.entries.get_mut(from) {
            entry.condition.put_permit_back();
        }
        if let Some(entry) = self.entries.get_mut(to) {
            entry.backlog.add_request();
            entry.health.record_sent(now);
            entry.condition.take_permit(now);
        }
    }

    /// Records that a request of this instance has ended at its target.
    pub fn complete_request(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.backlog.complete_request();
        }
    }

    /// Records that a connection to a target was made.
    pub fn record_connected(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.health.record_connected();
        }
    }

    /// Records the outcome of an exchange; returns whether that begins an ejection of the target.
    pub fn record_outcome(&mut self, key: Key, outcome: Outcome, now: Moment) -> bool {
        let Some(service) = self.entries.get(key).map(|entry| entry.target.service.clone()) else {
            return false;
        };
        let service_rate = self.median_failure_rate(&service);
        let is_engine = self.engines.contains_key(&service);
        let entry = &mut self.entries[key];
        // Others can't be asked, and connections break for many reasons.
        if outcome == Outcome::Broken && is_engine {
            entry.doubt.raise(now);
        }
        entry.health.record_outcome(outcome, service_rate, now)
    }

    /// Records that a target that was silent has sent something.
    pub fn record_heard(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.health.record_heard();
        }
    }

    /// Median failure rate of the targets of a service.
    fn median_failure_rate(&self, service: &name::Service) -> f64 {
        let mut rates: Vec<f64> = self
            .entries
            .values()
            .filter(|entry| entry.target.service == *service)
            .map(|entry| entry.health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or_default()
    }
}
