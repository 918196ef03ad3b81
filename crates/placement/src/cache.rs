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
    /// When it is expected to be computed, in milliseconds on the instance's clock.
    ready_at: f64,
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
    pub fn ready_tokens(&self, parts: &[Part], now: f64) -> u64 {
        self.held(parts).take_while(|held| held.ready_at <= now).map(|held| held.tokens).sum()
    }

    fn held(&self, parts: &[Part]) -> impl Iterator<Item = &Held> {
        chains(parts).map_while(|(chain, _)| self.chains.get(&chain))
    }

    /// Notes that the target reads a prompt and holds all its parts from `ready_at` on.
    pub fn read(&mut self, parts: &[Part], ready_at: f64) {
        for (chain, part) in chains(parts) {
            self.clock += 1;
            let tokens = u64::from(part.tokens);
            let mut held = Held { tokens, used: self.clock, ready_at };
            if let Some(before) = self.chains.get(&chain) {
                self.order.remove(&before.used);
                held.ready_at = held.ready_at.min(before.ready_at);
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
