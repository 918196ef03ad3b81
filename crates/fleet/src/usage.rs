//! Usage as instances report it to each other, and as the register keeps it until the platform has accepted it.

use std::collections::{BTreeMap, BTreeSet};

use common::name;
use serde::{Deserialize, Serialize};

/// Requests that targets began, by organisation.
pub type Counts = BTreeMap<name::Organisation, u64>;

/// A process of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// Work that targets of a service began or did for a process of an entry instance, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests.
    pub requests: u64,
    /// Tokens of their prompts that had to be computed.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// What a process of an entry instance has counted. Counts only grow, so that reports may arrive in any order, late and
/// several times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The process.
    pub source: Source,
    /// True time when it counted, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
    /// Windows whose counts have changed, with all counts of each.
    pub windows: Vec<(u64, Counts)>,
    /// All services that it has sent requests to.
    pub services: Vec<(name::Service, Totals)>,
}

/// What a control instance keeps of the usage of some windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collection {
    /// Of each source those of the windows in which it has counted something.
    pub reports: Vec<Report>,
}

/// Windows whose counts are fixed. The register keeps the counts of a window until the platform has accepted them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fixed {
    /// The first window that was ever fixed; none before it is reported.
    first: Option<u64>,
    /// Windows that wait to be accepted.
    pending: BTreeMap<u64, Counts>,
    /// Windows that need no report any more, after `settled_up_to`.
    settled: BTreeSet<u64>,
    /// The last window before which, including it, none needs a report any more.
    settled_up_to: Option<u64>,
}

/// State of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Window {
    /// Its counts are fixed and not accepted yet.
    Pending(Counts),
    /// The platform has accepted them, or there were too many later ones.
    Settled,
}

impl Fixed {
    /// Most windows that wait to be accepted; the oldest is given up for another one.
    pub const MAX_PENDING: usize = 24;
    /// Most numbers of settled windows that are kept one by one.
    const MAX_SETTLED: usize = 64;

    /// Fixes the counts of a window unless they are; returns its state.
    pub fn fix(&mut self, window: u64, counts: &Counts) -> Window {
        if self.is_settled(window) {
            return Window::Settled;
        }
        self.first.get_or_insert(window);
        self.pending.entry(window).or_insert_with(|| counts.clone());
        if self.pending.len() > Fixed::MAX_PENDING
            && let Some((&oldest, _)) = self.pending.first_key_value()
        {
            self.settle(oldest);
        }
        self.pending.get(&window).cloned().map_or(Window::Settled, Window::Pending)
    }

    /// Records that a window needs no report any more.
    pub fn settle(&mut self, window: u64) {
        self.pending.remove(&window);
        if self.is_settled(window) {
            return;
        }
        self.settled.insert(window);
        while self.settled.len() > Fixed::MAX_SETTLED
            && let Some(oldest) = self.settled.pop_first()
        {
            self.settled_up_to = Some(oldest);
            self.pending = self.pending.split_off(&(oldest + 1));
        }
    }

    /// Whether a window needs no report any more.
    pub fn is_settled(&self, window: u64) -> bool {
        self.settled_up_to.is_some_and(|last| window <= last) || self.settled.contains(&window)
    }

    /// Whether the counts of a window are fixed or it needs no report any more.
    pub fn is_fixed(&self, window: u64) -> bool {
        self.pending.contains_key(&window) || self.is_settled(window)
    }

    /// The windows that wait to be accepted, the oldest first.
    pub fn pending(&self) -> &BTreeMap<u64, Counts> {
        &self.pending
    }

    /// The first window that was ever fixed.
    pub fn first(&self) -> Option<u64> {
        self.first
    }
}
