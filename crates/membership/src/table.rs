//! An instance's table of targets and other instances, and the updates about them.

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

/// Maximum targets of which an instance publishes its outstanding requests; keeps messages small.
const MAX_COUNTS: usize = 16;
/// Number of instances above which the time between exchanges is longer.
const MANY_INSTANCES: usize = 16;
/// Time between exchanges with few instances.
const SHORT_PERIOD: Duration = Duration::from_millis(250);
/// Time between exchanges with many instances.
const LONG_PERIOD: Duration = Duration::from_secs(1);
/// Longest lease of a target; a longer one in an announcement is shortened to it.
const MAX_LEASE: Duration = Duration::from_secs(60);

/// Liveness of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// No update of it has arrived yet.
    #[default]
    Unknown,
    /// New versions of it arrive.
    Alive,
    /// No new version of it has arrived for some time.
    Suspect,
    /// No new version of it has arrived for so long that it is taken as gone.
    Gone,
}

/// Another instance that is named in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
}

/// Outcome of receiving an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target is new or has changed; the data centre's other instances should be notified at once.
    Changed,
    /// The target announced itself again with only a new load.
    Refreshed,
    /// The announcement is not newer than the one known and was ignored.
    Stale,
}

/// Origin and version of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    origin: u32,
    version: u64,
}

/// What an update is about; its current value is looked up when the update is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item {
    Described(u32),
    Heartbeat(u32),
    Outstanding,
    Summary(u32),
}

/// A process of an instance and its updates.
#[derive(Clone, Debug)]
struct Source {
    origin: Origin,
    version: u64,
    /// Its updates that are not superseded, by version.
    items: BTreeMap<u64, Item>,
    outstanding: Vec<Count>,
    /// When a newer version last arrived.
    received_at: Moment,
}

#[derive(Clone, Debug)]
struct Target {
    announcement: Announcement,
    /// Update with the full announcement.
    described: Stamp,
    /// Latest update: the latest heartbeat, or the same as `described`.
    heartbeat: Stamp,
    /// When the instance that the target contacted received the latest announcement.
    received_at: Moment,
}

/// Another data centre.
#[derive(Clone, Debug)]
struct DataCentre {
    summary: Summary,
    stamp: Stamp,
    /// When the latest summary arrived here.
    received_at: Moment,
}

#[derive(Clone, Debug)]
struct Instance {
    data_centre: name::DataCentre,
    state: State,
    /// Key of its latest process.
    key: Option<u32>,
    incarnation: u64,
    /// Highest version of its latest process that arrived; kept when the process's updates are forgotten, which other
    /// instances may do later.
    version: u64,
    /// When `state` last changed.
    since: Moment,
    /// How often it was lost recently.
    flaps: u32,
    /// When versions of it began to arrive again after it was taken as gone.
    recovering: Option<Moment>,
}

/// What one instance knows about targets and other instances.
#[derive(Debug)]
pub struct Table {
    /// Key of this process.
    own: u32,
    sources: Map<u32, Source>,
    targets: Map<u32, Target>,
    target_keys: Map<name::Target, u32>,
    data_centres: Map<u32, DataCentre>,
    instances: BTreeMap<name::Instance, Instance>,
    random: Random,
    events: VecDeque<Event>,
}

impl Table {
    /// Makes the table of an instance that so far knows only the names of other instances; `seed` seeds the random
    /// choice of peers.
    pub fn new(own: Origin, seeds: &[Seed], seed: u64, now: Moment) -> Table {
        let key = message::origin_key(&own.instance, own.incarnation);
        let source = Source {
            origin: own,
            version: 1,
            items: BTreeMap::new(),
            outstanding: Vec::new(),
            received_at: now,
        };
        let instances = seeds.iter().map(|seed| (seed.instance.clone(), Instance::new(seed, now)));
        Table {
            own: key,
            sources: Map::from_iter([(key, source)]),
            targets: Map::default(),
            target_keys: Map::default(),
            data_centres: Map::default(),
            instances: instances.collect(),
            random: Random::new(seed),
            events: VecDeque::new(),
        }
    }

    /// The next event, if any.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Receives an announcement that a target sent to this instance.
    pub fn receive_announcement(&mut self, announcement: Announcement, now: Moment) -> Outcome {
        let key = message::target_key(&announcement.target, announcement.incarnation);
        let outcome = self.compare(&announcement);
        let stamp = match outcome {
            Outcome::Stale => return outcome,
            Outcome::Changed => self.stamp(Item::Described(key)),
            Outcome::Refreshed => self.stamp(Item::Heartbeat(key)),
        };
        self.put(key, &announcement, outcome, stamp, now);
        self.events.push_back(Event::Announced(Box::new(announcement)));
        outcome
    }

    /// Sets the outstanding requests of this instance.
    pub fn set_outstanding(&mut self, requests: impl IntoIterator<Item = Outstanding>) {
        let keyed = requests.into_iter().filter_map(|outstanding| {
            let target = *self.target_keys.get(&outstanding.target)?;
            Some(Count { target, requests: outstanding.requests })
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

    /// Announcements of all known targets, in no particular order.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|target| &target.announcement)
    }

    /// Increments this instance's version, which shows others that it is alive, and expires targets and instances.
    pub fn tick(&mut self, now: Moment) {
        let own = self.own;
        let source = self.source(own);
        source.version += 1;
        source.received_at = now;
        self.expire_targets(now);
        self.update_instances(now);
        self.forget_sources(now);
        self.sum_peer_outstanding();
    }

    /// What an announcement changes, compared with the one known.
    fn compare(&self, announcement: &Announcement) -> Outcome {
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
        received_at: Moment,
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
        let target = Target { announcement: plain, described, heartbeat: stamp, received_at };
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
            target.received_at + lease <= now
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

    /// The current value of an item; `None` if its target or data centre is no longer known.
    fn value(&self, source: &Source, item: Item, now: Moment) -> Option<Value> {
        let age = |received_at: Moment| {
            u32::try_from(now.since(received_at).as_millis()).unwrap_or(u32::MAX)
        };
        Some(match item {
            Item::Described(key) => {
                let target = self.targets.get(&key)?;
                let announcement = Box::new(target.announcement.clone());
                Value::Described { announcement, age_ms: age(target.received_at) }
            }
            Item::Heartbeat(key) => {
                let target = self.targets.get(&key)?;
                Value::Heartbeat(Heartbeat::new(&target.announcement, age(target.received_at)))
            }
            Item::Outstanding => Value::Outstanding(source.outstanding.clone()),
            Item::Summary(key) => Value::Summary(self.data_centres.get(&key)?.summary.clone()),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Number {
    incarnation: u64,
    sequence: u64,
}

/// Whether two announcements differ only in what a heartbeat contains.
fn same_description(one: &Announcement, other: &Announcement) -> bool {
    let plain = |announcement: &Announcement| Announcement {
        sequence: 0,
        load: wire::target::Load::default(),
        cache_events: Vec::new(),
        ..announcement.clone()
    };
    plain(one) == plain(other)
}
