//! The choice of a target for a request.

use std::time::Duration;

use common::clock::Moment;
use fleet::{
    config,
    registry::{Stage, State},
};

use crate::{
    balancer::{
        Balancer, Entry, Key,
        selection::{Criteria, Decision, Plan, Prefill, Reason, Refusal},
    },
    health::Availability,
    speed::{self, Distance},
};

/// Weight of the computation that a choice costs the fleet, beside the time that it costs the request.
const WORK_WEIGHT: f64 = 1.0;
/// Share of a generating engine's time that may go into prompts before its streams suffer.
const FREE_DUTY: f64 = 0.15;
/// Weight of a prompt at a generating engine for each unit of time share above that: every running stream waits
/// while a chunk of a prompt is computed.
const DUTY_WEIGHT: f64 = 25.0;
/// Tokens that a generating engine newly holds weigh a millisecond for each so many, since others yield to them.
const SPILL_TOKENS_PER_MS: f64 = 200.0;
/// Time for an engine's answer to arrive.
const HOP_MS: f64 = 2.0;
/// Tokens that another engine must hold more than a target, for the target to fetch them from there.
const MIN_FETCHED_TOKENS: u64 = 256;
/// What a prompt computed elsewhere must save, in milliseconds, since its KV cache has to be moved.
const MOVE_MARGIN_MS: f64 = 25.0;
/// Prompts with fewer tokens to compute are never computed elsewhere.
const MIN_MOVED_TOKENS: u64 = 512;
/// Requests at one target of a plain service, as a share of its slots, above which another one is looked for.
const FAR_PENALTY: f64 = 0.5;
/// A first token later than this share of the target time is expected to miss it.
const TARGET_SHARE: f64 = 1.1;
/// Share of the time left that a request may be expected to take until its first token.
const LEFT_SHARE: f64 = 0.7;
/// Shortest pause that a refusal asks for.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Pause that is asked for where no target is known.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);

impl Balancer {
    /// Decides where a request is sent, or refuses it.
    pub fn choose(&mut self, criteria: &Criteria<'_>, now: Moment) -> Decision {
        let plan = if self.engines.contains_key(criteria.service) {
            self.choose_engine(criteria, now)
        } else {
            self.choose_plain(criteria, now)
        };
        let Some(plan) = plan else {
            let reason =
                if criteria.avoid.is_empty() { Reason::NoTarget } else { Reason::TargetsFull };
            let retry_after = NO_TARGET_RETRY.min(criteria.remaining / 4);
            return Decision::Refuse(Refusal { reason, retry_after, expected: None });
        };
        match late_by(&plan, criteria, now) {
            Some(excess) => {
                let longest = (criteria.remaining / 3).max(MIN_RETRY);
                let retry_after = excess.clamp(MIN_RETRY, longest);
                let first_ms = (plan.first_token_at_ms - now.0 as f64).max(0.0);
                let expected = Some(Duration::from_secs_f64(first_ms / 1e3));
                Decision::Refuse(Refusal { reason: Reason::TooLate, retry_after, expected })
            }
            None => Decision::Send(plan),
        }
    }

    /// Targets of a service that may be used, by the best availability that any has.
    fn usable(
        &self,
        criteria: &Criteria<'_>,
        now: Moment,
        fits: impl Fn(&Entry) -> bool,
    ) -> Vec<Key> {
        let ready: Vec<(Key, Availability)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.target.service == *criteria.service)
            .filter(|(_, entry)| {
                entry.target.state == State::Ready && !entry.changing && fits(entry)
            })
            .filter(|(key, _)| !criteria.avoid.contains(key))
            .map(|(key, entry)| (key, entry.health.availability(now)))
            .collect();
        let repairable = criteria.retry != config::Retry::Never;
        if repairable
            && criteria.avoid.is_empty()
            && let Some((key, _)) =
                ready.iter().find(|(_, availability)| *availability == Availability::Probation)
        {
            return vec![*key];
        }
        // Where all are left out, those that may work again are better than none.
        let Some(best) = ready.iter().map(|(_, availability)| *availability).min() else {
            return Vec::new();
        };
        ready
            .into_iter()
            .filter(|(_, availability)| *availability == best)
            .map(|(key, _)| key)
            .collect()
    }

    fn choose_plain(&mut self, criteria: &Criteria<'_>, now: Moment) -> Option<Plan> {
        let usable = self.usable(criteria, now, |_| true);
        let time = now.0 as f64;
        let weighed: Vec<(Key, f64)> = usable
            .into_iter()
            .map(|key| {
                let entry = &self.entries[key];
                let far = entry.target.data_centre != self.data_centre;
                let load = f64::from(entry.backlog.own());
                let jitter = self.random.unit() * 0.1;
                (key, load + if far { FAR_PENALTY } else { 0.0 } + jitter)
            })
            .collect();
        let (target, _) = weighed.into_iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(Plan {
            target,
            prefill: None,
            prefix_source: None,
            uncached_tokens: 0,
            pending_tokens: 0,
            prompt_ms: 0.0,
            first_token_at_ms: time,
            overhead_ms: 0.0,
        })
    }

    fn choose_engine(&mut self, criteria: &Criteria<'_>, now: Moment) -> Option<Plan> {
        let engine = *self.engines.get(criteria.service)?;
        let generates = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let decode = self.usable(criteria, now, generates);
        let time = now.0 as f64;
        let holder = self.holder(criteria);
        let direct = decode
            .iter()
            .map(|key| self.weigh(*key, criteria, &engine, holder, time))
            .min_by(|a, b| a.score.total_cmp(&b.score))?;
        let moved = self.choose_moved(criteria, &engine, holder, &decode, now);
        Some(match moved {
            Some((prefill, target)) if prefill.score + MOVE_MARGIN_MS < direct.score => {
                prefill.plan(target, Some(prefill.key), time)
            }
            _ => direct.plan(direct.key, None, time),
        })
    }

    /// The engine that holds most of a prompt's parts.
    fn holder(&self, criteria: &Criteria<'_>) -> Option<Holder> {
        let engines = self.entries.iter().filter(|(_, entry)| {
            entry.target.service == *criteria.service && entry.target.stage.is_some()
        });
        engines
            .map(|(key, entry)| Holder { key, tokens: entry.cache.computed_tokens(criteria.parts) })
            .max_by_key(|holder| holder.tokens)
    }

    /// The best engine that computes the prompt for another one, and that other one.
    fn choose_moved(
        &mut self,
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        holder: Option<Holder>,
        decode: &[Key],
        now: Moment,
    ) -> Option<(Weighed, Key)> {
        if criteria.prefill == Prefill::AtTarget {
            return None;
        }
        let prefill =
            self.usable(criteria, now, |entry| entry.target.stage == Some(Stage::Prefill));
        let time = now.0 as f64;
        let mut best = prefill
            .into_iter()
            .map(|key| self.weigh(key, criteria, engine, holder, time))
            .filter(|weighed| weighed.fresh >= MIN_MOVED_TOKENS)
            .min_by(|a, b| a.score.total_cmp(&b.score))?;
        let receiver = self.best_receiver(best.key, criteria, engine, decode, time)?;
        best.first_ms += receiver.delay_ms;
        best.score += receiver.delay_ms + receiver.weight_ms;
        Some((best, receiver.key))
    }

    /// The engine that a prompt computed at `from` should be moved to, as things stand now.
    ///
    /// Other than the plan that was made before the prompt was computed, this knows which engines leave meanwhile.
    pub fn choose_receiver(
        &mut self,
        from: Key,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Option<Key> {
        let engine = *self.engines.get(criteria.service)?;
        let generates = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let decode = self.usable(criteria, now, generates);
        let time = now.0 as f64;
        Some(self.best_receiver(from, criteria, &engine, &decode, time)?.key)
    }

    fn best_receiver(
        &mut self,
        from: Key,
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        decode: &[Key],
        time: f64,
    ) -> Option<Receiver> {
        let from = self.entries.get(from)?.target.data_centre.clone();
        let mut receivers: Vec<Receiver> = Vec::with_capacity(decode.len());
        for key in decode {
            let entry = &mut self.entries[*key];
            let far = entry.target.data_centre != from;
            let distance = if far { Distance::Far } else { Distance::Near };
            let transfer = speed::transfer_ms(engine, criteria.prompt_tokens, distance);
            let wait = entry.backlog.wait_ms(time);
            let running = entry.backlog.running(time) as f64;
            let lacks = criteria.prompt_tokens.saturating_sub(entry.cache.tokens(criteria.parts));
            let spill = lacks as f64 / SPILL_TOKENS_PER_MS;
            receivers.push(Receiver {
                key: *key,
                delay_ms: transfer + wait,
                weight_ms: running + spill,
            });
        }
        let total = |receiver: &Receiver| receiver.delay_ms + receiver.weight_ms;
        receivers.into_iter().min_by(|a, b| total(a).total_cmp(&total(b)))
    }

    fn weigh(
        &self,
        key: Key,
        criteria: &Criteria<'_>,
        engine: &config::Engine,
        holder: Option<Holder>,
        time: f64,
    ) -> Weighed {
        let entry = &self.entries[key];
        let own = entry.cache.tokens(criteria.parts).min(criteria.prompt_tokens);
        let lacks = |holder: &Holder| holder.tokens > own + MIN_FETCHED_TOKENS;
        let fetch = holder.filter(lacks);
        let cached = fetch.map_or(own, |holder| holder.tokens.min(criteria.prompt_tokens));
        let fetch_ms = fetch.map_or(0.0, |holder| {
            let near = self.entries[holder.key].target.data_centre == entry.target.data_centre;
            let distance = if near { Distance::Near } else { Distance::Far };
            speed::transfer_ms(engine, cached - own, distance)
        });
        let fresh = criteria.prompt_tokens - cached;
        let prompt_ms = entry.speed.prompt_ms(entry.target.stage, fresh, cached);
        let overhead_ms = fetch_ms + HOP_MS + speed::first_step_ms();
        let first_ms = entry.backlog.wait_ms(time) + prompt_ms + overhead_ms;
        let excess = match entry.target.stage {
            Some(Stage::Prefill) => 0.0,
            Some(Stage::Decode) | None => (entry.backlog.duty(time) - FREE_DUTY).max(0.0),
        };
        let work = prompt_ms * (WORK_WEIGHT + DUTY_WEIGHT * excess);
        let fetch = fetch.map(|holder| holder.key);
        let pending = cached.saturating_sub(
            entry.cache.computed_tokens(criteria.parts).max(fetch.map_or(0, |_| cached)),
        );
        Weighed {
            key,
            fetch,
            fresh,
            pending,
            prompt_ms,
            overhead_ms,
            first_ms,
            score: first_ms + work,
        }
    }
}

/// An engine that takes over a computed prompt.
#[derive(Clone, Copy, Debug)]
struct Receiver {
    key: Key,
    /// Time until it can go on with the prompt, in milliseconds.
    delay_ms: f64,
    /// What speaks against it beside that, in milliseconds.
    weight_ms: f64,
}

/// The engine that holds most of a prompt's parts.
#[derive(Clone, Copy, Debug)]
struct Holder {
    key: Key,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Weighed {
    key: Key,
    fetch: Option<Key>,
    fresh: u64,
    pending: u64,
    prompt_ms: f64,
    overhead_ms: f64,
    /// Milliseconds until the first token.
    first_ms: f64,
    score: f64,
}

impl Weighed {
    fn plan(self, target: Key, prefill: Option<Key>, time: f64) -> Plan {
        Plan {
            target,
            prefill,
            prefix_source: self.fetch,
            uncached_tokens: self.fresh,
            pending_tokens: self.pending,
            prompt_ms: self.prompt_ms,
            first_token_at_ms: time + self.first_ms,
            overhead_ms: self.overhead_ms,
        }
    }
}

/// By how much a plan is too late to be worth its computation.
fn late_by(plan: &Plan, criteria: &Criteria<'_>, now: Moment) -> Option<Duration> {
    let first_ms = plan.first_token_at_ms - now.0 as f64;
    let target_ms = criteria.target_latency.as_secs_f64() * 1e3 * TARGET_SHARE;
    let left_ms = criteria.remaining.as_secs_f64() * 1e3 * LEFT_SHARE;
    let alone_ms = plan.prompt_ms + speed::first_step_ms();
    // A prompt that is late by its own size is not helped by waiting.
    let limit_ms = target_ms.max(alone_ms).min(left_ms);
    (first_ms > limit_ms).then(|| Duration::from_secs_f64((first_ms - limit_ms) / 1e3))
}
