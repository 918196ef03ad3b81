//! The targets of the fleet with what is believed of their load, and the choice among them.
//!
//! Answers loads in which a few hundred parts of prompts are asked for again and again: a request goes where its
//! first token is predicted to come soonest, and tokens that must be computed again weigh more than their time,
//! since they also delay what comes after them.

mod choice;
mod notices;
pub mod selection;

use std::net::SocketAddr;

use common::{clock::Moment, collections::Map, name, random::Random};
use fleet::{
    config,
    registry::{State, Target},
};
use slotmap::{SlotMap, new_key_type};

use crate::{
    backlog::Backlog,
    cache::Cache,
    health::{Availability, Health, Outcome},
    speed::Speed,
};

new_key_type! {
    /// A target on the balancer.
    pub struct Key;
}
/// A target with what is believed of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// As it announced itself.
    pub target: Target,
    backlog: Backlog,
    cache: Cache,
    speed: Speed,
    health: Health,
    /// Whether it is about to change what it does.
    changing: bool,
}

/// The targets of the fleet.
#[derive(Debug)]
pub struct Balancer {
    data_centre: name::DataCentre,
    entries: SlotMap<Key, Entry>,
    names: Map<name::Target, Key>,
    engines: Map<name::Service, config::Engine>,
    /// Prompts by number.
    prompts: Map<u64, notices::Prompt>,
    random: Random,
}

impl Balancer {
    /// A balancer of an instance in a data centre; `seed` decides between equals.
    pub fn new(data_centre: name::DataCentre, seed: u64) -> Balancer {
        Balancer {
            data_centre,
            entries: SlotMap::with_key(),
            names: Map::default(),
            engines: Map::default(),
            prompts: Map::default(),
            random: Random::new(seed),
        }
    }

    /// Takes in what the engines of each service offer.
    pub fn configure(&mut self, config: &config::Config) {
        let engine = |service: &config::Service| Some((service.name.clone(), service.engine?));
        self.engines = config.services.iter().filter_map(engine).collect();
        for entry in self.entries.values_mut() {
            // Targets may be known before the configuration is.
            if let Some(engine) = self.engines.get(&entry.target.service) {
                entry.cache.resize(engine.kv_tokens);
            }
        }
    }

    /// Takes in what is known of a target.
    pub fn update(&mut self, target: &Target) {
        let known = self.names.get(&target.name).copied();
        if target.state >= State::Lost {
            if let Some(key) = known {
                self.names.remove(&target.name);
                self.entries.remove(key);
            }
            return;
        }
        let restarted = |entry: &Entry| entry.target.started_unix_ms != target.started_unix_ms;
        match known.and_then(|key| self.entries.get_mut(key)) {
            Some(entry) if !restarted(entry) => entry.target = target.clone(),
            _ => {
                let tokens = self.engines.get(&target.service).map_or(0, |engine| engine.kv_tokens);
                let entry = Entry {
                    target: target.clone(),
                    backlog: Backlog::default(),
                    cache: Cache::new(tokens),
                    speed: Speed::default(),
                    health: Health::default(),
                    changing: false,
                };
                if let Some(key) = known {
                    self.entries.remove(key);
                }
                let key = self.entries.insert(entry);
                self.names.insert(target.name.clone(), key);
            }
        }
    }

    /// Takes in which engines change what they do; they get no new work until then.
    pub fn set_changing(&mut self, targets: &[name::Target]) {
        for entry in self.entries.values_mut() {
            entry.changing = targets.contains(&entry.target.name);
        }
    }

    /// A target on the balancer.
    pub fn entry(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Where a target takes calls.
    pub fn address(&self, target: &name::Target) -> Option<SocketAddr> {
        let key = self.names.get(target)?;
        Some(self.entries.get(*key)?.target.address)
    }

    /// Targets on the balancer.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether each target is used now.
    pub fn availabilities(&self, now: Moment) -> Vec<Availability> {
        self.entries.values().map(|entry| entry.health.availability(now)).collect()
    }

    /// Whether a service has a target that takes work.
    pub fn serves(&self, service: &name::Service) -> bool {
        let ready = |entry: &Entry| entry.target.state == State::Ready;
        self.entries.values().any(|entry| entry.target.service == *service && ready(entry))
    }

    /// Counts an own request at another target than it was planned for.
    pub fn redirect(&mut self, from: Key, to: Key, now: Moment) {
        self.complete_request(from);
        if let Some(entry) = self.entries.get_mut(to) {
            entry.backlog.add_request();
            entry.health.record_sent(now);
        }
    }

    /// Takes in that an own request has ended at its target.
    pub fn complete_request(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.backlog.complete_request();
        }
    }

    /// Takes in that a connection to a target was made again.
    pub fn record_connected(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.health.record_connected();
        }
    }

    /// Takes in how an exchange went; returns whether the target is left out from now on.
    pub fn record_outcome(&mut self, key: Key, outcome: Outcome, now: Moment) -> bool {
        let Some(service) = self.entries.get(key).map(|entry| entry.target.service.clone()) else {
            return false;
        };
        let service_rate = self.median_failure_rate(&service);
        let entry = &mut self.entries[key];
        entry.health.record_outcome(outcome, service_rate, now)
    }

    /// Median share of failures among the targets of a service.
    fn median_failure_rate(&self, service: &name::Service) -> f64 {
        let mut rates: Vec<f64> = self
            .entries
            .values()
            .filter(|entry| entry.target.service == *service)
            .map(|entry| entry.health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or_default()
    }
}
