//! Selects the instance from which a branch is pulled.
//!
//! All instances of a data centre compute the same order of them, by hash. Each prefers instances that precede it,
//! the first of which is the relay, and then instances with replicas. A candidate that does not respond, or whose
//! declarations were not confirmed by the log recently, is skipped for a few seconds.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use settings::instance::Instance;

/// Age of the last confirmation by the log above which an upstream is skipped while another is usable.
pub const MAX_AGE: Duration = Duration::from_secs(3);
/// How long an upstream is skipped before it is tried again.
pub const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Source from which a branch is updated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The instance's own replica.
    Local,
    /// Another instance.
    Peer(name::Instance),
    /// No other instance is known.
    None,
}

/// The candidate upstreams of one branch in order of preference, and those to skip for now.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    local: bool,
    candidates: Vec<name::Instance>,
    skipped_until: Map<name::Instance, Moment>,
}

impl Selector {
    /// Makes the list of candidates of a branch for an instance.
    pub fn new(instance: &Instance, branch: &name::Branch) -> Selector {
        let own = rank(&instance.name, branch);
        let mut preceding: Vec<(u64, &str)> = instance
            .peers
            .iter()
            .filter(|peer| peer.data_centre == instance.data_centre)
            .map(|peer| (rank(&peer.name, branch), peer.name.as_str()))
            .filter(|&(rank, _)| rank < own)
            .collect();
        preceding.sort_unstable();
        let mut with_replicas: Vec<(u64, &str)> = instance
            .peers
            .iter()
            .filter(|peer| peer.replicas.contains(&branch.0))
            .map(|peer| (rank(&peer.name, branch) ^ own, peer.name.as_str()))
            .collect();
        with_replicas.sort_unstable();
        let mut candidates: Vec<name::Instance> = Vec::new();
        for (_, peer) in preceding.into_iter().chain(with_replicas) {
            let peer = name::Instance::from(peer);
            if !candidates.contains(&peer) {
                candidates.push(peer);
            }
        }
        let local = instance.replicas.iter().any(|replica| replica.branch == branch.0);
        Selector { local, candidates, skipped_until: Map::default() }
    }

    /// Number of candidates.
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Whether there are no candidates.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// The source to use now; if all candidates are skipped, the one that is due first.
    pub fn choose(&self, now: Moment) -> Upstream {
        if self.local {
            return Upstream::Local;
        }
        let usable = self.candidates.iter().find(|peer| !self.is_skipped(peer, now));
        let first_due =
            || self.candidates.iter().min_by_key(|peer| self.skipped_until.get(*peer).copied());
        usable.or_else(first_due).map_or(Upstream::None, |peer| Upstream::Peer(peer.clone()))
    }

    /// Records a response whose declarations the log confirmed `age` ago; `None` if it never did.
    pub fn record_response(&mut self, peer: &name::Instance, age: Option<Duration>, now: Moment) {
        if age.is_some_and(|age| age <= MAX_AGE) {
            self.skipped_until.remove(peer);
        } else {
            self.record_failure(peer, now);
        }
    }

    /// Records that an upstream did not respond, so that it is skipped for a while.
    pub fn record_failure(&mut self, peer: &name::Instance, now: Moment) {
        self.skipped_until.insert(peer.clone(), now + RETRY_AFTER);
    }

    fn is_skipped(&self, peer: &name::Instance, now: Moment) -> bool {
        self.skipped_until.get(peer).is_some_and(|&until| now < until)
    }
}

/// All branches of which, according to an instance's settings, it or a peer keeps a replica.
pub fn branches(instance: &Instance) -> Vec<name::Branch> {
    let own = instance.replicas.iter().map(|replica| &replica.branch);
    let others = instance.peers.iter().flat_map(|peer| &peer.replicas);
    let mut branches: Vec<name::Branch> =
        own.chain(others).map(|branch| name::Branch(branch.clone())).collect();
    branches.sort_unstable();
    branches.dedup();
    branches
}

/// Position of an instance in the order of a branch: a hash (FNV-1a), so that all instances agree on the order
/// and branches have different relays.
fn rank(instance: &str, branch: &name::Branch) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    instance
        .bytes()
        .chain(branch.0.bytes())
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
