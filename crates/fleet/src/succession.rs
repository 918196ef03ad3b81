//! Which processes of instances take the place of earlier ones.
//!
//! Counts that an instance keeps in memory are lost with its process. A control instance records the processes that poll it
//! and reports to a new one when the previous one last polled.

use std::{cmp::Ordering, time::Duration};

use common::{clock::Moment, collections::Map, name};
use serde::{Deserialize, Serialize};

/// Time for which processes are remembered: the longest window in which instances count.
const RETENTION: Duration = Duration::from_hours(1);

/// What a control instance knows of an earlier process of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Predecessor {
    /// There was one.
    Heard {
        /// Time since it was last heard of, in milliseconds.
        age_ms: u64,
    },
    /// None was heard of.
    Unheard {
        /// Time for which it would have been, in milliseconds.
        for_ms: u64,
    },
}

/// The processes that a control instance has heard of.
#[derive(Clone, Debug)]
pub struct Processes {
    /// Since when all are known; `None` if no earlier ones can be.
    known_since: Option<Moment>,
    instances: Map<name::Instance, Process>,
    check_at: Moment,
}

/// The newest process of an instance.
#[derive(Clone, Copy, Debug)]
struct Process {
    started_unix_ns: u64,
    seen: Moment,
    /// When the one before was last heard of.
    predecessor_seen: Option<Moment>,
}

impl Processes {
    /// Creates the memory of a control instance that has just started.
    pub fn new(now: Moment) -> Processes {
        Processes { known_since: Some(now), instances: Map::default(), check_at: now }
    }

    /// Records that the fleet has just started for the first time.
    pub fn begin(&mut self) {
        self.known_since = None;
    }

    /// Records a sign of the process of an instance that started at a time, in nanoseconds since the Unix epoch by its
    /// clock.
    pub fn hear(
        &mut self,
        instance: &name::Instance,
        started_unix_ns: u64,
        now: Moment,
    ) -> Predecessor {
        if now >= self.check_at {
            self.instances.retain(|_, process| now.since(process.seen) < RETENTION);
            self.check_at = now + RETENTION;
        }
        let new = Process { started_unix_ns, seen: now, predecessor_seen: None };
        let known = self.instances.entry(instance.clone()).or_insert(new);
        match started_unix_ns.cmp(&known.started_unix_ns) {
            // A process may still be heard of once the next one has started.
            Ordering::Less => known.predecessor_seen = Some(now),
            Ordering::Equal => known.seen = now,
            Ordering::Greater => *known = Process { predecessor_seen: Some(known.seen), ..new },
        }
        let predecessor_seen = known.predecessor_seen;
        let ms = |since: Moment| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        match predecessor_seen {
            Some(seen) => Predecessor::Heard { age_ms: ms(seen) },
            None => Predecessor::Unheard { for_ms: self.known_since.map_or(u64::MAX, ms) },
        }
    }
}

/// Reports of control instances about an earlier process of this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Shortest time since an earlier process was heard of.
    heard: Option<Duration>,
    /// Longest time for which none was.
    unheard: Option<Duration>,
}

impl Evidence {
    /// Adds the report of a control instance.
    pub fn add(&mut self, predecessor: Predecessor) {
        match predecessor {
            Predecessor::Heard { age_ms } => {
                let age = Duration::from_millis(age_ms);
                self.heard = Some(self.heard.map_or(age, |heard| heard.min(age)));
            }
            Predecessor::Unheard { for_ms } => {
                self.unheard = self.unheard.max(Some(Duration::from_millis(for_ms)));
            }
        }
    }

    /// Whether no earlier process ran within `window` before this one asked: one control instance at least would know, and
    /// none knows of one.
    pub fn excludes(&self, window: Duration) -> bool {
        let is_known = self.heard.max(self.unheard).is_some_and(|time| time >= window);
        is_known && self.heard.is_none_or(|age| age >= window)
    }
}
