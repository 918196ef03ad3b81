//! Evaluation of the engines that a request may go to.

use common::{clock::Moment, random::Random};
use fleet::{config, registry::Stage};

use crate::{
    balancer::{
        Balancer, Entry, Key,
        choice::Among,
        selection::{Criteria, Plan, Prefill},
    },
    cell,
    health::Availability,
    speed::{self, Distance},
};

/// Weight of the prefill time that a request costs the fleet, relative to its own time until the first token.
const WORK_WEIGHT: f64 = 1.0;
/// Share of a decoding engine's time that prefill may take before it delays the engine's streams.
const FREE_PREFILL_SHARE: f64 = 0.15;
/// Additional weight of prefill at a decoding engine, per unit of its prefill share above the free one: every running
/// stream waits while a chunk of a prompt is prefilled.
const PREFILL_SHARE_WEIGHT: f64 = 25.0;
/// Number of tokens new to a decoding engine's cache that cost one millisecond, since they evict others.
const EVICTED_TOKENS_PER_MS: f64 = 200.0;
/// Network delay of an engine's answer, in milliseconds.
const HOP_MS: f64 = 2.0;
/// Minimum number of tokens that another engine must have cached beyond the target's own for a copy to pay.
const MIN_COPIED_TOKENS: u64 = 256;
/// Minimum number of uncached tokens for remote prefill.
const MIN_REMOTE_PREFILL_TOKENS: u64 = 512;
/// Largest difference in score, in milliseconds, that chance adds, so that instances with the same estimates don't all
/// choose the same engine.
const MAX_JITTER_MS: f64 = 4.0;
/// Share of the prefill time of a prefix that nobody is known to have cached by which its home engine is preferred: other
/// instances prefer it, too, and have it cached there.
const HOME_PREFERENCE: f64 = 0.4;
/// The same for an engine that only prefills, which can copy it from where the prompt is decoded.
const PREFILL_HOME_PREFERENCE: f64 = 0.1;
/// Engines that are drawn for a request, beside those that have its prefix cached: with old estimates, the best of a few is
/// a better choice than the best of all (Mitzenmacher 2000).
const DRAWN: usize = 2;

impl Balancer {
    /// The engine that has the prefix of a prompt cached if other instances have chosen as this one does, unless one is known
    /// to have it. Copying from an engine that lacks it costs the setup of a transfer.
    pub(super) fn presumed_source(
        &self,
        decode: &[Key],
        source: Option<Source>,
        criteria: &Criteria<'_>,
    ) -> Option<Key> {
        let shared_tokens = shared_tokens(criteria);
        let known_tokens = source.map_or(0, |source| source.tokens);
        let is_worthwhile = shared_tokens > known_tokens + MIN_COPIED_TOKENS;
        is_worthwhile.then(|| self.home_engine(decode, criteria))?
    }

    /// The engine among these with the longest computed prefix of a prompt.
    pub(super) fn prefix_source<'a>(
        &self,
        keys: impl Iterator<Item = &'a Key>,
        criteria: &Criteria<'_>,
    ) -> Option<Source> {
        keys.filter_map(|key| Some((*key, self.entries.get(*key)?)))
            .filter(|(_, entry)| entry.target.stage.is_some())
            .map(|(key, entry)| Source {
                key,
                tokens: entry.cache.computed_prefix_tokens(criteria.parts),
            })
            .max_by_key(|source| source.tokens)
    }

    /// The engine with the lowest score to prefill a prompt, among those considered for the request. A prefix that none is
    /// known to have cached counts partly as cached at its home engine.
    pub(super) fn best_candidate(
        &self,
        keys: &[Key],
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        source: Option<Source>,
        now_ms: f64,
    ) -> Option<Candidate> {
        let home = self.home_engine(keys, criteria);
        let shared_tokens = shared_tokens(criteria);
        let is_known = source.is_some_and(|source| source.tokens >= shared_tokens);
        let candidates = self.considered(keys, home, criteria).into_iter().map(|key| {
            let mut candidate = self.evaluate(key, criteria, engine, source, now_ms);
            candidate.score += self.jitter_ms(key, criteria);
            if !is_known && home == Some(key) {
                let entry = &self.entries[key];
                let prefix_ms = entry.speed.prompt_ms(entry.target.stage, shared_tokens, 0);
                candidate.score -= prefix_ms * PREFILL_HOME_PREFERENCE;
            }
            candidate
        });
        candidates.min_by(|a, b| a.score.total_cmp(&b.score))
    }

    /// The engines among these that are considered for a request: a few that its own part draws, those that have its prefix
    /// cached, and the home of that. All instances draw the same ones.
    fn considered(&self, keys: &[Key], home: Option<Key>, criteria: &Criteria<'_>) -> Vec<Key> {
        let own = own_part(criteria);
        let mut drawn: Vec<(u64, Key)> =
            keys.iter().map(|key| (cell::draw(self.entries[*key].hash, own), *key)).collect();
        drawn.sort_unstable();
        let shared_tokens = shared_tokens(criteria);
        let is_holder = |key: Key| {
            shared_tokens > 0
                && self.entries[key].cache.prefix_tokens(criteria.parts) >= shared_tokens
        };
        let considered = drawn.into_iter().enumerate().filter(|(position, (_, key))| {
            *position < DRAWN || home == Some(*key) || is_holder(*key)
        });
        considered.map(|(_, (_, key))| key).collect()
    }

    /// Decides between engines with nearly equal estimates.
    fn jitter_ms(&self, key: Key, criteria: &Criteria<'_>) -> f64 {
        let seed = cell::draw(self.entries[key].hash, own_part(criteria));
        Random::new(seed).unit() * MAX_JITTER_MS
    }

    /// The engine among these at which all instances expect the prefix of a prompt.
    fn home_engine(&self, keys: &[Key], criteria: &Criteria<'_>) -> Option<Key> {
        let position = |key: &Key| cell::position(self.entries.get(*key)?.hash, criteria.parts);
        keys.iter().copied().min_by_key(position)
    }

    /// The best engine to prefill the prompt, and the one that receives the KV cache and decodes.
    pub(super) fn choose_remote_prefill(
        &mut self,
        among: Among<'_>,
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        source: Option<Source>,
        decode: &[Key],
        now: Moment,
    ) -> Option<(Candidate, Key)> {
        if criteria.prefill == Prefill::AtTarget {
            return None;
        }
        let prefill =
            self.usable(among, criteria, now, |entry| entry.target.stage == Some(Stage::Prefill));
        let now_ms = now.0 as f64;
        let mut best = self.best_candidate(&prefill, criteria, engine, source, now_ms)?;
        if best.uncached_tokens < MIN_REMOTE_PREFILL_TOKENS {
            return None;
        }
        let receiver = self.best_receiver(best.key, criteria, engine, decode, now_ms)?;
        best.first_token_ms += receiver.delay_ms;
        best.score += receiver.delay_ms + receiver.penalty_ms;
        Some((best, receiver.key))
    }

    /// The engine that should receive the KV cache of a prompt prefilled at `from`.
    ///
    /// Chosen again after the prefill, since engines may have left since the plan was made.
    pub fn choose_receiver(
        &mut self,
        from: Key,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Option<Key> {
        let engine = *self.engines.get(criteria.service)?;
        self.refresh_cells(now);
        let cell = self.cells.of_engine(from).map(|cell| cell.engines.clone()).unwrap_or_default();
        let decodes = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let among = Among { keys: &cell, worst: Availability::Probation };
        let mut decode = self.usable(among, criteria, now, decodes);
        if decode.is_empty() {
            let keys = self.keys_of(criteria.service);
            decode = self.usable(Among::all(&keys), criteria, now, decodes);
        }
        let now_ms = now.0 as f64;
        Some(self.best_receiver(from, criteria, &engine, &decode, now_ms)?.key)
    }

    /// The receiver with the lowest sum of delay and penalty.
    pub(super) fn best_receiver(
        &mut self,
        from: Key,
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        decode: &[Key],
        now_ms: f64,
    ) -> Option<Receiver> {
        let from = self.entries.get(from)?.target.data_centre.clone();
        let home = self.home_engine(decode, criteria);
        let considered = self.considered(decode, home, criteria);
        let mut receivers: Vec<Receiver> = Vec::with_capacity(considered.len());
        for key in considered {
            let jitter_ms = self.jitter_ms(key, criteria);
            let entry = &mut self.entries[key];
            let is_far = entry.target.data_centre != from;
            let distance = if is_far { Distance::Far } else { Distance::Near };
            let transfer_ms = speed::transfer_ms(engine, criteria.prompt_tokens, distance);
            let wait_ms = entry.backlog.wait_ms(now_ms);
            let running = entry.backlog.running(now_ms) as f64;
            let missing =
                criteria.prompt_tokens.saturating_sub(entry.cache.prefix_tokens(criteria.parts));
            let preference = if home == Some(key) { HOME_PREFERENCE } else { 0.0 };
            let evicted_ms = missing as f64 / EVICTED_TOKENS_PER_MS * (1.0 - preference);
            receivers.push(Receiver {
                key,
                delay_ms: transfer_ms + wait_ms,
                penalty_ms: running + evicted_ms + jitter_ms,
            });
        }
        let total = |receiver: &Receiver| receiver.delay_ms + receiver.penalty_ms;
        receivers.into_iter().min_by(|a, b| total(a).total_cmp(&total(b)))
    }

    /// Predicts the first token of a request that is prefilled at `key`, and scores that.
    pub(super) fn evaluate(
        &self,
        key: Key,
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        source: Option<Source>,
        now_ms: f64,
    ) -> Candidate {
        let entry = &self.entries[key];
        let own = entry.cache.prefix_tokens(criteria.parts).min(criteria.prompt_tokens);
        let lacks = |source: &Source| source.tokens > own + MIN_COPIED_TOKENS;
        let prefix_source = source.filter(lacks);
        let cached = prefix_source.map_or(own, |source| source.tokens.min(criteria.prompt_tokens));
        let copy_ms = prefix_source.map_or(0.0, |source| {
            let is_near = self.entries[source.key].target.data_centre == entry.target.data_centre;
            let distance = if is_near { Distance::Near } else { Distance::Far };
            speed::transfer_ms(engine, cached - own, distance)
        });
        let uncached_tokens = criteria.prompt_tokens - cached;
        let prompt_ms = entry.speed.prompt_ms(entry.target.stage, uncached_tokens, cached);
        let overhead_ms = copy_ms + HOP_MS + speed::first_step_ms();
        let first_token_ms = entry.backlog.wait_ms(now_ms) + prompt_ms + overhead_ms;
        let excess = match entry.target.stage {
            Some(Stage::Prefill) => 0.0,
            Some(Stage::Decode) | None => {
                (entry.backlog.prefill_share(now_ms) - FREE_PREFILL_SHARE).max(0.0)
            }
        };
        let work_ms = prompt_ms * (WORK_WEIGHT + PREFILL_SHARE_WEIGHT * excess);
        let prefix_source = prefix_source.map(|source| source.key);
        let pending_tokens = cached.saturating_sub(
            entry
                .cache
                .computed_prefix_tokens(criteria.parts)
                .max(prefix_source.map_or(0, |_| cached)),
        );
        Candidate {
            key,
            prefix_source,
            uncached_tokens,
            pending_tokens,
            prompt_ms,
            overhead_ms,
            first_token_ms,
            score: first_token_ms + work_ms,
        }
    }
}

/// An engine that may receive the KV cache of a prompt and decode.
#[derive(Clone, Copy, Debug)]
pub(super) struct Receiver {
    pub(super) key: Key,
    /// Time until it can decode, in milliseconds.
    pub(super) delay_ms: f64,
    /// Cost to its other requests: running streams and evicted tokens, in milliseconds.
    pub(super) penalty_ms: f64,
}

/// The engine with the longest computed prefix of a prompt, and the length of that prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    pub(super) key: Key,
    pub(super) tokens: u64,
}

/// An engine that may prefill a prompt, with its prediction; fields as in [`Plan`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: Key,
    pub(super) prefix_source: Option<Key>,
    pub(super) uncached_tokens: u64,
    pub(super) pending_tokens: u64,
    pub(super) prompt_ms: f64,
    pub(super) overhead_ms: f64,
    /// Predicted time until the first token, in milliseconds.
    pub(super) first_token_ms: f64,
    /// Cost of the choice in milliseconds; the lowest is best.
    pub(super) score: f64,
}

impl Candidate {
    pub(super) fn plan(self, target: Key, prefill: Option<Key>, now_ms: f64) -> Plan {
        Plan {
            target,
            prefill,
            prefix_source: self.prefix_source,
            uncached_tokens: self.uncached_tokens,
            pending_tokens: self.pending_tokens,
            prompt_ms: self.prompt_ms,
            first_token_at_ms: now_ms + self.first_token_ms,
            overhead_ms: self.overhead_ms,
            is_late: false,
        }
    }
}

/// Id of the part of a prompt that is the request's own.
fn own_part(criteria: &Criteria<'_>) -> u64 {
    criteria.parts.last().map_or(0, |part| part.id)
}

/// Length in tokens of the prefix of a prompt that other prompts may share.
fn shared_tokens(criteria: &Criteria<'_>) -> u64 {
    let shared = criteria.parts.split_last().map_or(&[][..], |(_own, shared)| shared);
    shared.iter().map(|part| u64::from(part.tokens)).sum()
}

impl Plan {
    /// Has the prefix copied from this engine, unless it is copied from another one.
    pub(super) fn or_copied_from(mut self, presumed: Option<Key>) -> Plan {
        let computing = self.prefill.unwrap_or(self.target);
        let presumed = presumed.filter(|presumed| *presumed != computing);
        self.prefix_source = self.prefix_source.or(presumed);
        self
    }
}
