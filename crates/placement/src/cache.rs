//! Model of a target's prefix cache, derived from the prompts that were sent to it.
//!
//! A part counts as cached only if all parts before it in the prompt are cached too. Once the cache is full, the
//! least recently used parts are evicted.

use std::collections::BTreeMap;

use common::collections::Map;
use fleet::exchange::Part;

/// Share of an engine's KV memory that is available for cached parts; running requests use the rest.
const USABLE_SHARE: f64 = 0.8;

/// Parts cached by one target.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity_tokens: u64,
    cached_tokens: u64,
    /// Cached parts by their identity.
    parts: Map<u64, CachedPart>,
    /// Identities of the parts by their last use.
    by_use: BTreeMap<u64, u64>,
    /// Counts the uses of parts.
    clock: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    used_at: u64,
    state: State,
}

/// Whether the prefill of a part has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A prompt that contains it was sent, and its prefill isn't known to have ended.
    Pending,
    /// Its KV cache can be used and copied.
    Computed,
}

impl Cache {
    /// An empty cache of a target with KV memory for `tokens` tokens.
    pub fn new(tokens: u64) -> Cache {
        Cache {
            capacity_tokens: usable(tokens),
            cached_tokens: 0,
            parts: Map::default(),
            by_use: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Sets the size of the KV memory in tokens, and evicts what no longer fits.
    pub fn resize(&mut self, tokens: u64) {
        self.capacity_tokens = usable(tokens);
        self.evict();
    }

    /// Length in tokens of a prompt's prefix that is cached, or will be once earlier prompts are prefilled.
    pub fn prefix_tokens(&self, parts: &[Part]) -> u64 {
        self.prefix(parts).map(|part| part.tokens).sum()
    }

    /// Length in tokens of a prompt's prefix that can be copied from the target now.
    pub fn computed_prefix_tokens(&self, parts: &[Part]) -> u64 {
        let computed = self.prefix(parts).take_while(|part| part.state == State::Computed);
        computed.map(|part| part.tokens).sum()
    }

    /// Adds the parts of a prompt that was sent to the target.
    pub fn add_pending(&mut self, parts: &[Part]) {
        self.insert(parts, State::Pending);
    }

    /// Adds the parts of a prompt whose prefill has ended.
    pub fn add_computed(&mut self, parts: &[Part]) {
        self.insert(parts, State::Computed);
    }

    /// Replaces what is known of a prompt's parts by what another instance knows: the lengths in tokens of the prefix that is
    /// cached, or will be, and of the prefix that can be copied.
    pub fn observe(&mut self, parts: &[Part], prefix_tokens: u64, computed_tokens: u64) {
        let mut length = 0;
        for part in parts {
            length += u64::from(part.tokens);
            if length > prefix_tokens {
                self.remove(part.id);
            } else {
                let state = if length > computed_tokens { State::Pending } else { State::Computed };
                self.insert(std::slice::from_ref(part), state);
            }
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(part) = self.parts.remove(&id) {
            self.by_use.remove(&part.used_at);
            self.cached_tokens -= part.tokens;
        }
    }

    /// All parts whose prefill has ended, the least recently used first.
    pub fn computed_parts(&self) -> Vec<Part> {
        let part = |id: &u64| {
            let cached = self.parts.get(id).filter(|part| part.state == State::Computed)?;
            Some(Part { id: *id, tokens: u32::try_from(cached.tokens).unwrap_or(u32::MAX) })
        };
        self.by_use.values().filter_map(part).collect()
    }

    /// The leading parts of a prompt that are cached.
    fn prefix(&self, parts: &[Part]) -> impl Iterator<Item = &CachedPart> {
        parts.iter().map_while(|part| self.parts.get(&part.id))
    }

    /// Marks parts as used now; a part that is computed doesn't become pending again.
    fn insert(&mut self, parts: &[Part], state: State) {
        for part in parts {
            self.clock += 1;
            let mut cached =
                CachedPart { tokens: u64::from(part.tokens), used_at: self.clock, state };
            if let Some(before) = self.parts.get(&part.id) {
                self.by_use.remove(&before.used_at);
                self.cached_tokens -= before.tokens;
                if before.state == State::Computed {
                    cached.state = State::Computed;
                }
            }
            self.cached_tokens += cached.tokens;
            self.parts.insert(part.id, cached);
            self.by_use.insert(self.clock, part.id);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.cached_tokens > self.capacity_tokens
            && let Some((_, id)) = self.by_use.pop_first()
        {
            if let Some(evicted) = self.parts.remove(&id) {
                self.cached_tokens -= evicted.tokens;
            }
        }
    }
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "a share of a count")]
fn usable(tokens: u64) -> u64 {
    (tokens as f64 * USABLE_SHARE) as u64
}
