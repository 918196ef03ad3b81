//! Summaries of capacity that data centres exchange, so that they can send each other requests.

use std::collections::BTreeMap;

use common::{clock::Moment, name, piece};
use wire::target::Phase;

use super::{DataCentre, Item, Stamp, State, Table};
use crate::{
    event::Event,
    message::{Capacity, Summary},
};

/// Maximum addresses of instances in a summary.
const MAX_ADDRESSES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Owner {
    partner: name::Partner,
    service: name::Service,
}

impl Table {
    /// Whether this instance exchanges summaries for its data centre: the one that is first by name among those alive
    /// does. Two may do so for a short time, without harm.
    pub fn is_representative(&self) -> bool {
        let own = &self.sources[&self.own].origin;
        let before = self.instances.iter().filter(|(name, instance)| {
            instance.data_centre == own.data_centre && **name < own.instance
        });
        before.into_iter().all(|(_, instance)| instance.state != State::Alive)
    }

    /// A random instance of each other data centre, to exchange summaries with.
    pub fn remote_peers(&mut self) -> Vec<name::Instance> {
        let own = self.sources[&self.own].origin.data_centre.clone();
        let mut by_data_centre: BTreeMap<name::DataCentre, Vec<name::Instance>> = BTreeMap::new();
        for (name, instance) in &self.instances {
            if instance.data_centre != own {
                by_data_centre.entry(instance.data_centre.clone()).or_default().push(name.clone());
            }
        }
        by_data_centre
            .into_values()
            .map(|mut names| names.swap_remove(self.random.below(names.len())))
            .collect()
    }

    /// Summary of the own data centre; `number` must grow with each summary.
    pub fn summary(&self, number: u64) -> Summary {
        let own = &self.sources[&self.own].origin;
        let near = self.sources.iter().filter(|(key, source)| {
            source.origin.data_centre == own.data_centre
                && (**key == self.own || self.is_alive(**key))
        });
        let mut callers: Vec<_> = near.map(|(_, source)| source.origin.callers).collect();
        callers.sort();
        callers.truncate(MAX_ADDRESSES);
        Summary {
            data_centre: own.data_centre.clone(),
            number,
            callers,
            services: self.capacities(),
        }
    }

    /// Receives another data centre's summary, which exchanges then spread within the own data centre.
    pub fn receive_summary(&mut self, summary: Summary, now: Moment) {
        let key = data_centre_key(&summary.data_centre);
        let newer =
            self.data_centres.get(&key).is_none_or(|known| summary.number > known.summary.number);
        if summary.data_centre != self.sources[&self.own].origin.data_centre && newer {
            let stamp = self.stamp(Item::Summary(key));
            self.store_summary(key, summary, stamp, now);
        }
    }

    pub(super) fn put_summary(&mut self, summary: Summary, stamp: Stamp, now: Moment) {
        let key = data_centre_key(&summary.data_centre);
        let newer =
            self.data_centres.get(&key).is_none_or(|known| summary.number > known.summary.number);
        if newer {
            self.insert(stamp, Item::Summary(key));
            self.store_summary(key, summary, stamp, now);
        }
    }

    /// When a data centre's latest summary arrived.
    pub fn summary_received_at(&self, data_centre: &name::DataCentre) -> Option<Moment> {
        self.data_centres.get(&data_centre_key(data_centre)).map(|known| known.received_at)
    }

    fn store_summary(&mut self, key: u32, summary: Summary, stamp: Stamp, received_at: Moment) {
        self.events.push_back(Event::Summary(summary.clone()));
        let old = self.data_centres.insert(key, DataCentre { summary, stamp, received_at });
        if let Some(old) = old {
            self.drop_item(old.stamp);
        }
    }

    fn capacities(&self) -> Vec<Capacity> {
        let mut by_owner: BTreeMap<Owner, Capacity> = BTreeMap::new();
        for target in self.targets() {
            let owner = Owner { partner: target.partner.clone(), service: target.service.clone() };
            let capacity = by_owner.entry(owner).or_insert_with(|| Capacity {
                partner: target.partner.clone(),
                service: target.service.clone(),
                kind: target.kind,
                models: Vec::new(),
                slots: 0,
                load: 0,
            });
            if target.phase == Phase::Ready {
                capacity.slots += target.slots;
                capacity.load += target.load.running + target.load.waiting;
                let new = target.models.iter().filter(|model| !capacity.models.contains(model));
                let new: Vec<String> = new.cloned().collect();
                capacity.models.extend(new);
            }
        }
        by_owner.into_values().collect()
    }
}

fn data_centre_key(data_centre: &name::DataCentre) -> u32 {
    u32::try_from(piece::hash(&data_centre.0) >> u32::BITS).expect("invariant: 32 bits are left")
}
