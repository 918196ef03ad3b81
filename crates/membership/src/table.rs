//! The table of an instance: targets, instances and what they told.

mod exchange;
mod instances;
mod summary;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name, random::Random};
use wire::target::Announcement;

use crate::{
    event::{Event, Outstanding},
    message::{self, Count, Heartbeat, Origin, Summary, Value},
};

/// Targets of which an instance tells its own requests; the rest are left out so that messages stay small.
const MAX_COUNTS: usize = 16;
/// Instances above which the exchanges become rarer.
const MANY_INSTANCES: usize = 16;
const SHORT_PERIOD: Duration = Duration::from_millis(250);
const LONG_PERIOD: Duration = Duration::from_secs(1);
/// Longest lease that a target may ask for.
const MAX_LEASE: Duration = Duration::from_secs(60);

/// Whether an instance works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Nothing was heard of it yet.
    #[default]
    Unknown,
    /// It works.
    Alive,
    /// Nothing new was heard of it for some time.
    Suspect,
    /// It is taken as gone.
    Gone,
}

/// Another instance of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
}

/// Whether an announcement changed what requests may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target is new or has changed; tell the data centre's other instances at once.
    Changed,
    /// The target announced itself again.
    Refreshed,
    /// An older announcement than the one known.
    Stale,
}

/// Where an update stands among its origin's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    origin: u32,
    version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item {
    Described(u32),
    Heartbeat(u32),
    Outstanding,
    Summary(u32),
}

/// An instance's process and the updates that it made.
#[derive(Clone, Debug)]
struct Source {
    origin: Origin,
    version: u64,
    items: BTreeMap<u64, Item>,
    outstanding: Vec<Count>,
    /// When a newer version was last heard.
    heard: Moment,
}

#[derive(Clone, Debug)]
struct Target {
    announcement: Announcement,
    described: Stamp,
    heartbeat: Stamp,
    heard: Moment,
}

#[derive(Clone, Debug)]
struct Place {
    summary: Summary,
    stamp: Stamp,
    heard: Moment,
}

#[derive(Clone, Debug)]
struct Instance {
    data_centre: name::DataCentre,
    state: State,
    /// Process that was heard last.
    key: Option<u32>,
    incarnation: u64,
    since: Moment,
    flaps: u32,
    recovering: Option<Moment>,
}

/// State of one instance's view.
#[derive(Debug)]
pub struct Table {
    own: u32,
    sources: Map<u32, Source>,
    targets: Map<u32, Target>,
    target_keys: Map<name::Target, u32>,
    places: Map<u32, Place>,
    instances: BTreeMap<name::Instance, Instance>,
    random: Random,
    events: VecDeque<Event>,
}

impl Table {
    /// Makes the table of an instance that knows its seeds by name only.
    pub fn new(own: Origin, seeds: &[Seed], seed: u64, now: Moment) -> Table {
        let key = message::origin_key(&own.instance, own.incarnation);
        let source = Source {
            origin: own,
            version: 1,
            items: BTreeMap::new(),
            outstanding: Vec::new(),
            heard: now,
        };
        let instances = seeds.iter().map(|seed| (seed.instance.clone(), Instance::new(seed, now)));
        Table {
            own: key,
            sources: Map::from_iter([(key, source)]),
            targets: Map::default(),
            target_keys: Map::default(),
            places: Map::default(),
            instances: instances.collect(),
            random: Random::new(seed),
            events: VecDeque::new(),
        }
    }

    /// The next event, if any.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Takes in an announcement that a target sent to this instance.
    pub fn receive_announcement(&mut self, announcement: Announcement, now: Moment) -> Outcome {
        let key = message::target_key(&announcement.target, announcement.incarnation);
        let outcome = self.judge(&announcement);
        let stamp = match outcome {
            Outcome::Stale => return outcome,
            Outcome::Changed => self.stamp(Item::Described(key)),
            Outcome::Refreshed => self.stamp(Item::Heartbeat(key)),
        };
        self.put(key, &announcement, outcome, stamp, now);
        self.events.push_back(Event::Announced(Box::new(announcement)));
        outcome
    }

    /// Sets the requests that this instance has on targets.
    pub fn set_outstanding(&mut self, requests: impl IntoIterator<Item = Outstanding>) {
        let keyed = requests.into_iter().filter_map(|sum| {
            let target = *self.target_keys.get(&sum.target)?;
            Some(Count { target, requests: sum.requests })
        });
        let mut counts: Vec<Count> = keyed.collect();
        counts.sort_by_key(|count| (std::cmp::Reverse(count.requests), count.target));
        counts.truncate(MAX_COUNTS);
        if self.sources[&self.own].outstanding == counts {
            return;
        }
        let own = self.own;
        self.drop_items(own, |item| *item == Item::Outstanding);
        self.stamp(Item::Outstanding);
        self.source(own).outstanding = counts;
    }

    /// Time between two exchanges.
    pub fn exchange_period(&self) -> Duration {
        if self.instances.len() > MANY_INSTANCES { LONG_PERIOD } else { SHORT_PERIOD }
    }

    /// Targets that are known, in no order.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|target| &target.announcement)
    }

    /// Counts this instance's heartbeat, and ends the leases and instances whose time is over.
    pub fn tick(&mut self, now: Moment) {
        let own = self.own;
        let source = self.source(own);
        source.version += 1;
        source.heard = now;
        self.expire_targets(now);
        self.judge_instances(now);
        self.forget_sources(now);
        self.sum_peer_outstanding();
    }

    fn judge(&self, announcement: &Announcement) -> Outcome {
        let key = self.target_keys.get(&announcement.target);
        let Some(known) = key.and_then(|key| self.targets.get(key)) else {
            return Outcome::Changed;
        };
        let known = &known.announcement;
        let number = |announcement: &Announcement| Number {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
        };
        if number(announcement) <= number(known) {
            return Outcome::Stale;
        }
        if same_description(announcement, known) { Outcome::Refreshed } else { Outcome::Changed }
    }

    fn put(
        &mut self,
        key: u32,
        announcement: &Announcement,
        outcome: Outcome,
        stamp: Stamp,
        heard: Moment,
    ) {
        let plain = Announcement { cache_events: Vec::new(), ..announcement.clone() };
        let before = self.target_keys.insert(plain.target.clone(), key);
        if let Some(old) = before.filter(|old| *old != key) {
            self.remove_target(old);
        }
        let old = self.targets.get(&key).map(|old| (old.described, old.heartbeat));
        let described = match (outcome, old) {
            (Outcome::Refreshed, Some((described, _))) => described,
            _ => stamp,
        };
        let target = Target { announcement: plain, described, heartbeat: stamp, heard };
        self.targets.insert(key, target);
        if let Some((old_description, old_pulse)) = old {
            if old_pulse != old_description || described != old_description {
                self.drop_item(old_pulse);
            }
            if described != old_description {
                self.drop_item(old_description);
            }
        }
    }

    fn remove_target(&mut self, key: u32) {
        if let Some(target) = self.targets.remove(&key) {
            self.drop_item(target.described);
            self.drop_item(target.heartbeat);
        }
    }

    fn expire_targets(&mut self, now: Moment) {
        let ended = |target: &Target| {
            let lease = Duration::from_millis(target.announcement.lease_ms).min(MAX_LEASE);
            target.heard + lease <= now
        };
        let lost: Vec<u32> =
            self.targets.iter().filter(|(_, target)| ended(target)).map(|(key, _)| *key).collect();
        let mut names = Vec::new();
        for key in lost {
            let name = self.targets[&key].announcement.target.clone();
            self.remove_target(key);
            if self.target_keys.get(&name) == Some(&key) {
                self.target_keys.remove(&name);
                names.push(name);
            }
        }
        if !names.is_empty() {
            names.sort();
            self.events.push_back(Event::TargetsLost(names));
        }
    }

    fn sum_peer_outstanding(&mut self) {
        let mut sums: Map<u32, u32> = Map::default();
        let own = &self.sources[&self.own].origin.data_centre;
        for (key, source) in &self.sources {
            let near = source.origin.data_centre == *own && self.is_alive(*key);
            if *key != self.own && near {
                for count in &source.outstanding {
                    *sums.entry(count.target).or_default() += count.requests;
                }
            }
        }
        let named = self.targets.iter().map(|(key, target)| Outstanding {
            target: target.announcement.target.clone(),
            requests: sums.get(key).copied().unwrap_or_default(),
        });
        let sums: Vec<Outstanding> = named.collect();
        if !sums.is_empty() {
            self.events.push_back(Event::PeerOutstanding(sums));
        }
    }

    fn stamp(&mut self, item: Item) -> Stamp {
        let origin = self.own;
        let source = self.source(origin);
        source.version += 1;
        let version = source.version;
        source.items.insert(version, item);
        Stamp { origin, version }
    }

    fn source(&mut self, key: u32) -> &mut Source {
        self.sources.get_mut(&key).expect("invariant: the own source is never forgotten")
    }

    fn drop_item(&mut self, stamp: Stamp) {
        if let Some(source) = self.sources.get_mut(&stamp.origin) {
            source.items.remove(&stamp.version);
        }
    }

    fn drop_items(&mut self, origin: u32, of: impl Fn(&Item) -> bool) {
        if let Some(source) = self.sources.get_mut(&origin) {
            source.items.retain(|_, item| !of(item));
        }
    }

    /// The value of an item as it is told now.
    fn value(&self, source: &Source, item: Item, now: Moment) -> Option<Value> {
        let age = |heard: Moment| u32::try_from(now.since(heard).as_millis()).unwrap_or(u32::MAX);
        Some(match item {
            Item::Described(key) => {
                let target = self.targets.get(&key)?;
                let announcement = Box::new(target.announcement.clone());
                Value::Described { announcement, age_ms: age(target.heard) }
            }
            Item::Heartbeat(key) => {
                let target = self.targets.get(&key)?;
                Value::Heartbeat(Heartbeat::new(&target.announcement, age(target.heard)))
            }
            Item::Outstanding => Value::Outstanding(source.outstanding.clone()),
            Item::Summary(key) => Value::Summary(self.places.get(&key)?.summary.clone()),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Number {
    incarnation: u64,
    sequence: u64,
}

/// Whether two announcements differ only in what a heartbeat carries.
fn same_description(one: &Announcement, other: &Announcement) -> bool {
    let plain = |announcement: &Announcement| Announcement {
        sequence: 0,
        load: wire::target::Load::default(),
        cache_events: Vec::new(),
        ..announcement.clone()
    };
    plain(one) == plain(other)
}
