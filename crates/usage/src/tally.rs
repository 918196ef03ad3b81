//! Counts at an entry instance.

use std::collections::{BTreeMap, BTreeSet};

use common::{collections::Map, name};
use fleet::usage::{Counts, Report, Source, Totals};

/// Windows whose counts are kept; older ones have been fixed without what was not reported.
const KEPT_WINDOWS: usize = 12;

/// What this process has counted, and when it last changed.
#[derive(Clone, Debug)]
pub struct Tally {
    source: Source,
    window_ms: u64,
    /// Grows with each change.
    revision: u64,
    windows: BTreeMap<u64, Window>,
    services: Map<name::Service, Totals>,
    services_revision: u64,
}

#[derive(Clone, Debug, Default)]
struct Window {
    counts: Counts,
    revision: u64,
}

impl Tally {
    /// Creates the tally of a process that has counted nothing, for windows of a length in milliseconds.
    pub fn new(source: Source, window_ms: u64) -> Tally {
        Tally {
            source,
            window_ms: window_ms.max(1),
            revision: 0,
            windows: BTreeMap::new(),
            services: Map::default(),
            services_revision: 0,
        }
    }

    /// Counts a request that a target began at `unix_ms`, true time.
    pub fn count(&mut self, organisation: &name::Organisation, unix_ms: u64) {
        self.revision += 1;
        let window = self.windows.entry(unix_ms / self.window_ms).or_default();
        *window.counts.entry(organisation.clone()).or_default() += 1;
        window.revision = self.revision;
        while self.windows.len() > KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Adds to the demand for a service.
    pub fn add_demand(&mut self, service: &name::Service, added: Totals) {
        self.revision += 1;
        self.services_revision = self.revision;
        let totals = match self.services.get_mut(service) {
            Some(totals) => totals,
            None => self.services.entry(service.clone()).or_default(),
        };
        totals.requests += added.requests;
        totals.prompt_tokens += added.prompt_tokens;
        totals.output_tokens += added.output_tokens;
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A report with the windows that changed after a revision.
    pub fn changed_since(&self, revision: u64, unix_ms: u64) -> Report {
        let changed = self.windows.iter().filter(|(_, window)| window.revision > revision);
        let mut services: Vec<(name::Service, Totals)> =
            self.services.iter().map(|(service, totals)| (service.clone(), *totals)).collect();
        services.sort_by(|one, other| one.0.cmp(&other.0));
        Report {
            source: self.source.clone(),
            at_unix_ms: unix_ms,
            age_ms: 0,
            windows: changed.map(|(number, window)| (*number, window.counts.clone())).collect(),
            services,
        }
    }

    /// Requests counted, of all organisations and windows that are kept.
    pub fn total(&self) -> u64 {
        self.windows.values().flat_map(|window| window.counts.values()).sum()
    }

    /// The organisations that were counted in the windows that are kept.
    pub fn organisations(&self) -> BTreeSet<&name::Organisation> {
        self.windows.values().flat_map(|window| window.counts.keys()).collect()
    }
}
