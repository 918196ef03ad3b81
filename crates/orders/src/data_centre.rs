//! What planner and executor read of the data centre: targets, services and demand.

use std::time::Duration;

use common::collections::Map;
use roles::pool::Pool;
use wire::{
    peer::Offered,
    target::{Announcement, Kind},
};

use crate::{
    inventory::{Engine, Inventory},
    limiter::Limits,
    planner::{self, Deployment, Process},
};

/// Drain limit of an engine whose service isn't declared.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// Limits on loads where no service is declared.
const DEFAULT_LOAD_LIMITS: Limits = Limits { at_once: 1, per_minute: 1 };

/// Gives the data centre's targets, services and demand.
pub trait View {
    /// The data centre's targets whose announcements have not expired.
    fn targets(&self) -> Vec<Announcement>;

    /// The services of the partner that owns the data centre, by the declarations in force.
    fn deployments(&self) -> Vec<Deployment>;

    /// What each instance of the data centre has counted since its start; an instance that can't be reached is left
    /// out.
    fn offered(&self) -> Vec<Counts>;
}

/// What one instance has counted since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// The instance's process.
    pub process: Process,
    /// Its counters.
    pub offered: Vec<Offered>,
}

/// The inventory of a data centre's announced engines, with the drain limits of their services.
#[derive(Clone, Debug)]
pub struct Engines<V>(pub V);

impl<V: View> Inventory for Engines<V> {
    fn engines(&self) -> Vec<Engine> {
        let drains: Map<Pool, Duration> = self
            .0
            .deployments()
            .into_iter()
            .map(|item| (item.pool, Duration::from_secs(item.service.roles.drain_s)))
            .collect();
        let engine = |target: Announcement| {
            let pool = planner::pool_of(&target);
            Engine {
                drain_limit: drains.get(&pool).copied().unwrap_or(DEFAULT_DRAIN_LIMIT),
                name: target.target,
                address: target.address,
                incarnation: target.incarnation,
                fencing: target.fencing,
            }
        };
        let targets = self.0.targets().into_iter();
        targets.filter(|target| target.kind == Kind::Engine).map(engine).collect()
    }

    /// The lowest limits among the data centre's services, since they share one weight store.
    fn load_limits(&self) -> Limits {
        let of = |item: &Deployment| Limits {
            at_once: item.service.roles.loads_at_once,
            per_minute: item.service.roles.loads_per_minute,
        };
        let lower = |a: Limits, b: Limits| Limits {
            at_once: a.at_once.min(b.at_once),
            per_minute: a.per_minute.min(b.per_minute),
        };
        self.0.deployments().iter().map(of).reduce(lower).unwrap_or(DEFAULT_LOAD_LIMITS)
    }
}
