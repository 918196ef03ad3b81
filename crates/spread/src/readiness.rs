//! When an instance that starts may serve: not before it has what was in force when it was last known.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use wire::spread::Version;

use crate::view::View;

/// How long an instance that has declarations on its disk waits for others before it serves on its own.
pub const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

/// Versions that an instance must have before it serves.
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Moment,
    branches: Vec<name::Branch>,
    least: Map<name::Branch, u64>,
    heard: bool,
}

impl Readiness {
    /// Makes the readiness of an instance that has `kept` on its disk.
    pub fn new(branches: Vec<name::Branch>, kept: &[Version], now: Moment) -> Readiness {
        let mut readiness =
            Readiness { started: now, branches, least: Map::default(), heard: false };
        readiness.raise(kept);
        readiness
    }

    /// Records what another instance has.
    pub fn record_versions(&mut self, have: &[Version]) {
        self.heard |= have.iter().any(|have| have.version > 0);
        self.raise(have);
    }

    /// Whether an instance with this view may serve.
    pub fn is_ready(&self, view: &View, now: Moment) -> bool {
        let complete = self.branches.iter().all(|branch| {
            let least = self.least.get(branch).copied().unwrap_or(0);
            view.version(branch) >= least.max(1)
        });
        let confirmed = self
            .branches
            .iter()
            .all(|branch| view.branches().get(branch).is_some_and(|held| held.confirmed.is_some()));
        complete && (confirmed || self.heard || now.since(self.started) >= MAX_PEER_WAIT)
    }

    fn raise(&mut self, have: &[Version]) {
        for have in have {
            let least = self.least.entry(have.branch.clone()).or_default();
            *least = (*least).max(have.version);
        }
    }
}
