//! From whom an instance pulls a branch.
//!
//! The instances of a data centre stand in an order that all of them compute alike. Each asks those before it, the
//! first being the relay, and the replicas after them. One that does not answer, or has not heard from the log for
//! a while, is passed over for some seconds.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use settings::instance::Instance;

/// An upstream that has heard nothing from the log for this long is passed over while another has.
pub const MAX_AGE: Duration = Duration::from_secs(3);
/// For how long an upstream is passed over.
pub const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Where a branch comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The instance's own replica.
    Local,
    /// Another instance.
    Peer(name::Instance),
    /// Nobody: there is no other instance to ask.
    None,
}

/// The upstreams of one branch, best first, with those that are passed over.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    local: bool,
    candidates: Vec<name::Instance>,
    skipped_until: Map<name::Instance, Moment>,
}

impl Selector {
    /// Orders the upstreams of a branch for an instance.
    pub fn new(instance: &Instance, branch: &name::Branch) -> Selector {
        let own = rank(&instance.name, branch);
        let mut before: Vec<(u64, &str)> = instance
            .peers
            .iter()
            .filter(|peer| peer.data_centre == instance.data_centre)
            .map(|peer| (rank(&peer.name, branch), peer.name.as_str()))
            .filter(|&(rank, _)| rank < own)
            .collect();
        before.sort_unstable();
        let mut holders: Vec<(u64, &str)> = instance
            .peers
            .iter()
            .filter(|peer| peer.replicas.contains(&branch.0))
            .map(|peer| (rank(&peer.name, branch) ^ own, peer.name.as_str()))
            .collect();
        holders.sort_unstable();
        let mut candidates: Vec<name::Instance> = Vec::new();
        for (_, peer) in before.into_iter().chain(holders) {
            let peer = name::Instance::from(peer);
            if !candidates.contains(&peer) {
                candidates.push(peer);
            }
        }
        let local = instance.replicas.iter().any(|replica| replica.branch == branch.0);
        Selector { local, candidates, skipped_until: Map::default() }
    }

    /// Number of instances to choose from.
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Whether there is no other instance to ask.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Whom to ask now.
    pub fn choose(&self, now: Moment) -> Upstream {
        if self.local {
            return Upstream::Local;
        }
        let usable = self.candidates.iter().find(|peer| !self.is_skipped(peer, now));
        let least_recent =
            || self.candidates.iter().min_by_key(|peer| self.skipped_until.get(*peer).copied());
        usable.or_else(least_recent).map_or(Upstream::None, |peer| Upstream::Peer(peer.clone()))
    }

    /// Records an answer whose news from the log are of `age`; `None` where there never were any.
    pub fn record_response(&mut self, peer: &name::Instance, age: Option<Duration>, now: Moment) {
        if age.is_some_and(|age| age <= MAX_AGE) {
            self.skipped_until.remove(peer);
        } else {
            self.record_failure(peer, now);
        }
    }

    /// Records that an upstream did not answer.
    pub fn record_failure(&mut self, peer: &name::Instance, now: Moment) {
        self.skipped_until.insert(peer.clone(), now + RETRY_AFTER);
    }

    fn is_skipped(&self, peer: &name::Instance, now: Moment) -> bool {
        self.skipped_until.get(peer).is_some_and(|&until| now < until)
    }
}

/// All branches that an instance's settings name, on its own replicas or on others'.
pub fn branches(instance: &Instance) -> Vec<name::Branch> {
    let own = instance.replicas.iter().map(|replica| &replica.branch);
    let others = instance.peers.iter().flat_map(|peer| &peer.replicas);
    let mut branches: Vec<name::Branch> =
        own.chain(others).map(|branch| name::Branch(branch.clone())).collect();
    branches.sort_unstable();
    branches.dedup();
    branches
}

/// FNV-1a, so that each branch has its own relay and all instances agree on it.
fn rank(instance: &str, branch: &name::Branch) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    instance
        .bytes()
        .chain(branch.0.bytes())
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
