//! Gossip exchanges between instances.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};

use super::{Item, Outcome, Source, Stamp, State, Table};
use crate::{
    event::Event,
    message::{self, Delta, Message, Update, Value, Version},
};

impl Table {
    /// Instances to exchange with in this period: a random one that is alive in the own data centre and, sometimes, one
    /// that is not, so that the two sides of a healed network partition find each other.
    pub fn gossip_peers(&mut self) -> Vec<name::Instance> {
        const ONE_LOST_IN: usize = 4;
        let own = self.sources[&self.own].origin.data_centre.clone();
        let select = |state: fn(State) -> bool| {
            let instances = self.instances.iter();
            instances
                .filter(|(_, instance)| instance.data_centre == own && state(instance.state))
                .map(|(name, _)| name.clone())
                .collect::<Vec<_>>()
        };
        let mut alive = select(|state| state == State::Alive);
        let mut lost = select(|state| state != State::Alive);
        let mut peers = Vec::new();
        if !alive.is_empty() {
            peers.push(alive.swap_remove(self.random.below(alive.len())));
        }
        if !lost.is_empty() && (peers.is_empty() || self.random.below(ONE_LOST_IN) == 0) {
            peers.push(lost.swap_remove(self.random.below(lost.len())));
        }
        peers
    }

    /// The data centre's other instances that are not gone, to be notified of urgent updates at once.
    pub fn local_peers(&self) -> impl Iterator<Item = &name::Instance> {
        let own = &self.sources[&self.own].origin.data_centre;
        let instances = self.instances.iter();
        instances
            .filter(move |(_, instance)| {
                instance.data_centre == *own && instance.state != State::Gone
            })
            .map(|(name, _)| name)
    }

    /// The first message of an exchange.
    pub fn start_exchange(&self) -> Message {
        Message { digest: self.digest(), deltas: Vec::new() }
    }

    /// A message with the own updates after `version`, to be sent without an exchange.
    pub fn updates_since(&self, version: u64, now: Moment) -> Message {
        let source = &self.sources[&self.own];
        let deltas = vec![self.delta(source, version, now)];
        Message { digest: Vec::new(), deltas }
    }

    /// The highest version of this instance.
    pub fn own_version(&self) -> u64 {
        self.sources[&self.own].version
    }

    /// Receives a message and makes the reply, which is empty at the end of an exchange.
    pub fn receive(&mut self, message: Message, now: Moment) -> Message {
        let Message { digest, deltas } = message;
        let is_first = deltas.is_empty() && !digest.is_empty();
        for delta in deltas {
            self.merge(delta, now);
        }
        if digest.is_empty() {
            return Message::default();
        }
        let deltas = self.deltas(&digest, now);
        Message { digest: if is_first { self.digest() } else { Vec::new() }, deltas }
    }

    fn digest(&self) -> Vec<Version> {
        let sources = self.sources.iter();
        sources.map(|(key, source)| Version { origin: *key, version: source.version }).collect()
    }

    fn deltas(&self, digest: &[Version], now: Moment) -> Vec<Delta> {
        let known: Map<u32, u64> =
            digest.iter().map(|version| (version.origin, version.version)).collect();
        let after = |key: &u32| known.get(key).copied().unwrap_or_default();
        let lacking = self.sources.iter().filter(|(key, source)| source.version > after(key));
        lacking.map(|(key, source)| self.delta(source, after(key), now)).collect()
    }

    fn delta(&self, source: &Source, after: u64, now: Moment) -> Delta {
        let updates = source.items.range(after + 1..).filter_map(|(version, item)| {
            let value = self.value(source, *item, now)?;
            Some(Update { version: *version, value })
        });
        Delta { origin: source.origin.clone(), version: source.version, updates: updates.collect() }
    }

    fn merge(&mut self, delta: Delta, now: Moment) {
        let key = message::origin_key(&delta.origin.instance, delta.origin.incarnation);
        if key == self.own || !self.record_version(key, &delta.origin, delta.version, now) {
            return;
        }
        let source = self.sources.entry(key).or_insert_with(|| Source {
            origin: delta.origin,
            version: 0,
            items: std::collections::BTreeMap::new(),
            outstanding: Vec::new(),
            received_at: now,
        });
        let before = source.version;
        source.version = delta.version;
        source.received_at = now;
        for update in delta.updates.into_iter().filter(|update| update.version > before) {
            self.apply(Stamp { origin: key, version: update.version }, update.value, now);
        }
    }

    fn apply(&mut self, stamp: Stamp, value: Value, now: Moment) {
        let aged = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        match value {
            Value::Described { announcement, age_ms } => {
                let key = message::target_key(&announcement.target, announcement.incarnation);
                let outcome = self.compare(&announcement);
                if outcome == Outcome::Stale {
                    return;
                }
                self.insert(stamp, Item::Described(key));
                self.put(key, &announcement, Outcome::Changed, stamp, aged(age_ms));
                self.emit_announced(key, age_ms);
            }
            Value::Heartbeat(heartbeat) => {
                let Some(target) = self.targets.get(&heartbeat.target) else {
                    return;
                };
                if heartbeat.sequence < target.announcement.sequence {
                    return;
                }
                if heartbeat.sequence == target.announcement.sequence {
                    self.restamp(heartbeat.target, stamp);
                    return;
                }
                let mut announcement = target.announcement.clone();
                heartbeat.apply(&mut announcement);
                self.insert(stamp, Item::Heartbeat(heartbeat.target));
                self.put(
                    heartbeat.target,
                    &announcement,
                    Outcome::Refreshed,
                    stamp,
                    aged(heartbeat.age_ms),
                );
                self.emit_announced(heartbeat.target, heartbeat.age_ms);
            }
            Value::Outstanding(counts) => {
                self.drop_items(stamp.origin, |item| *item == Item::Outstanding);
                self.insert(stamp, Item::Outstanding);
                self.source(stamp.origin).outstanding = counts;
            }
            Value::Summary(summary) => self.put_summary(summary, stamp, now),
        }
    }

    /// Replaces the stamp of a heartbeat that is already known by that of a later update with the same content, so that
    /// the later one is passed on to others.
    fn restamp(&mut self, key: u32, stamp: Stamp) {
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        let old = std::mem::replace(&mut target.heartbeat, stamp);
        if old != target.described {
            self.drop_item(old);
        }
        self.insert(stamp, Item::Heartbeat(key));
    }

    /// Emits an event about a target; the age of its load report grows by the age of the announcement.
    fn emit_announced(&mut self, key: u32, age_ms: u32) {
        let mut announcement = self.targets[&key].announcement.clone();
        announcement.load.age_ms += u64::from(age_ms);
        self.events.push_back(Event::Announced(Box::new(announcement)));
    }

    pub(super) fn insert(&mut self, stamp: Stamp, item: Item) {
        self.source(stamp.origin).items.insert(stamp.version, item);
    }
}
