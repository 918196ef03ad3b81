//! Registry of the targets, merged from their announcements and from other instances.
//!
//! Announcements may arrive late, twice and in any order. Of two announcements of one target, the one with the later
//! process start wins, then the one with the higher sequence number, so all instances converge to the same state.

use std::net::SocketAddr;

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
};
use serde::{Deserialize, Serialize};

/// Time after which an announcement that was not repeated no longer keeps an earlier target out that goes on announcing
/// itself at the same address; targets announce themselves more than three times as often.
const UNREPEATED_TTL_MS: u64 = 4_000;
/// How long lost targets and those that have left are kept, so that late announcements don't bring them back.
const GONE_RETENTION_MS: u64 = 120_000;

/// The last accepted announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Service that it runs.
    pub service: name::Service,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: name::DataCentre,
    /// Whether it takes requests.
    pub state: State,
    /// Stage of inference that an engine runs; `None` for targets without a model.
    pub stage: Option<Stage>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Start of its process, in milliseconds since the Unix epoch by its own clock.
    pub started_unix_ms: u64,
    /// Version of the software that it runs. It travels beside the other fields; see [`crate::exchange::encode_answer`].
    #[serde(skip)]
    pub software: name::Software,
    /// Whether the platform may reclaim it at any time. It travels beside the other fields, too.
    #[serde(skip)]
    pub reclaimable: bool,
    /// Sequence number of the announcement; increases with each one of the same process.
    pub sequence: u64,
}

/// Whether a target takes requests; for the same announcement, a later variant wins over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes its requests and then leaves.
    Draining,
    /// Its announcements have stopped; the next one restores it.
    Lost,
    /// It has left; only an announcement of a later process start brings it back.
    Gone,
}

/// Stage of inference that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Prefills prompts for other engines.
    Prefill,
    /// Decodes, and also prefills at a lower speed.
    Decode,
}

/// Result of merging an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Ignored: older than the known announcement, or in conflict with it.
    Stale,
    /// Accepted; nothing that requests depend on changed.
    Confirmed,
    /// Accepted; something that requests depend on changed.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Revision of the last change that requests depend on.
    changed: u64,
    /// Revision of the last announcement.
    announced: u64,
    /// Arrival of the last announcement.
    seen: Moment,
    /// Sequence number of the first announcement of its process.
    first_sequence: u64,
}

impl Entry {
    /// Whether the process has announced itself only once, some time ago.
    fn is_unrepeated(&self, now: Moment) -> bool {
        self.first_sequence == self.target.sequence
            && now.since(self.seen).as_millis() >= u128::from(UNREPEATED_TTL_MS)
    }
}

/// The known targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Map<name::Target, Entry>,
    revision: u64,
    /// Services of the configuration, and its version; `None` while it isn't known.
    declared: Option<(u64, Set<name::Service>)>,
}

impl Registry {
    /// Sets the services that a version of the configuration declares, unless a later one is known. A target of another
    /// service replaces none at its address: such an announcement names no target to use.
    pub fn set_services(
        &mut self,
        version: u64,
        services: impl IntoIterator<Item = name::Service>,
    ) {
        if self.declared.as_ref().is_none_or(|(known, _)| *known < version) {
            self.declared = Some((version, services.into_iter().collect()));
        }
    }

    /// Revision of the last change or announcement.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Advances the revision for a change outside the registry that followers need, and returns it.
    pub fn advance_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// All targets, including those that are lost or have left.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target)
    }

    /// The target with a name.
    pub fn target(&self, name: &name::Target) -> Option<&Target> {
        self.entries.get(name).map(|entry| &entry.target)
    }

    /// Targets with a change after `revision` that requests depend on.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = &Target> {
        let later = move |entry: &&Entry| entry.changed > revision;
        self.entries.values().filter(later).map(|entry| &entry.target)
    }

    /// Targets with an announcement after `revision`.
    pub fn announced_since(&self, revision: u64) -> impl Iterator<Item = &Target> {
        let later = move |entry: &&Entry| entry.announced > revision;
        self.entries.values().filter(later).map(|entry| &entry.target)
    }

    /// Whether an announcement says nothing new: it is older than the known one, or in conflict with it, or a later process
    /// has the target's address.
    pub fn is_stale(&self, target: &Target) -> bool {
        let order = |target: &Target| (target.started_unix_ms, target.sequence, target.state);
        if let Some(Entry { target: known, .. }) = self.entries.get(&target.name) {
            let same_start = known.started_unix_ms == target.started_unix_ms;
            let has_left = same_start && known.state == State::Gone;
            let conflict = same_start && identity(known) != identity(target);
            // A departure ends the process; its sequence number may be older than that of the latest announcement.
            let leaves = same_start && target.state == State::Gone;
            if has_left || conflict || (order(known) >= order(target) && !leaves) {
                return true;
            }
        }
        target.state < State::Lost && self.has_later_at_address(target)
    }

    /// The target in service that an announcement would replace, since it names its address.
    pub fn predecessor(&self, target: &Target) -> Option<&Target> {
        if self.is_stale(target) || !self.is_declared(&target.service) {
            return None;
        }
        self.targets().find(|other| {
            other.address == target.address
                && other.name != target.name
                && other.state < State::Lost
                && other.started_unix_ms <= target.started_unix_ms
        })
    }

    /// Whether a target is out of service since another one that started later has its address.
    pub fn is_replaced(&self, target: &Target) -> bool {
        target.state < State::Lost && self.has_later_at_address(target)
    }

    /// Marks the later targets at the address of one that is known to be there as lost.
    pub fn expire_later_at_address(&mut self, target: &Target, now: Moment) {
        let is_later = |other: &&Target| {
            other.address == target.address
                && other.name != target.name
                && other.state < State::Lost
                && other.started_unix_ms > target.started_unix_ms
        };
        let later: Vec<Target> = self
            .targets()
            .filter(is_later)
            .map(|other| Target { state: State::Lost, ..other.clone() })
            .collect();
        for target in later {
            self.put(target, now);
        }
    }

    /// Merges an announcement that came from the target itself.
    ///
    /// A later target at its address that has announced itself only once, some time ago, is marked as lost: a process that
    /// goes on announcing itself has not ended, and a successor would go on, too.
    pub fn announce(&mut self, target: Target, now: Moment) -> Merge {
        self.expire_unrepeated_at_address(&target, now);
        self.merge(target, now)
    }

    /// Merges an announcement that came from the target itself or from another instance.
    pub fn merge(&mut self, mut target: Target, now: Moment) -> Merge {
        if self.is_stale(&target) {
            return Merge::Stale;
        }
        if let Some(Entry { target: known, .. }) = self.entries.get(&target.name)
            && known.started_unix_ms == target.started_unix_ms
        {
            // Instances of earlier builds pass the target on without these.
            target.reclaimable |= known.reclaimable;
            if target.software.0.is_empty() {
                target.software = known.software.clone();
            }
        }
        if target.state != State::Lost && self.is_declared(&target.service) {
            self.retire_earlier_at_address(&target);
        }
        self.put(target, now)
    }

    /// Marks a target as gone.
    pub fn leave(&mut self, name: &name::Target, now: Moment) -> Merge {
        let Some(entry) = self.entries.get(name) else {
            return Merge::Stale;
        };
        if entry.target.state == State::Gone {
            return Merge::Stale;
        }
        let target = Target { state: State::Gone, ..entry.target.clone() };
        if self.is_declared(&target.service) {
            self.retire_earlier_at_address(&target);
        }
        self.put(target, now)
    }

    /// Marks targets as lost whose last announcement is from before `since`, and removes those that have been lost or
    /// gone for two minutes.
    ///
    /// Returns the targets that were marked.
    pub fn expire(&mut self, since: Moment, now: Moment) -> Vec<name::Target> {
        self.entries.retain(|_, entry| {
            entry.target.state < State::Lost
                || now.since(entry.seen).as_millis() < u128::from(GONE_RETENTION_MS)
        });
        let silent = |entry: &&Entry| entry.target.state < State::Lost && entry.seen < since;
        let lost: Vec<Target> =
            self.entries.values().filter(silent).map(|entry| entry.target.clone()).collect();
        for target in &lost {
            self.put(Target { state: State::Lost, ..target.clone() }, now);
        }
        lost.into_iter().map(|target| target.name).collect()
    }

    /// Restarts the expiry of all targets, after a time in which announcements could not reach this instance.
    pub fn mark_all_seen(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            entry.seen = now;
        }
    }

    fn put(&mut self, target: Target, now: Moment) -> Merge {
        self.revision += 1;
        let revision = self.revision;
        let known = self.entries.get(&target.name);
        let unchanged =
            known.is_some_and(|entry| routing_fields(&entry.target) == routing_fields(&target));
        let changed =
            if unchanged { known.map_or(revision, |entry| entry.changed) } else { revision };
        let name = target.name.clone();
        let same_start = |entry: &&Entry| entry.target.started_unix_ms == target.started_unix_ms;
        let first_sequence =
            known.filter(same_start).map_or(target.sequence, |entry| entry.first_sequence);
        let entry = Entry { target, changed, announced: revision, seen: now, first_sequence };
        self.entries.insert(name, entry);
        if unchanged { Merge::Confirmed } else { Merge::Changed }
    }

    /// Whether a service is known to be declared; before the first configuration none is.
    fn is_declared(&self, service: &name::Service) -> bool {
        self.declared.as_ref().is_some_and(|(_, services)| services.contains(service))
    }

    fn expire_unrepeated_at_address(&mut self, target: &Target, now: Moment) {
        let is_unrepeated = |entry: &&Entry| {
            let other = &entry.target;
            other.address == target.address
                && other.name != target.name
                && other.state < State::Lost
                && entry.is_unrepeated(now)
        };
        let unrepeated: Vec<Target> = self
            .entries
            .values()
            .filter(is_unrepeated)
            .map(|entry| Target { state: State::Lost, ..entry.target.clone() })
            .collect();
        for target in unrepeated {
            self.put(target, now);
        }
    }

    /// Whether another target that started later has the same address.
    fn has_later_at_address(&self, target: &Target) -> bool {
        self.entries.values().any(|entry| {
            let other = &entry.target;
            other.address == target.address
                && other.name != target.name
                && other.state < State::Lost
                && other.started_unix_ms > target.started_unix_ms
                && self.is_declared(&other.service)
        })
    }

    /// Marks earlier targets at the same address as lost: a new process can listen there only once they have ended. Their
    /// late announcements are stale as long as the later one is there; once it has left, they are gone.
    fn retire_earlier_at_address(&mut self, target: &Target) {
        let state = target.state.max(State::Lost);
        let earlier: Vec<name::Target> = self
            .entries
            .values()
            .map(|entry| &entry.target)
            .filter(|other| other.address == target.address && other.name != target.name)
            .filter(|other| other.state < state && other.started_unix_ms <= target.started_unix_ms)
            .map(|other| other.name.clone())
            .collect();
        for name in earlier {
            self.revision += 1;
            if let Some(entry) = self.entries.get_mut(&name) {
                entry.target.state = state;
                entry.changed = self.revision;
                entry.announced = self.revision;
            }
        }
    }
}

/// The fields that never change between the start and the end of a target's process.
fn identity(target: &Target) -> (&name::Service, SocketAddr) {
    (&target.service, target.address)
}

/// The fields that requests depend on.
fn routing_fields(
    target: &Target,
) -> (&name::Service, &name::Software, SocketAddr, State, Option<Stage>, u64, bool) {
    let Target { service, software, address, state, stage, started_unix_ms, reclaimable, .. } =
        target;
    (service, software, *address, *state, *stage, *started_unix_ms, *reclaimable)
}
