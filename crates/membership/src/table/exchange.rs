//! Exchanges between instances.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};

use super::{Item, Outcome, Source, Stamp, State, Table};
use crate::{
    event::Event,
    message::{self, Delta, Message, Update, Value, Version},
};

impl Table {
    /// Instances to exchange with in this period: one of the data centre, and now and then one that is suspect
    /// or gone, so that two sides of a healed partition find each other.
    pub fn gossip_peers(&mut self) -> Vec<name::Instance> {
        const LOST_ONE_IN: usize = 4;
        let own = self.sources[&self.own].origin.data_centre.clone();
        let near = |state: fn(State) -> bool| {
            let instances = self.instances.iter();
            instances
                .filter(|(_, instance)| instance.data_centre == own && state(instance.state))
                .map(|(name, _)| name.clone())
                .collect::<Vec<_>>()
        };
        let mut alive = near(|state| state == State::Alive);
        let mut lost = near(|state| state != State::Alive);
        let mut partners = Vec::new();
        if !alive.is_empty() {
            partners.push(alive.swap_remove(self.random.below(alive.len())));
        }
        if !lost.is_empty() && (partners.is_empty() || self.random.below(LOST_ONE_IN) == 0) {
            partners.push(lost.swap_remove(self.random.below(lost.len())));
        }
        partners
    }

    /// The data centre's other instances, for news that can't wait.
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

    /// Own updates after `version`, to be sent without being asked for, and the version that they reach.
    pub fn updates_since(&self, version: u64, now: Moment) -> Message {
        let source = &self.sources[&self.own];
        let deltas = vec![self.delta(source, version, now)];
        Message { digest: Vec::new(), deltas }
    }

    /// Highest version of the own updates.
    pub fn own_version(&self) -> u64 {
        self.sources[&self.own].version
    }

    /// Takes in a message and makes the answer to it, which is empty at the end of an exchange.
    pub fn receive(&mut self, message: Message, now: Moment) -> Message {
        let Message { digest, deltas } = message;
        let opens = deltas.is_empty() && !digest.is_empty();
        for delta in deltas {
            self.merge(delta, now);
        }
        if digest.is_empty() {
            return Message::default();
        }
        let deltas = self.deltas(&digest, now);
        Message { digest: if opens { self.digest() } else { Vec::new() }, deltas }
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
        if key == self.own || !self.hear(key, &delta.origin, now) {
            return;
        }
        let source = self.sources.entry(key).or_insert_with(|| Source {
            origin: delta.origin,
            version: 0,
            items: std::collections::BTreeMap::new(),
            outstanding: Vec::new(),
            heard: now,
        });
        let before = source.version;
        if delta.version <= before {
            return;
        }
        source.version = delta.version;
        source.heard = now;
        for update in delta.updates.into_iter().filter(|update| update.version > before) {
            self.take(Stamp { origin: key, version: update.version }, update.value, now);
        }
    }

    fn take(&mut self, stamp: Stamp, value: Value, now: Moment) {
        let aged = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        match value {
            Value::Described { announcement, age_ms } => {
                let key = message::target_key(&announcement.target, announcement.incarnation);
                let outcome = self.judge(&announcement);
                if outcome == Outcome::Stale {
                    return;
                }
                self.insert(stamp, Item::Described(key));
                self.put(key, &announcement, Outcome::Changed, stamp, aged(age_ms));
                self.tell(key, age_ms);
            }
            Value::Heartbeat(heartbeat) => {
                let Some(target) = self.targets.get(&heartbeat.target) else {
                    return;
                };
                if heartbeat.sequence < target.announcement.sequence {
                    return;
                }
                if heartbeat.sequence == target.announcement.sequence {
                    self.adopt(heartbeat.target, stamp);
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
                self.tell(heartbeat.target, heartbeat.age_ms);
            }
            Value::Outstanding(counts) => {
                self.drop_items(stamp.origin, |item| *item == Item::Outstanding);
                self.insert(stamp, Item::Outstanding);
                self.source(stamp.origin).outstanding = counts;
            }
            Value::Summary(summary) => self.put_summary(summary, stamp, now),
        }
    }

    /// Takes over the stamp of an update that is known already, so that it is told on to others.
    fn adopt(&mut self, key: u32, stamp: Stamp) {
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        let old = std::mem::replace(&mut target.heartbeat, stamp);
        if old != target.described {
            self.drop_item(old);
        }
        self.insert(stamp, Item::Heartbeat(key));
    }

    /// Passes on what was heard of a target; the age of its load report grows by that of the message.
    fn tell(&mut self, key: u32, age_ms: u32) {
        let mut announcement = self.targets[&key].announcement.clone();
        announcement.load.age_ms += u64::from(age_ms);
        self.events.push_back(Event::Announced(Box::new(announcement)));
    }

    pub(super) fn insert(&mut self, stamp: Stamp, item: Item) {
        self.source(stamp.origin).items.insert(stamp.version, item);
    }
}
