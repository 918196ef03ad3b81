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
    capacity: u64,
    held: u64,
    parts: Map<u64, Held>,
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
    pub fn new(tokens: u64) -> Cache {
        Cache {
            capacity: usable(tokens),
            held: 0,
            parts: Map::default(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Takes in the size of the memory, in tokens.
    pub fn resize(&mut self, tokens: u64) {
        self.capacity = usable(tokens);
        self.evict();
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

    /// Notes that a prompt was sent to the target, which will hold all its parts.
    pub fn send(&mut self, parts: &[Part]) {
        self.put(parts, State::Pending);
    }

    /// Notes that the target holds all parts of a prompt.
    pub fn computed(&mut self, parts: &[Part]) {
        self.put(parts, State::Computed);
    }

    /// All parts that are computed, the least recently used first.
    pub fn all(&self) -> Vec<Part> {
        let part = |id: &u64| {
            let held = self.parts.get(id).filter(|held| held.state == State::Computed)?;
            Some(Part { id: *id, tokens: u32::try_from(held.tokens).unwrap_or(u32::MAX) })
        };
        self.order.values().filter_map(part).collect()
    }

    fn held(&self, parts: &[Part]) -> impl Iterator<Item = &Held> {
        parts.iter().map_while(|part| self.parts.get(&part.id))
    }

    fn put(&mut self, parts: &[Part], state: State) {
        for part in parts {
            self.clock += 1;
            let mut held = Held { tokens: u64::from(part.tokens), used: self.clock, state };
            if let Some(before) = self.parts.get(&part.id) {
                self.order.remove(&before.used);
                self.held -= before.tokens;
                if before.state == State::Computed {
                    held.state = State::Computed;
                }
            }
            self.held += held.tokens;
            self.parts.insert(part.id, held);
            self.order.insert(self.clock, part.id);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.held > self.capacity
            && let Some((_, id)) = self.order.pop_first()
        {
            if let Some(evicted) = self.parts.remove(&id) {
                self.held -= evicted.tokens;
            }
        }
    }
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "a share of a count")]
fn usable(tokens: u64) -> u64 {
    (tokens as f64 * USABLE_SHARE) as u64
}
