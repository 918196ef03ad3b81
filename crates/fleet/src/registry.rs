//! Targets as they announce themselves, merged from any number of instances.
//!
//! Announcements may come late, twice and in any order. Of one target the one with the latest start and then the
//! highest sequence number counts, so that all instances arrive at the same state.

use std::net::SocketAddr;

use common::{clock::Moment, collections::Map, name};
use serde::{Deserialize, Serialize};

/// How long targets that have gone are remembered, so that late announcements don't bring them back.
const GONE_MEMORY_MS: u64 = 120_000;

/// What is known of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub name: name::Target,
    /// Its service.
    pub service: name::Service,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Whether it takes work.
    pub state: State,
    /// What an engine does; nothing for plain services.
    pub stage: Option<Stage>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// When its process started, in milliseconds since the Unix epoch by its own clock.
    pub started_unix_ms: u64,
    /// Grows with each announcement of the same start.
    pub sequence: u64,
}

/// Whether a target takes work; a later state wins over an earlier one of the same announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes its work and then leaves.
    Draining,
    /// It was not heard from for long; its next announcement brings it back.
    Lost,
    /// It has left; only a later start brings it back.
    Gone,
}

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Computes prompts for others.
    Prefill,
    /// Generates, and computes prompts at a lower speed.
    Decode,
}

/// What merging an announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Nothing: older than what is known, or in conflict with it.
    Stale,
    /// It confirmed what is known.
    Confirmed,
    /// Something that matters to the request path changed.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Revision of the last change that matters to the request path.
    changed: u64,
    /// Revision of the last announcement.
    announced: u64,
    seen: Moment,
}

/// The targets known.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Map<name::Target, Entry>,
    revision: u64,
}

impl Registry {
    /// Number of the last change or announcement.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a change outside the registry that instances have to hear of, and returns the revision.
    pub fn advance_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// All targets, those that have gone included.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target)
    }

    /// The target of this name.
    pub fn target(&self, name: &name::Target) -> Option<&Target> {
        self.entries.get(name).map(|entry| &entry.target)
    }

    /// Targets that changed after a revision, in what matters to the request path.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = &Target> {
        let later = move |entry: &&Entry| entry.changed > revision;
        self.entries.values().filter(later).map(|entry| &entry.target)
    }

    /// Targets that were heard from after a revision.
    pub fn announced_since(&self, revision: u64) -> impl Iterator<Item = &Target> {
        let later = move |entry: &&Entry| entry.announced > revision;
        self.entries.values().filter(later).map(|entry| &entry.target)
    }

    /// Takes in what a target or another instance says.
    pub fn merge(&mut self, target: Target, now: Moment) -> Merge {
        let order = |target: &Target| (target.started_unix_ms, target.sequence, target.state);
        if let Some(entry) = self.entries.get(&target.name) {
            let known = &entry.target;
            let same_start = known.started_unix_ms == target.started_unix_ms;
            let gone = same_start && known.state == State::Gone;
            let conflict = same_start && identity(known) != identity(&target);
            if gone || conflict || order(known) >= order(&target) {
                return Merge::Stale;
            }
        }
        if target.state < State::Lost && self.is_address_of_later(&target) {
            return Merge::Stale;
        }
        self.retire_address(&target);
        self.put(target, now)
    }

    /// Notes that a target has left.
    pub fn leave(&mut self, name: &name::Target, now: Moment) -> Merge {
        let Some(entry) = self.entries.get(name) else {
            return Merge::Stale;
        };
        let target = Target { state: State::Gone, ..entry.target.clone() };
        if entry.target.state == State::Gone { Merge::Stale } else { self.put(target, now) }
    }

    /// Marks targets as lost that were not heard from since a moment, and forgets those that went long ago.
    ///
    /// Returns the targets marked.
    pub fn expire(&mut self, since: Moment, now: Moment) -> Vec<name::Target> {
        self.entries.retain(|_, entry| {
            entry.target.state < State::Lost
                || now.since(entry.seen).as_millis() < u128::from(GONE_MEMORY_MS)
        });
        let silent = |entry: &&Entry| entry.target.state < State::Lost && entry.seen < since;
        let lost: Vec<Target> =
            self.entries.values().filter(silent).map(|entry| entry.target.clone()).collect();
        for target in &lost {
            self.put(Target { state: State::Lost, ..target.clone() }, now);
        }
        lost.into_iter().map(|target| target.name).collect()
    }

    /// Counts all targets as heard from now, after a time in which this instance could not hear them.
    pub fn mark_all_seen(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            entry.seen = now;
        }
    }

    fn put(&mut self, target: Target, now: Moment) -> Merge {
        self.revision += 1;
        let revision = self.revision;
        let known = self.entries.get(&target.name);
        let same = known.is_some_and(|entry| view(&entry.target) == view(&target));
        let changed = if same { known.map_or(revision, |entry| entry.changed) } else { revision };
        let name = target.name.clone();
        self.entries.insert(name, Entry { target, changed, announced: revision, seen: now });
        if same { Merge::Confirmed } else { Merge::Changed }
    }

    /// Whether a target that started later holds the address.
    fn is_address_of_later(&self, target: &Target) -> bool {
        self.entries.values().any(|entry| {
            let other = &entry.target;
            other.address == target.address
                && other.name != target.name
                && other.state < State::Lost
                && other.started_unix_ms > target.started_unix_ms
        })
    }

    /// A target that starts at the address of an earlier one shows that the earlier one has ended.
    fn retire_address(&mut self, target: &Target) {
        let earlier: Vec<name::Target> = self
            .entries
            .values()
            .map(|entry| &entry.target)
            .filter(|other| other.address == target.address && other.name != target.name)
            .filter(|other| {
                other.state < State::Gone && other.started_unix_ms <= target.started_unix_ms
            })
            .map(|other| other.name.clone())
            .collect();
        for name in earlier {
            self.revision += 1;
            if let Some(entry) = self.entries.get_mut(&name) {
                entry.target.state = State::Gone;
                entry.changed = self.revision;
                entry.announced = self.revision;
            }
        }
    }
}

/// What never changes between a target's start and its end.
fn identity(target: &Target) -> (&name::Service, SocketAddr) {
    (&target.service, target.address)
}

/// What matters to the request path.
fn view(target: &Target) -> (&name::Service, SocketAddr, State, Option<Stage>, u64) {
    (&target.service, target.address, target.state, target.stage, target.started_unix_ms)
}
