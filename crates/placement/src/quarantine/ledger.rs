//! What instances hold against the parts of prompts and the requests on which targets have ended.
//!
//! The standing of a suspect is an element of a join semilattice, so instances may exchange standings in any order,
//! repeatedly and with losses (Shapiro et al. 2011, "Conflict-free replicated data types").

use std::{hash::Hash, time::Duration};

use common::{clock::Moment, collections::Map};

/// Time after which the standing of a suspect that is not quarantined is forgotten.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
const QUARANTINE_TTL: Duration = Duration::from_secs(24 * 3_600);

/// What is held against a suspect; the default is nothing.
pub(super) trait Standing: Clone + Default + PartialEq {
    /// Merges another standing of the suspect: commutative, associative and idempotent.
    fn join(&mut self, other: &Self);
    /// How much is held against it; the least blamed suspects are forgotten first.
    fn blame(&self) -> u32;
    /// Whether it must not be sent, apart from trials.
    fn is_quarantined(&self) -> bool;
}

/// A suspect's standing at one instance.
#[derive(Clone, Debug)]
pub(super) struct Entry<S> {
    pub(super) standing: S,
    /// When an instance first had this standing.
    pub(super) since: Moment,
    /// When this instance last sent the quarantined suspect.
    pub(super) tried_at: Option<Moment>,
}

impl<S: Standing> Entry<S> {
    pub(super) fn expired(&self, now: Moment) -> bool {
        let quarantined = self.standing.is_quarantined();
        now.since(self.since) > if quarantined { QUARANTINE_TTL } else { SUSPICION_TTL }
    }
}

/// The standings of a bounded number of suspects.
#[derive(Clone, Debug)]
pub(super) struct Ledger<K, S> {
    entries: Map<K, Entry<S>>,
    capacity: usize,
}

impl<K: Copy + Ord + Hash, S: Standing> Ledger<K, S> {
    /// An empty ledger for this many suspects.
    pub(super) fn new(capacity: usize) -> Ledger<K, S> {
        Ledger { entries: Map::default(), capacity }
    }

    pub(super) fn get(&self, suspect: K) -> Option<&Entry<S>> {
        self.entries.get(&suspect)
    }

    pub(super) fn get_mut(&mut self, suspect: K) -> Option<&mut Entry<S>> {
        self.entries.get_mut(&suspect)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (K, &Entry<S>)> {
        self.entries.iter().map(|(suspect, entry)| (*suspect, entry))
    }

    /// Number of quarantined suspects.
    pub(super) fn quarantined(&self) -> usize {
        self.entries.values().filter(|entry| entry.standing.is_quarantined()).count()
    }

    /// Merges a standing that an instance first had at `since`; returns whether that changed the known one.
    pub(super) fn raise(&mut self, suspect: K, standing: S, since: Moment, now: Moment) -> bool {
        let entry = Entry { standing, since, tried_at: None };
        if entry.expired(now) {
            return false;
        }
        if let Some(known) = self.entries.get_mut(&suspect) {
            let mut joined = known.standing.clone();
            joined.join(&entry.standing);
            let changed = joined != known.standing;
            if joined != entry.standing {
                // The other instance lacks something: the merged standing begins with the later of the two.
                known.since = if changed { known.since.max(since) } else { known.since };
            } else {
                known.since = if changed { since } else { known.since.min(since) };
            }
            known.standing = joined;
            return changed;
        }
        if entry.standing == S::default() {
            return false;
        }
        if self.entries.len() >= self.capacity {
            self.evict(now);
        }
        self.entries.insert(suspect, entry);
        true
    }

    /// Makes room for one more suspect: removes those that have expired, else the least blamed, oldest one.
    fn evict(&mut self, now: Moment) {
        self.entries.retain(|_, entry| !entry.expired(now));
        if self.entries.len() < self.capacity {
            return;
        }
        let least = self
            .entries
            .iter()
            .min_by_key(|(suspect, entry)| (entry.standing.blame(), entry.since, **suspect))
            .map(|(suspect, _)| *suspect);
        if let Some(suspect) = least {
            self.entries.remove(&suspect);
        }
    }
}

/// The last successes of a bounded number of suspects.
#[derive(Clone, Debug)]
pub(super) struct Successes<K> {
    last: Map<K, Moment>,
    ttl: Duration,
    capacity: usize,
}

impl<K: Copy + Eq + Hash> Successes<K> {
    /// No successes; each shows for a time that a suspect is sound.
    pub(super) fn new(ttl: Duration, capacity: usize) -> Successes<K> {
        Successes { last: Map::default(), ttl, capacity }
    }

    /// Whether a success shows that a suspect is sound.
    pub(super) fn is_proven(&self, suspect: K, now: Moment) -> bool {
        self.last.get(&suspect).is_some_and(|success| now.since(*success) < self.ttl)
    }

    /// Whether a suspect has succeeded within `age`, at most the longest of those that it was created with.
    pub(super) fn is_recent(&self, suspect: K, age: Duration, now: Moment) -> bool {
        self.last.get(&suspect).is_some_and(|success| now.since(*success) < age)
    }

    /// Records a success; when there are too many, those that have expired go, if most have not, the older half.
    pub(super) fn record(&mut self, suspect: K, now: Moment) {
        self.last.insert(suspect, now);
        if self.last.len() <= self.capacity {
            return;
        }
        self.last.retain(|_, success| now.since(*success) < self.ttl);
        if self.last.len() <= self.capacity / 2 {
            return;
        }
        let mut times: Vec<Moment> = self.last.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.last.retain(|_, success| *success > median);
    }
}
