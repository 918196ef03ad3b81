//! Targets that can serve the same requests, and the choice among them.

use std::collections::BTreeMap;

use common::{clock::Moment, collections::Map, name, piece, random::Random};
use derive_more::Display;
use slotmap::SlotMap;

use crate::{
    health, prefix,
    request::{Origin, Repeat, Request, Target},
    target,
};

/// Candidates drawn at random (Mitzenmacher 2001 takes 2; reports here are staler).
const SAMPLE: usize = 4;
/// Holders of the longest prefix that are weighed.
const HOLDERS: usize = 2;
/// Neighbours on the ring that rendezvous hashing weighs for a prefix nobody is known to hold.
const RING_NEIGHBOURS: usize = 3;
/// Part of a prompt's computation that sending equal prefixes to one target is taken to save later.
const AFFINITY: f64 = 0.2;

/// What the targets of a pool have in common.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum Scope {
    /// Engines that serve a version of a model to a partner.
    #[display("{_0}/{_1}")]
    Model(name::Partner, String),
    /// Runners of a plain service.
    #[display("{_0}/{_1}")]
    Plain(name::Partner, name::Service),
}

/// Keys that can be drawn at random, added and removed in constant time.
#[derive(Clone, Debug, Default)]
pub struct Members {
    keys: Vec<Target>,
    positions: Map<Target, usize>,
}

impl Members {
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

    /// Up to `count` keys drawn at random, with repeats.
    pub fn sample(&self, count: usize, random: &mut Random) -> impl Iterator<Item = Target> {
        let draws = if self.keys.len() <= count { self.keys.len() } else { count };
        let all = draws == self.keys.len();
        (0..draws).map(move |at| self.keys[if all { at } else { random.below(self.keys.len()) }])
    }
}

/// A pool.
#[derive(Clone, Debug)]
pub struct Pool {
    /// What its targets have in common.
    pub scope: Scope,
    /// Targets of this data centre that take whole requests, full or not.
    pub members: Members,
    /// Those of them that can be given a request now.
    pub free: Members,
    /// Instances of other data centres that can be given a request now.
    pub remote: Members,
    /// Prefill engines that can be given a prompt now.
    pub prefill: Members,
    /// Requests that the members run at once.
    pub slots: u64,
    ring: BTreeMap<u64, Target>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(scope: Scope) -> Pool {
        let none = Members::default();
        Pool {
            scope,
            members: none.clone(),
            free: none.clone(),
            remote: none.clone(),
            prefill: none,
            slots: 0,
            ring: BTreeMap::new(),
        }
    }

    /// Adds a member that is not known to be free.
    pub fn add(&mut self, key: Target, hash: u64, slots: u32) {
        self.members.insert(key);
        self.ring.insert(hash, key);
        self.slots += u64::from(slots);
    }

    /// Removes a target altogether.
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

    /// Whether a request can be sent now.
    pub fn has_free(&self) -> bool {
        !self.free.keys.is_empty() || !self.remote.keys.is_empty()
    }
}

/// A target and what is expected of it.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Prompt tokens that it has to compute.
    pub uncached: u64,
    /// Expected time to the first token, in milliseconds.
    pub first_token_ms: f64,
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All targets.
    pub targets: &'a SlotMap<Target, target::Target>,
    /// Knowledge of their caches.
    pub prefixes: &'a prefix::Index,
    /// The time.
    pub now: Moment,
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: Target,
    /// Part of the prompt's computation that is not counted against it.
    saved: f64,
}

impl From<Target> for Candidate {
    fn from(key: Target) -> Candidate {
        Candidate { key, saved: 0.0 }
    }
}

/// Chooses the target with the earliest expected first token among a random sample, the holders of the
/// longest prefix and the prefix's rendezvous target; other data centres only join when none here is free.
/// Targets to `avoid` are those that have failed the request before; they come last.
pub fn choose(
    pool: &Pool,
    request: &Request,
    avoid: &[Target],
    view: View<'_>,
    random: &mut Random,
) -> Option<Choice> {
    let mut near = candidates(pool, request, view, random);
    if !avoid.is_empty() {
        near.extend(pool.free.sample(SAMPLE * avoid.len(), random).map(Candidate::from));
    }
    best(near, request, avoid, view)
        .or_else(|| spill(pool, request, avoid, view, random))
        .or_else(|| {
            let free = avoid.iter().filter(|key| pool.free.contains(**key));
            best(free.map(|key| Candidate::from(*key)).collect(), request, &[], view)
        })
        .or_else(|| probe(pool, request, view, random))
}

/// Chooses a target on probation for a request that may not be repeated, where no other one is left.
///
/// Without this, a service whose calls may not be repeated would never find out that its last target works again.
fn probe(pool: &Pool, request: &Request, view: View<'_>, random: &mut Random) -> Option<Choice> {
    let is_proven = |key: &Target| {
        view.targets.get(*key).is_some_and(|target| target.health.state == health::State::Active)
    };
    if request.repeat == Repeat::Allowed || pool.members.keys().iter().any(is_proven) {
        return None;
    }
    let key = pool.free.sample(1, random).next()?;
    weigh_any(Candidate::from(key), request, view)
}

/// Chooses an instance of another data centre, which routes the request there.
fn spill(
    pool: &Pool,
    request: &Request,
    avoid: &[Target],
    view: View<'_>,
    random: &mut Random,
) -> Option<Choice> {
    if request.origin == Origin::Instance {
        return None;
    }
    let far = pool.remote.sample(SAMPLE, random).map(Candidate::from).collect();
    best(far, request, avoid, view)
}

fn candidates(
    pool: &Pool,
    request: &Request,
    view: View<'_>,
    random: &mut Random,
) -> Vec<Candidate> {
    let mut found: Vec<Candidate> = pool.free.sample(SAMPLE, random).map(Candidate::from).collect();
    let held = view.prefixes.longest_matches(&request.pieces, view.now);
    let holders = held.map(|held| held.target).filter(|key| pool.free.contains(*key));
    let before = found.len();
    found.extend(holders.take(HOLDERS).map(Candidate::from));
    if found.len() == before
        && let Some(piece) = request.pieces.first()
        && let Some(key) = rendezvous(pool, *piece).filter(|key| pool.free.contains(*key))
    {
        found.push(Candidate { key, saved: AFFINITY });
    }
    found
}

/// The member that a prefix which nobody is known to hold belongs to.
///
/// Rendezvous hashing among a few neighbours on a ring, so that its cost grows with the logarithm of the pool.
fn rendezvous(pool: &Pool, piece: u64) -> Option<Target> {
    let after = pool.ring.range(piece..).chain(pool.ring.iter()).take(RING_NEIGHBOURS);
    after.max_by_key(|(hash, _)| prefix::rendezvous_weight(piece, **hash)).map(|(_, key)| *key)
}

fn best(
    found: Vec<Candidate>,
    request: &Request,
    avoid: &[Target],
    view: View<'_>,
) -> Option<Choice> {
    found
        .into_iter()
        .filter(|candidate| !avoid.contains(&candidate.key))
        .filter_map(|candidate| weigh(candidate, request, view))
        .min_by(|a, b| a.first_token_ms.total_cmp(&b.first_token_ms))
}

fn weigh(candidate: Candidate, request: &Request, view: View<'_>) -> Option<Choice> {
    let target = view.targets.get(candidate.key)?;
    if request.repeat == Repeat::Never && target.health.state != health::State::Active {
        return None;
    }
    weigh_any(candidate, request, view)
}

/// Works out what is expected of a target, on probation or not.
fn weigh_any(candidate: Candidate, request: &Request, view: View<'_>) -> Option<Choice> {
    let target = view.targets.get(candidate.key)?;
    let held = view.prefixes.expected_pieces(candidate.key, &request.pieces, view.now);
    let cached = (held * piece::TOKENS as f64) as u64;
    let uncached = request.prompt_tokens.saturating_sub(cached);
    let counted = (uncached as f64 * (1.0 - candidate.saved)) as u64;
    let first_token_ms = target.first_token_ms(counted, view.now);
    Some(Choice { target: candidate.key, uncached, first_token_ms })
}
