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

    /// Tokens of a prompt that are held.
    pub fn tokens(&self, parts: &[Part]) -> u64 {
        let held = chains(parts).map_while(|(chain, _)| self.chains.get(&chain));
        held.map(|held| held.tokens).sum()
    }

    /// Notes that the target reads a prompt and holds all its parts then.
    pub fn read(&mut self, parts: &[Part]) {
        for (chain, part) in chains(parts) {
            self.clock += 1;
            let tokens = u64::from(part.tokens);
            match self.chains.insert(chain, Held { tokens, used: self.clock }) {
                Some(before) => {
                    self.order.remove(&before.used);
                }
                None => self.held += tokens,
            }
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

    /// Forgets everything, as the target does when it starts again.
    pub fn clear(&mut self) {
        *self = Cache {
            capacity: self.capacity,
            held: 0,
            chains: Map::default(),
            order: BTreeMap::new(),
            clock: 0,
        };
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
