//! Pools of targets that can serve the same requests, and load balancing within a pool.

use std::collections::BTreeMap;

use common::{clock::Moment, collections::Map, name, piece, random::Random};
use derive_more::Display;
use slotmap::SlotMap;

use crate::{
    health, prefix,
    request::{Origin, Request, Retry, Target},
    target,
};

/// Number of candidates drawn at random. Mitzenmacher (2001) draws 2; load reports are staler here.
const SAMPLE_SIZE: usize = 4;
/// Maximum number of candidates that have the longest prefix cached.
const MAX_HOLDERS: usize = 2;
/// Number of successors on the hash ring among which rendezvous hashing decides for a prefix that no target is known
/// to have cached.
const RING_SUCCESSORS: usize = 3;
/// Fraction of the uncached tokens that is left out of the estimate of the prefix's target by rendezvous hashing: what
/// sending equal prefixes to the same target is assumed to save later.
const AFFINITY_SAVING: f64 = 0.2;

/// What all targets of a pool serve.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum Scope {
    /// Engines that serve a version of a model to a partner.
    #[display("{_0}/{_1}")]
    Model(name::Partner, String),
    /// Runners of a partner's plain service.
    #[display("{_0}/{_1}")]
    Plain(name::Partner, name::Service),
}

/// Set of target keys with insertion, removal and random draws in constant time.
#[derive(Clone, Debug, Default)]
pub struct TargetSet {
    keys: Vec<Target>,
    positions: Map<Target, usize>,
}

impl TargetSet {
    /// Adds a key.
    pub fn insert(&mut self, key: Target) {
        if !self.positions.contains_key(&key) {
            self.positions.insert(key, self.keys.len());
            self.keys.push(key);
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: Target) {
        if let Some(position) = self.positions.remove(&key) {
            self.keys.swap_remove(position);
            if let Some(moved) = self.keys.get(position) {
                self.positions.insert(*moved, position);
            }
        }
    }

    /// Whether it holds the key.
    pub fn contains(&self, key: Target) -> bool {
        self.positions.contains_key(&key)
    }

    /// All keys, in no order.
    pub fn keys(&self) -> &[Target] {
        &self.keys
    }

    /// All keys if there are at most `count`, else `count` keys drawn at random with replacement.
    pub fn sample(&self, count: usize, random: &mut Random) -> impl Iterator<Item = Target> {
        let draws = if self.keys.len() <= count { self.keys.len() } else { count };
        let all = draws == self.keys.len();
        (0..draws).map(move |at| self.keys[if all { at } else { random.below(self.keys.len()) }])
    }
}

/// Targets that can serve the same requests, by how they can be used now.
#[derive(Clone, Debug)]
pub struct Pool {
    /// What all its targets serve.
    pub scope: Scope,
    /// Targets of this data centre other than prefill engines, whether they are free or not.
    pub members: TargetSet,
    /// Members that can take a request now.
    pub free: TargetSet,
    /// Instances of other data centres that can take a request now.
    pub remote: TargetSet,
    /// Prefill engines that can take a prompt now.
    pub prefill: TargetSet,
    /// Number of requests that all members together can run at once.
    pub slots: u64,
    /// Members by the hash of their names.
    ring: BTreeMap<u64, Target>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(scope: Scope) -> Pool {
        let empty = TargetSet::default();
        Pool {
            scope,
            members: empty.clone(),
            free: empty.clone(),
            remote: empty.clone(),
            prefill: empty,
            slots: 0,
            ring: BTreeMap::new(),
        }
    }

    /// Adds a member at the ring position `hash`; it is not free until it is inserted into `free`.
    pub fn add(&mut self, key: Target, hash: u64, slots: u32) {
        self.members.insert(key);
        self.ring.insert(hash, key);
        self.slots += u64::from(slots);
    }

    /// Removes a target, whether it is a member, remote or a prefill engine.
    pub fn remove(&mut self, key: Target, hash: u64, slots: u32) {
        if self.members.contains(key) {
            self.slots -= u64::from(slots);
        }
        if self.ring.get(&hash) == Some(&key) {
            self.ring.remove(&hash);
        }
        for members in [&mut self.members, &mut self.free, &mut self.remote, &mut self.prefill] {
            members.remove(key);
        }
    }

    /// Whether a request can be sent to a member or to another data centre now.
    pub fn has_free(&self) -> bool {
        !self.free.keys.is_empty() || !self.remote.keys.is_empty()
    }
}

/// A chosen target and the estimates for the request on it.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Prompt tokens that it is expected to compute because they are not cached.
    pub uncached: u64,
    /// Expected time to the first token, in milliseconds.
    pub first_token_ms: f64,
}

/// State that a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// All targets.
    pub targets: &'a SlotMap<Target, target::Target>,
    /// Index of their prefix caches.
    pub prefixes: &'a prefix::Index,
    /// Current time.
    pub now: Moment,
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: Target,
    /// Fraction of the uncached tokens that is left out of its estimate.
    saved: f64,
}

impl From<Target> for Candidate {
    fn from(key: Target) -> Candidate {
        Candidate { key, saved: 0.0 }
    }
}

/// Chooses the target with the earliest expected first token among a random sample, targets that have the longest
/// prefix cached, and the prefix's target by rendezvous hashing if no free one has it cached.
///
/// In order: targets here, other data centres, silent targets here, targets here in `avoid` (they failed the request or
/// are silent for it), and a probed target (see `choose_probe`).
pub fn choose(
    pool: &Pool,
    request: &Request,
    avoid: &[Target],
    inputs: Inputs<'_>,
    random: &mut Random,
) -> Option<Choice> {
    let mut local = candidates(pool, request, inputs, random);
    if !avoid.is_empty() {
        local.extend(pool.free.sample(SAMPLE_SIZE * avoid.len(), random).map(Candidate::from));
    }
    let is_silent = |candidate: &Candidate| {
        inputs.targets.get(candidate.key).is_some_and(|target| target.health.is_silent(inputs.now))
    };
    let (silent, local): (Vec<_>, Vec<_>) = local.into_iter().partition(is_silent);
    best(local, request, avoid, inputs)
        .or_else(|| choose_remote(pool, request, avoid, inputs, random))
        .or_else(|| best(silent, request, avoid, inputs))
        .or_else(|| {
            let free = avoid.iter().filter(|key| pool.free.contains(**key));
            best(free.map(|key| Candidate::from(*key)).collect(), request, &[], inputs)
        })
        .or_else(|| choose_probe(pool, request, inputs, random))
}

/// Chooses a target that is being probed for a request that may not be repeated, if no member is active.
///
/// Without this, a service that only has such requests would never detect that its last target works again.
fn choose_probe(
    pool: &Pool,
    request: &Request,
    inputs: Inputs<'_>,
    random: &mut Random,
) -> Option<Choice> {
    let is_active = |key: &Target| {
        inputs.targets.get(*key).is_some_and(|target| target.health.state == health::State::Active)
    };
    if request.retry == Retry::Allowed || pool.members.keys().iter().any(is_active) {
        return None;
    }
    let key = pool.free.sample(1, random).next()?;
    evaluate(Candidate::from(key), request, inputs)
}

/// Chooses an instance of another data centre, which routes the request there; requests that another data centre has
/// sent here stay.
fn choose_remote(
    pool: &Pool,
    request: &Request,
    avoid: &[Target],
    inputs: Inputs<'_>,
    random: &mut Random,
) -> Option<Choice> {
    if request.origin == Origin::Instance {
        return None;
    }
    let remote = pool.remote.sample(SAMPLE_SIZE, random).map(Candidate::from).collect();
    best(remote, request, avoid, inputs)
}

/// Free targets of this data centre that are compared: a random sample, cache holders and the rendezvous target.
fn candidates(
    pool: &Pool,
    request: &Request,
    inputs: Inputs<'_>,
    random: &mut Random,
) -> Vec<Candidate> {
    let mut found: Vec<Candidate> =
        pool.free.sample(SAMPLE_SIZE, random).map(Candidate::from).collect();
    let matches = inputs.prefixes.longest_matches(&request.pieces, inputs.now);
    let holders = matches.map(|matched| matched.target).filter(|key| pool.free.contains(*key));
    let before = found.len();
    found.extend(holders.take(MAX_HOLDERS).map(Candidate::from));
    if found.len() == before
        && let Some(piece) = request.pieces.first()
        && let Some(key) = rendezvous_target(pool, *piece).filter(|key| pool.free.contains(*key))
    {
        found.push(Candidate { key, saved: AFFINITY_SAVING });
    }
    found
}

/// The member that is to compute a prefix which no target is known to have cached.
///
/// Rendezvous hashing among a few successors on a hash ring costs only the logarithm of the pool's size.
fn rendezvous_target(pool: &Pool, piece: u64) -> Option<Target> {
    let successors = pool.ring.range(piece..).chain(pool.ring.iter()).take(RING_SUCCESSORS);
    successors.max_by_key(|(hash, _)| prefix::rendezvous_weight(piece, **hash)).map(|(_, key)| *key)
}

fn best(
    found: Vec<Candidate>,
    request: &Request,
    avoid: &[Target],
    inputs: Inputs<'_>,
) -> Option<Choice> {
    found
        .into_iter()
        .filter(|candidate| !avoid.contains(&candidate.key))
        .filter_map(|candidate| evaluate_eligible(candidate, request, inputs))
        .min_by(|a, b| a.first_token_ms.total_cmp(&b.first_token_ms))
}

/// Estimates a candidate; `None` if the request may not be repeated and the target is not active.
fn evaluate_eligible(
    candidate: Candidate,
    request: &Request,
    inputs: Inputs<'_>,
) -> Option<Choice> {
    let target = inputs.targets.get(candidate.key)?;
    if request.retry == Retry::Never && target.health.state != health::State::Active {
        return None;
    }
    evaluate(candidate, request, inputs)
}

/// Estimates a candidate, whether it is active or being probed.
fn evaluate(candidate: Candidate, request: &Request, inputs: Inputs<'_>) -> Option<Choice> {
    let target = inputs.targets.get(candidate.key)?;
    let expected = inputs.prefixes.expected_pieces(candidate.key, &request.pieces, inputs.now);
    let cached = (expected * piece::TOKENS as f64) as u64;
    let uncached = request.prompt_tokens.saturating_sub(cached);
    let counted = (uncached as f64 * (1.0 - candidate.saved)) as u64;
    let first_token_ms = target.first_token_ms(counted, inputs.now);
    Some(Choice { target: candidate.key, uncached, first_token_ms })
}
