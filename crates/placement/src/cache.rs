//! Which parts of prompts a target is believed to hold.
//!
//! A part counts only if all parts before it are held. The least recently used parts yield once the target's memory
//! is full.

use std::collections::BTreeMap;

use common::collections::Map;
use fleet::exchange::Part;

/// Share of an engine's memory that is counted on for parts; the rest holds running requests.
const USABLE_SHARE: f64 = 0.8;

/// Parts held by one target.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity_tokens: u64,
    held_tokens: u64,
    parts: Map<u64, CachedPart>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    used_at: u64,
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
    pub fn new(tokens: u64) -> Cache {
        Cache {
            capacity_tokens: usable(tokens),
            held_tokens: 0,
            parts: Map::default(),
            by_use: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Takes in the size of the memory, in tokens.
    pub fn resize(&mut self, tokens: u64) {
        self.capacity_tokens = usable(tokens);
        self.evict();
    }

    /// Tokens of a prompt that are held, or will be once what was sent before is computed.
    pub fn prefix_tokens(&self, parts: &[Part]) -> u64 {
        self.prefix(parts).map(|part| part.tokens).sum()
    }

    /// Tokens of a prompt that can be copied from here now.
    pub fn computed_prefix_tokens(&self, parts: &[Part]) -> u64 {
        let computed = self.prefix(parts).take_while(|part| part.state == State::Computed);
        computed.map(|part| part.tokens).sum()
    }

    /// Notes that a prompt was sent to the target, which will hold all its parts.
    pub fn add_pending(&mut self, parts: &[Part]) {
        self.insert(parts, State::Pending);
    }

    /// Notes that the target holds all parts of a prompt.
    pub fn add_computed(&mut self, parts: &[Part]) {
        self.insert(parts, State::Computed);
    }

    /// All parts that are computed, the least recently used first.
    pub fn computed_parts(&self) -> Vec<Part> {
        let part = |id: &u64| {
            let held = self.parts.get(id).filter(|part| part.state == State::Computed)?;
            Some(Part { id: *id, tokens: u32::try_from(held.tokens).unwrap_or(u32::MAX) })
        };
        self.by_use.values().filter_map(part).collect()
    }

    fn prefix(&self, parts: &[Part]) -> impl Iterator<Item = &CachedPart> {
        parts.iter().map_while(|part| self.parts.get(&part.id))
    }

    fn insert(&mut self, parts: &[Part], state: State) {
        for part in parts {
            self.clock += 1;
            let mut held =
                CachedPart { tokens: u64::from(part.tokens), used_at: self.clock, state };
            if let Some(before) = self.parts.get(&part.id) {
                self.by_use.remove(&before.used_at);
                self.held_tokens -= before.tokens;
                if before.state == State::Computed {
                    held.state = State::Computed;
                }
            }
            self.held_tokens += held.tokens;
            self.parts.insert(part.id, held);
            self.by_use.insert(self.clock, part.id);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens
            && let Some((_, id)) = self.by_use.pop_first()
        {
            if let Some(evicted) = self.parts.remove(&id) {
                self.held_tokens -= evicted.tokens;
            }
        }
    }
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "a share of a count")]
fn usable(tokens: u64) -> u64 {
    (tokens as f64 * USABLE_SHARE) as u64
}
