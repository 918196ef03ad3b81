//! Which peer takes a request of a service whose targets this instance can't reach.
//!
//! Each instance publishes from which services it is cut off; of its states the newest holds, so they merge in any order,
//! and one that isn't renewed expires. Of two random peers the one with fewer requests from here is taken (Mitzenmacher
//! 2001).

use std::time::Duration;

use common::{clock::Moment, collections::Map, name, random::Random};
use fleet::exchange::{self, MAX_CUT_OFF};

/// Requests that all cut-off instances together have at one peer. Each of them takes an equal part, so that they need
/// not coordinate.
pub const MAX_RELAYED: usize = 1_024;
/// Random peers that are tried before all are looked at.
const MAX_DRAWS: usize = 16;
/// Instances whose states are kept.
pub const MAX_INSTANCES: usize = 4_096;
/// Time after which a state that isn't renewed no longer holds.
pub const STATE_TTL: Duration = Duration::from_secs(5);
/// Time after which any state of the instance is taken as new, for one whose clock was set back.
const NUMBER_TTL: Duration = Duration::from_secs(30);
/// Time for which a peer is not asked for a service that it said it doesn't reach.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for which another peer is preferred to one that refused a request.
const BUSY_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a peer that wasn't reached gets no request; it doubles with each failure.
const UNREACHED_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest such time.
const MAX_UNREACHED_PAUSE: Duration = Duration::from_secs(8);

/// Another entry instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its name.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
}

/// What became of a request that was passed to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The peer answered it.
    Answered,
    /// The peer doesn't reach the service either.
    CutOff,
    /// The peer refused it for another reason.
    Busy,
    /// The peer wasn't reached, or vanished.
    Unreached,
    /// Its caller left before there was an outcome.
    Abandoned,
}

/// Where an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    SameDataCentre,
    OtherDataCentre,
    /// It is no peer, or not any more.
    Unknown,
}

/// The newest state that an instance published.
#[derive(Clone, Debug)]
struct State {
    started_unix_ms: u64,
    number: u64,
    cut_off: Vec<name::Service>,
    heard: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Moment,
    length: Duration,
    /// Whether a request tries the peer again.
    tried: bool,
}

#[derive(Debug)]
struct Entry {
    instance: name::Instance,
    place: Place,
    state: Option<State>,
    /// Requests from here that it works on.
    requests: usize,
    /// Services that it refused as cut off, at most [`MAX_CUT_OFF`].
    refused: Vec<(name::Service, Moment)>,
    busy_until: Option<Moment>,
    unreached: Option<Pause>,
}

/// The other entry instances.
#[derive(Debug)]
pub struct Peers {
    data_centre: name::DataCentre,
    random: Random,
    entries: Vec<Entry>,
    keys: Map<name::Instance, usize>,
    /// Keys of the peers in the data centre of the instance.
    same: Vec<usize>,
    /// Keys of the others.
    other: Vec<usize>,
}

/// What a peer must meet to take a request.
struct Criteria<'request> {
    service: &'request name::Service,
    /// Keys of the peers that don't take it.
    avoid: Vec<usize>,
    /// Requests from here that a peer may have.
    limit: usize,
    now: Moment,
}

impl Peers {
    /// Creates the peers of an instance in a data centre.
    pub fn new(data_centre: name::DataCentre, seed: u64) -> Peers {
        Peers {
            data_centre,
            random: Random::new(seed),
            entries: Vec::new(),
            keys: Map::default(),
            same: Vec::new(),
            other: Vec::new(),
        }
    }

    /// Sets the other entry instances.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        for entry in &mut self.entries {
            entry.place = Place::Unknown;
        }
        for peer in peers {
            let place = if peer.data_centre == self.data_centre {
                Place::SameDataCentre
            } else {
                Place::OtherDataCentre
            };
            let key = self.key(&peer.instance);
            self.entries[key].place = place;
        }
        self.remove_entries(|entry| {
            entry.place != Place::Unknown || entry.requests > 0 || entry.state.is_some()
        });
    }

    /// Merges the state of another instance, in any order; `false` if it was known or older.
    pub fn merge(&mut self, reach: &exchange::Reach, now: Moment) -> bool {
        if !self.keys.contains_key(&reach.instance) && !self.has_room(now) {
            return false;
        }
        let key = self.key(&reach.instance);
        let entry = &mut self.entries[key];
        let version = (reach.started_unix_ms, reach.number);
        if entry.is_numbered(now)
            && entry.state.as_ref().is_some_and(|known| version <= known.version())
        {
            return false;
        }
        if entry.state.as_ref().is_some_and(|known| known.started_unix_ms < reach.started_unix_ms) {
            entry.unreached = None;
        }
        let cut_off: Vec<name::Service> = reach.cut_off.iter().take(MAX_CUT_OFF).cloned().collect();
        entry.refused.clear();
        entry.state = Some(State {
            started_unix_ms: reach.started_unix_ms,
            number: reach.number,
            cut_off,
            heard: now,
        });
        true
    }

    /// The peer that takes a request of the service: not in `avoid`, not known to be cut off from the service nor
    /// unreached lately. `None` if no peer is expected to reach the service, or all have enough requests. Counts the
    /// request at it until [`Peers::record_end`].
    pub fn choose(
        &mut self,
        service: &name::Service,
        avoid: &[name::Instance],
        now: Moment,
    ) -> Option<name::Instance> {
        let avoid = avoid.iter().filter_map(|instance| self.keys.get(instance).copied()).collect();
        let criteria = Criteria { service, avoid, limit: self.limit(now), now };
        let (first, second) = if self.prefers_same(&criteria) {
            (&self.same, &self.other)
        } else {
            (&self.other, &self.same)
        };
        let mut random = self.random;
        let key = self
            .pick(first, &criteria, &mut random)
            .or_else(|| self.pick(second, &criteria, &mut random));
        self.random = random;
        let key = key?;
        let entry = &mut self.entries[key];
        entry.requests += 1;
        // One request tries a peer that wasn't reached; the others wait for its outcome.
        if let Some(pause) = &mut entry.unreached {
            *pause = Pause { until: now + pause.length, tried: true, ..*pause };
        }
        Some(entry.instance.clone())
    }

    /// Records what became of a request that [`Peers::choose`] counted.
    pub fn record_end(
        &mut self,
        instance: &name::Instance,
        service: &name::Service,
        outcome: Outcome,
        now: Moment,
    ) {
        let Some(key) = self.keys.get(instance).copied() else {
            return;
        };
        let entry = &mut self.entries[key];
        entry.requests = entry.requests.saturating_sub(1);
        match outcome {
            Outcome::Abandoned => return,
            Outcome::Unreached => return entry.record_unreached(now),
            Outcome::CutOff => entry.record_refused(service, now),
            Outcome::Busy => entry.busy_until = Some(now + BUSY_PAUSE),
            Outcome::Answered => entry.busy_until = None,
        }
        entry.unreached = None;
    }

    /// Whether any peer may reach the service.
    pub fn may_reach(&self, service: &name::Service, now: Moment) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.place != Place::Unknown && entry.may_reach(service, now))
    }

    /// Requests from here that a peer may have now, an equal part of [`MAX_RELAYED`].
    fn limit(&self, now: Moment) -> usize {
        let senders = self
            .entries
            .iter()
            .filter(|entry| entry.place != Place::Unknown && entry.is_sender(now))
            .count();
        (MAX_RELAYED / (senders + 1)).max(1)
    }

    /// Whether a peer of this data centre is tried first. Each of them takes the requests of one cut-off instance at most;
    /// the rest go to other data centres.
    fn prefers_same(&mut self, criteria: &Criteria<'_>) -> bool {
        let is_cut_off =
            |key: &&usize| self.entries[**key].is_cut_off(criteria.service, criteria.now);
        let cut_off = 1 + self.same.iter().filter(is_cut_off).count();
        let takers = self.same.iter().filter(|key| self.is_taker(**key, criteria)).count();
        self.random.below(cut_off) < takers
    }

    fn is_taker(&self, key: usize, criteria: &Criteria<'_>) -> bool {
        let entry = &self.entries[key];
        entry.requests < criteria.limit
            && !criteria.avoid.contains(&key)
            && entry.may_reach(criteria.service, criteria.now)
    }

    /// The better one of two random peers among those with these keys.
    fn pick(&self, keys: &[usize], criteria: &Criteria<'_>, random: &mut Random) -> Option<usize> {
        let first = self.draw(keys, criteria, random)?;
        let second = self.draw(keys, criteria, random)?;
        let load = |key: usize| {
            let entry = &self.entries[key];
            (entry.is_busy(criteria.now), entry.requests)
        };
        Some(if load(second) < load(first) { second } else { first })
    }

    fn draw(&self, keys: &[usize], criteria: &Criteria<'_>, random: &mut Random) -> Option<usize> {
        for _ in 0..MAX_DRAWS {
            let key = *keys.get(random.below(keys.len()))?;
            if self.is_taker(key, criteria) {
                return Some(key);
            }
        }
        let takers: Vec<usize> =
            keys.iter().copied().filter(|key| self.is_taker(*key, criteria)).collect();
        takers.get(random.below(takers.len())).copied()
    }

    fn key(&mut self, instance: &name::Instance) -> usize {
        if let Some(key) = self.keys.get(instance) {
            return *key;
        }
        let key = self.entries.len();
        self.entries.push(Entry::new(instance.clone()));
        self.keys.insert(instance.clone(), key);
        key
    }

    /// Makes room for the state of another instance if it can.
    fn has_room(&mut self, now: Moment) -> bool {
        if self.entries.len() < MAX_INSTANCES {
            return true;
        }
        let is_used = |entry: &Entry| {
            entry.place != Place::Unknown || entry.requests > 0 || entry.is_numbered(now)
        };
        if self.entries.iter().all(is_used) {
            return false;
        }
        self.remove_entries(is_used);
        true
    }

    fn remove_entries(&mut self, kept: impl Fn(&Entry) -> bool) {
        self.entries.retain(kept);
        self.keys = self
            .entries
            .iter()
            .enumerate()
            .map(|(key, entry)| (entry.instance.clone(), key))
            .collect();
        self.same = self.keys_at(Place::SameDataCentre);
        self.other = self.keys_at(Place::OtherDataCentre);
    }

    fn keys_at(&self, place: Place) -> Vec<usize> {
        (0..self.entries.len()).filter(|key| self.entries[*key].place == place).collect()
    }
}

impl State {
    fn version(&self) -> (u64, u64) {
        (self.started_unix_ms, self.number)
    }
}

impl Entry {
    fn new(instance: name::Instance) -> Entry {
        Entry {
            instance,
            place: Place::Unknown,
            state: None,
            requests: 0,
            refused: Vec::new(),
            busy_until: None,
            unreached: None,
        }
    }

    /// Whether only a later state of it is taken.
    fn is_numbered(&self, now: Moment) -> bool {
        self.state.as_ref().is_some_and(|state| now.since(state.heard) < NUMBER_TTL)
    }

    /// The services that it says it is cut off from.
    fn cut_off(&self, now: Moment) -> &[name::Service] {
        match &self.state {
            Some(state) if now.since(state.heard) < STATE_TTL => &state.cut_off,
            Some(_) | None => &[],
        }
    }

    fn is_sender(&self, now: Moment) -> bool {
        !self.cut_off(now).is_empty()
    }

    fn is_cut_off(&self, service: &name::Service, now: Moment) -> bool {
        self.cut_off(now).contains(service)
            || self.refused.iter().any(|(refused, until)| refused == service && now < *until)
    }

    fn is_reached(&self, now: Moment) -> bool {
        self.unreached.is_none_or(|pause| pause.until <= now)
    }

    fn is_busy(&self, now: Moment) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    fn may_reach(&self, service: &name::Service, now: Moment) -> bool {
        self.is_reached(now) && !self.is_cut_off(service, now)
    }

    fn record_unreached(&mut self, now: Moment) {
        let length = match self.unreached {
            None => UNREACHED_PAUSE,
            Some(pause) if pause.tried => (pause.length * 2).min(MAX_UNREACHED_PAUSE),
            // Requests that were there together fail together.
            Some(_) => return,
        };
        self.unreached = Some(Pause { until: now + length, length, tried: false });
    }

    fn record_refused(&mut self, service: &name::Service, now: Moment) {
        self.refused.retain(|(refused, until)| refused != service && now < *until);
        if self.refused.len() == MAX_CUT_OFF {
            self.refused.remove(0);
        }
        self.refused.push((service.clone(), now + CUT_OFF_PAUSE));
    }
}
