//! Which parts of prompts a target is believed to hold.
//!
//! A part counts only if all parts before it are held, so a part is known by the chain that ends with it. The
//! least recently used chains yield once the target's memory is full.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use common::collections::Map;
use fleet::exchange::Part;

/// Share of an engine's memory that is counted on for parts; the rest holds running requests.
const USABLE_SHARE: f64 = 0.8;

/// Parts held by one target.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: u64,
    held: u64,
    chains: Map<u64, Held>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    used: u64,
    state: State,
}

/// Whether a part is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A prompt with it was sent and is not known to be computed.
    Pending,
    /// It can be copied from here.
    Computed,
}

impl Cache {
    /// An empty cache of a memory of `tokens` tokens.
    #[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "a share of a count")]
    pub fn new(tokens: u64) -> Cache {
        Cache {
            capacity: (tokens as f64 * USABLE_SHARE) as u64,
            held: 0,
            chains: Map::default(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Tokens of a prompt that are held, or will be once what was sent before is computed.
    pub fn tokens(&self, parts: &[Part]) -> u64 {
        self.held(parts).map(|held| held.tokens).sum()
    }

    /// Tokens of a prompt that can be copied from here now.
    pub fn computed_tokens(&self, parts: &[Part]) -> u64 {
        let computed = self.held(parts).take_while(|held| held.state == State::Computed);
        computed.map(|held| held.tokens).sum()
    }

    fn held(&self, parts: &[Part]) -> impl Iterator<Item = &Held> {
        chains(parts).map_while(|(chain, _)| self.chains.get(&chain))
    }

    /// Notes that a prompt was sent to the target, which will hold all its parts.
    pub fn send(&mut self, parts: &[Part]) {
        self.put(parts, State::Pending);
    }

    /// Notes that the target holds all parts of a prompt.
    pub fn computed(&mut self, parts: &[Part]) {
        self.put(parts, State::Computed);
    }

    fn put(&mut self, parts: &[Part], state: State) {
        for (chain, part) in chains(parts) {
            self.clock += 1;
            let tokens = u64::from(part.tokens);
            let mut held = Held { tokens, used: self.clock, state };
            if let Some(before) = self.chains.get(&chain) {
                self.order.remove(&before.used);
                if before.state == State::Computed {
                    held.state = State::Computed;
                }
            } else {
                self.held += tokens;
            }
            self.chains.insert(chain, held);
            self.order.insert(self.clock, chain);
        }
        while self.held > self.capacity
            && let Some((_, chain)) = self.order.pop_first()
        {
            if let Some(evicted) = self.chains.remove(&chain) {
                self.held -= evicted.tokens;
            }
        }
    }
}

/// The parts with the identity of the chain that ends with each.
fn chains(parts: &[Part]) -> impl Iterator<Item = (u64, &Part)> {
    parts.iter().scan(0, |chain, part| {
        let mut hasher = rustc_hash();
        (*chain, part.id).hash(&mut hasher);
        *chain = hasher.finish();
        Some((*chain, part))
    })
}

fn rustc_hash() -> impl Hasher {
    std::hash::BuildHasher::build_hasher(Map::<u64, u64>::default().hasher())
}
