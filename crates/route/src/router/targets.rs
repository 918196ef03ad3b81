//! Targets: their announcements, the pools that they belong to, and whether they are free.

use common::{clock::Moment, name, piece, role::Role};
use wire::target::{Announcement, Kind, Load, Phase};

use super::{Owner, Router, Task};
use crate::{
    health, pool,
    request::{self, Event},
    target,
};

impl Router {
    /// Applies a target's announcement, which must be newer than the last one, as the membership table ensures.
    pub fn handle_announcement(&mut self, announcement: &Announcement, now: Moment) {
        let description = target::Description::from_announcement(announcement);
        let key = self.upsert_target(description, &announcement.load, now);
        for event in &announcement.cache_events {
            self.prefixes.apply_event(key, event, now);
        }
    }

    /// Adds or updates a target by its name; also for targets that don't announce themselves, such as instances of
    /// other data centres.
    ///
    /// A new incarnation clears the target's health and prefix cache.
    pub fn upsert_target(
        &mut self,
        description: target::Description,
        load: &Load,
        now: Moment,
    ) -> request::Target {
        let key = match self.target_names.get(&description.name) {
            Some(key) => *key,
            None => self.add_target(description.clone()),
        };
        let current = &self.targets[key].description;
        if current.incarnation != description.incarnation {
            self.reset_target(key);
        }
        let current = &self.targets[key].description;
        if current.serves_same_requests(&description) && current.slots == description.slots {
            self.targets[key].description = description;
        } else {
            self.leave_pools(key);
            self.targets[key].description = description;
            self.join_pools(key);
        }
        self.targets[key].update_load(load, now);
        self.update_availability(key, now);
        self.dispatch_waiting(now);
        key
    }

    /// Removes a target whose lease has ended. Its running attempts are not cancelled.
    pub fn remove_target(&mut self, name: &name::Target) {
        let Some(key) = self.target_names.remove(name) else {
            return;
        };
        self.leave_pools(key);
        self.prefixes.remove_target(key);
        let Some(mut target) = self.targets.remove(key) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&owner(&target.description)) {
            target.health.reset(group);
            group.members = group.members.saturating_sub(1);
        }
    }

    /// Sets the number of requests that the data centre's other instances have running on a target.
    pub fn set_peer_outstanding(&mut self, name: &name::Target, outstanding: u32, now: Moment) {
        if let Some(key) = self.target_names.get(name).copied() {
            self.targets[key].set_peer_outstanding(outstanding, now);
            self.update_availability(key, now);
        }
    }

    /// Expected number of requests that are running or waiting on a target now; `None` if the target is unknown.
    pub fn load_of(&self, name: &name::Target, now: Moment) -> Option<u32> {
        let key = self.target_names.get(name)?;
        self.targets.get(*key).map(|target| target.load(now))
    }

    /// Number of requests of this instance that are running on a target.
    pub fn outstanding_on(&self, name: &name::Target) -> u32 {
        let key = self.target_names.get(name);
        key.and_then(|key| self.targets.get(*key)).map_or(0, |target| target.outstanding)
    }

    /// Whether a target is ejected now.
    pub fn is_ejected(&self, name: &name::Target) -> bool {
        let key = self.target_names.get(name);
        let target = key.and_then(|key| self.targets.get(*key));
        target.is_some_and(|target| matches!(target.health.state, health::State::Ejected(_)))
    }

    /// Adds a target to the free members of its pools or removes it, and sets a timer for when that may change.
    pub(super) fn update_availability(&mut self, key: request::Target, now: Moment) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&owner(&target.description)) {
            target.health.tick(group, now);
        }
        let free = target.is_free(now);
        let recheck_at = match target.health.state {
            health::State::Ejected(until) => Some(until),
            _ => target.full_until(now).or_else(|| target.prompt_queue_full_until(now)),
        };
        let remote = !target.description.distance.is_zero();
        let prefill = is_prefill(&target.description);
        for pool in &target.pools {
            let pool = &mut self.pools[*pool];
            let members = match (remote, prefill) {
                (true, _) => &mut pool.remote,
                (false, true) => &mut pool.prefill,
                (false, false) => &mut pool.free,
            };
            if free { members.insert(key) } else { members.remove(key) }
        }
        if let Some(at) = recheck_at
            && self.availability_checks.get(key) != Some(&at)
        {
            self.availability_checks.insert(key, at);
            self.set_timer(at, Task::UpdateAvailability(key));
        }
    }

    /// Records the outcome of an attempt in the state of its target.
    pub(super) fn record_outcome(&mut self, key: request::Target, event: Event, now: Moment) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let group = self.groups.entry(owner(&target.description)).or_default();
        match event {
            Event::Unsent | Event::Broken => target.health.record_failure(group, now),
            Event::Full | Event::Unavailable => target.record_full(now),
            Event::Silent => target.health.record_silence(now),
            Event::Started | Event::Resumed | Event::Finished => target.health.record_progress(),
        }
    }

    /// Recomputes the pools of every target.
    pub(super) fn reassign_pools(&mut self) {
        let keys: Vec<request::Target> = self.targets.keys().collect();
        for key in keys {
            self.leave_pools(key);
            self.join_pools(key);
            self.update_availability(key, self.targets[key].last_report());
        }
    }

    fn add_target(&mut self, description: target::Description) -> request::Target {
        let name = description.name.clone();
        let group = self.groups.entry(owner(&description)).or_default();
        group.members += 1;
        let key = self.targets.insert(target::Target::new(description));
        self.target_names.insert(name, key);
        self.join_pools(key);
        key
    }

    /// Clears the health and the prefix cache of a target whose process has restarted.
    fn reset_target(&mut self, key: request::Target) {
        self.prefixes.remove_target(key);
        let target = &mut self.targets[key];
        if let Some(group) = self.groups.get_mut(&owner(&target.description)) {
            target.health.reset(group);
        }
    }

    /// Adds a target to the pools that it serves; as a member if it is ready and takes whole requests here.
    fn join_pools(&mut self, key: request::Target) {
        let description = &self.targets[key].description;
        let is_served = |pool: &&request::Pool| self.serves(description, &self.pools[**pool].scope);
        let pools: Vec<request::Pool> = self.scopes.values().filter(is_served).copied().collect();
        let takes_whole_requests = description.distance.is_zero() && !is_prefill(description);
        let slots = description.slots;
        let hash = ring_hash(description);
        if takes_whole_requests && description.phase == Phase::Ready {
            for pool in &pools {
                self.pools[*pool].add(key, hash, slots);
            }
        }
        self.targets[key].pools = pools;
    }

    fn leave_pools(&mut self, key: request::Target) {
        let pools = std::mem::take(&mut self.targets[key].pools);
        let description = &self.targets[key].description;
        let hash = ring_hash(description);
        for pool in pools {
            self.pools[pool].remove(key, hash, description.slots);
        }
    }

    /// Whether a target serves the requests of a pool: engines by model version, also for partners that they are lent
    /// to, runners by service.
    fn serves(&self, description: &target::Description, scope: &pool::Scope) -> bool {
        match scope {
            pool::Scope::Model(partner, version) => {
                description.kind == Kind::Engine
                    && description.models.contains(version)
                    && (description.partner == *partner
                        || self.lends_to(&owner(description), partner))
            }
            pool::Scope::Plain(partner, service) => {
                description.kind == Kind::Plain
                    && description.partner == *partner
                    && description.service == *service
            }
        }
    }
}

/// The service that a target belongs to.
pub(super) fn owner(description: &target::Description) -> Owner {
    Owner { partner: description.partner.clone(), service: description.service.clone() }
}

fn is_prefill(description: &target::Description) -> bool {
    description.kind == Kind::Engine && description.role == Role::Prefill
}

/// Position of a target on the hash rings of its pools.
fn ring_hash(description: &target::Description) -> u64 {
    piece::hash(&description.name.0)
}
