//! Capacity of services whose number of targets is planned, as the register keeps it.

use std::collections::BTreeMap;

use common::name;
use serde::{Deserialize, Serialize};

/// Number of targets that a service had before any were ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Limits of the configuration under which it was found; under others it is found again.
    pub limits: Limits,
    /// Number of targets in each data centre.
    pub targets: BTreeMap<name::DataCentre, u32>,
}

/// Limits on the number of targets in each data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Least number.
    pub min: u32,
    /// Largest number.
    pub max: u32,
}

/// Capacities by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacities(BTreeMap<name::Service, Capacity>);

impl Capacities {
    /// Records what a holder has found. Under the same limits a capacity only grows, since targets that announce
    /// themselves late belong to it.
    pub fn record(&mut self, service: &name::Service, found: &Capacity) {
        let known = self.0.entry(service.clone()).or_default();
        if known.limits != found.limits {
            known.clone_from(found);
            return;
        }
        for (data_centre, targets) in &found.targets {
            let held = known.targets.entry(data_centre.clone()).or_default();
            *held = (*held).max(*targets);
        }
    }

    /// The capacity of a service that was found under these limits.
    pub fn get(&self, service: &name::Service, limits: Limits) -> Option<&Capacity> {
        self.0.get(service).filter(|capacity| capacity.limits == limits)
    }
}
