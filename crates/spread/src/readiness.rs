//! When a starting instance is ready to serve: once it has the highest versions known to be in force.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use wire::spread::Version;

use crate::view::View;

/// How long an instance with stored declarations waits for versions of its peers before it serves without them.
pub const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

/// The versions that an instance must have before it serves.
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Moment,
    branches: Vec<name::Branch>,
    /// Lowest version of each branch that the instance must have.
    required: Map<name::Branch, u64>,
    /// Whether another instance has reported any version.
    any_reported: bool,
}

impl Readiness {
    /// Makes the condition of an instance that has the versions `kept` on its disk.
    pub fn new(branches: Vec<name::Branch>, kept: &[Version], now: Moment) -> Readiness {
        let mut readiness =
            Readiness { started: now, branches, required: Map::default(), any_reported: false };
        readiness.require(kept);
        readiness
    }

    /// Records the versions that another instance has.
    pub fn record_versions(&mut self, have: &[Version]) {
        self.any_reported |= have.iter().any(|have| have.version > 0);
        self.require(have);
    }

    /// Whether an instance with this view is ready to serve.
    pub fn is_ready(&self, view: &View, now: Moment) -> bool {
        let complete = self.branches.iter().all(|branch| {
            let required = self.required.get(branch).copied().unwrap_or(0);
            view.version(branch) >= required.max(1)
        });
        let confirmed = self
            .branches
            .iter()
            .all(|branch| view.branches().get(branch).is_some_and(|held| held.confirmed.is_some()));
        complete && (confirmed || self.any_reported || now.since(self.started) >= MAX_PEER_WAIT)
    }

    fn require(&mut self, have: &[Version]) {
        for have in have {
            let required = self.required.entry(have.branch.clone()).or_default();
            *required = (*required).max(have.version);
        }
    }
}
