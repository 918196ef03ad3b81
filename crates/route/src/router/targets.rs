//! Targets: what they announce, which pools they belong to and whether they are free.

use common::{clock::Moment, name, piece, role::Role};
use wire::target::{Announcement, Kind, Load, Phase};

use super::{Due, Owner, Router};
use crate::{
    health, pool,
    request::{self, Event},
    target,
};

impl Router {
    /// Takes in an announcement that the membership table took as newer than the last one.
    pub fn handle_announcement(&mut self, announcement: &Announcement, now: Moment) {
        let description = target::Description::from_announcement(announcement);
        let key = self.upsert_target(description, &announcement.load, now);
        for event in &announcement.cache_events {
            self.prefixes.apply_event(key, event, now);
        }
    }

    /// Takes in a target without cache events, such as another data centre's instance.
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
        let known = &self.targets[key].description;
        if known.incarnation != description.incarnation {
            self.restarted(key);
        }
        let known = &self.targets[key].description;
        if known.serves_same_requests(&description) && known.slots == description.slots {
            self.targets[key].description = description;
        } else {
            self.leave_pools(key);
            self.targets[key].description = description;
            self.join_pools(key);
        }
        self.targets[key].update_load(load, now);
        self.refresh(key, now);
        self.dispatch_waiting(now);
        key
    }

    /// Forgets a target whose lease has ended; its running attempts end by themselves.
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

    /// Takes in how many requests the data centre's other instances have on a target.
    pub fn set_peer_outstanding(&mut self, name: &name::Target, outstanding: u32, now: Moment) {
        if let Some(key) = self.target_names.get(name).copied() {
            self.targets[key].set_peer_outstanding(outstanding, now);
            self.refresh(key, now);
        }
    }

    /// Load that a target is expected to have now.
    pub fn load_of(&self, name: &name::Target, now: Moment) -> Option<u32> {
        let key = self.target_names.get(name)?;
        self.targets.get(*key).map(|target| target.load(now))
    }

    /// Own requests that run on a target.
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

    /// Brings the pools up to date with whether a target is free.
    pub(super) fn refresh(&mut self, key: request::Target, now: Moment) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&owner(&target.description)) {
            target.health.tick(group, now);
        }
        let free = target.is_free(now);
        let again = match target.health.state {
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
        if let Some(at) = again
            && self.refreshes.get(key) != Some(&at)
        {
            self.refreshes.insert(key, at);
            self.schedule(at, Due::Refresh(key));
        }
    }

    /// Records what an attempt showed about its target's health.
    pub(super) fn judge(&mut self, key: request::Target, event: Event, now: Moment) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let group = self.groups.entry(owner(&target.description)).or_default();
        match event {
            Event::Unsent | Event::Broken => target.health.record_failure(group, now),
            Event::Full | Event::Unavailable => target.record_full(now),
            Event::Started | Event::Finished => {}
        }
    }

    /// Works out the pools of every target anew.
    pub(super) fn reassign_all(&mut self) {
        let keys: Vec<request::Target> = self.targets.keys().collect();
        for key in keys {
            self.leave_pools(key);
            self.join_pools(key);
            self.refresh(key, self.targets[key].last_report());
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

    fn restarted(&mut self, key: request::Target) {
        self.prefixes.remove_target(key);
        let target = &mut self.targets[key];
        if let Some(group) = self.groups.get_mut(&owner(&target.description)) {
            target.health.reset(group);
        }
    }

    fn join_pools(&mut self, key: request::Target) {
        let description = &self.targets[key].description;
        let fits = |pool: &&request::Pool| self.serves(description, &self.pools[**pool].scope);
        let pools: Vec<request::Pool> = self.scopes.values().filter(fits).copied().collect();
        let whole = description.distance.is_zero() && !is_prefill(description);
        let slots = description.slots;
        let hash = ring_hash(description);
        if whole && description.phase == Phase::Ready {
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

    fn serves(&self, description: &target::Description, scope: &pool::Scope) -> bool {
        match scope {
            pool::Scope::Model(partner, version) => {
                description.kind == Kind::Engine
                    && description.models.contains(version)
                    && (description.partner == *partner || self.lends(&owner(description), partner))
            }
            pool::Scope::Plain(partner, service) => {
                description.kind == Kind::Plain
                    && description.partner == *partner
                    && description.service == *service
            }
        }
    }
}

pub(super) fn owner(description: &target::Description) -> Owner {
    Owner { partner: description.partner.clone(), service: description.service.clone() }
}

fn is_prefill(description: &target::Description) -> bool {
    description.kind == Kind::Engine && description.role == Role::Prefill
}

fn ring_hash(description: &target::Description) -> u64 {
    piece::hash(&description.name.0)
}
