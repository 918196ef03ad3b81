//! The targets of the fleet with what is believed of their load, and the choice among them.
//!
//! Answers loads in which a few hundred parts of prompts are asked for again and again: a request goes where its
//! first token is predicted to come soonest, and tokens that must be computed again weigh more than their time,
//! since they also delay what comes after them.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name, random::Random};
use fleet::{
    config,
    exchange::{self, Notice, Part},
    registry::{Stage, State, Target},
};
use slotmap::{SlotMap, new_key_type};

use crate::{
    backlog::{Backlog, Mark},
    cache::Cache,
    health::{Health, Outcome, Standing},
    speed::{self, Distance, Speed},
};

new_key_type! {
    /// A target on the board.
    pub struct Key;
}

/// Weight of the computation that a choice costs the fleet, beside the time that it costs the request.
const WORK_WEIGHT: f64 = 1.0;
/// Share of a generating engine's time that may go into prompts before its streams suffer.
const FREE_DUTY: f64 = 0.15;
/// Weight of a prompt at a generating engine for each unit of time share above that: every running stream waits
/// while a chunk of a prompt is computed.
const DUTY_WEIGHT: f64 = 10.0;
/// Tokens that a generating engine newly holds weigh a millisecond for each so many, since others yield to them.
const SPILL_TOKENS_PER_MS: f64 = 200.0;
/// Prompts that are remembered until they are known to be computed; above that the old ones are forgotten.
const MAX_PROMPTS: usize = 4_096;
/// A prompt is computed or given up well within this time.
const PROMPT_LIFE: Duration = Duration::from_secs(10);
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

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [Part],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub output_tokens: u64,
    /// Time within which the answer is worth most, counted from now.
    pub target: Duration,
    /// Time that is left.
    pub remaining: Duration,
    /// Targets that have failed or refused it.
    pub avoid: &'a [Key],
    /// Whether a failure could be repaired.
    pub repeat: config::Repeat,
    /// Where the prompt may be computed.
    pub prompt: Site,
}

/// Where a prompt may be computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// At the target that generates, or at another engine before.
    Anywhere,
    /// At the target that generates.
    AtTarget,
}

/// What a request is told.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send it.
    Send(Plan),
    /// Refuse it at once; it did not run.
    Refuse(Refusal),
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The target that answers.
    pub target: Key,
    /// The engine that computes the prompt before.
    pub prefill: Option<Key>,
    /// The engine from which the one that computes the prompt first fetches what it lacks of the parts.
    pub fetch: Option<Key>,
    /// Tokens that have to be computed.
    pub fresh: u64,
    /// Tokens counted as held that are being computed for other requests.
    pub pending: u64,
    /// Time in which they are expected to be computed once begun, in milliseconds.
    pub prompt_ms: f64,
    /// When the first token is expected, in milliseconds on the instance's clock.
    pub expected_at: f64,
    /// What of that is no work of the engine that computes the prompt, in milliseconds.
    pub beside_ms: f64,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth asking again.
    pub retry_after: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Reason {
    /// No target of the service can be used.
    #[display("no target")]
    NoTarget,
    /// The first token is expected too late.
    #[display("too late")]
    TooLate,
    /// Its targets refused it, and it may not be sent to another one.
    #[display("targets full")]
    TargetsFull,
}

/// A prompt that was sent and is not known to be computed.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    key: Key,
    mark: Mark,
    wait_ms: f64,
    prompt_ms: f64,
    beside_ms: f64,
    at: Moment,
}

/// A target with what is believed of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// As it announced itself.
    pub target: Target,
    backlog: Backlog,
    cache: Cache,
    speed: Speed,
    health: Health,
    /// Whether it is about to change what it does.
    changing: bool,
}

/// The targets of the fleet.
#[derive(Debug)]
pub struct Board {
    data_centre: name::DataCentre,
    entries: SlotMap<Key, Entry>,
    names: Map<name::Target, Key>,
    engines: Map<name::Service, config::Engine>,
    /// Prompts by number.
    prompts: Map<u64, Prompt>,
    random: Random,
}

impl Board {
    /// A board of an instance in a data centre; `seed` decides between equals.
    pub fn new(data_centre: name::DataCentre, seed: u64) -> Board {
        Board {
            data_centre,
            entries: SlotMap::with_key(),
            names: Map::default(),
            engines: Map::default(),
            prompts: Map::default(),
            random: Random::new(seed),
        }
    }

    /// Takes in what the engines of each service offer.
    pub fn configure(&mut self, config: &config::Config) {
        let engine = |service: &config::Service| Some((service.name.clone(), service.engine?));
        self.engines = config.services.iter().filter_map(engine).collect();
        for entry in self.entries.values_mut() {
            // Targets may be known before the configuration is.
            if let Some(engine) = self.engines.get(&entry.target.service) {
                entry.cache.resize(engine.kv_tokens);
            }
        }
    }

    /// Takes in what is known of a target.
    pub fn update(&mut self, target: &Target) {
        let known = self.names.get(&target.name).copied();
        if target.state >= State::Lost {
            if let Some(key) = known {
                self.names.remove(&target.name);
                self.entries.remove(key);
            }
            return;
        }
        let restarted = |entry: &Entry| entry.target.born_unix_ms != target.born_unix_ms;
        match known.and_then(|key| self.entries.get_mut(key)) {
            Some(entry) if !restarted(entry) => entry.target = target.clone(),
            _ => {
                let tokens = self.engines.get(&target.service).map_or(0, |engine| engine.kv_tokens);
                let entry = Entry {
                    target: target.clone(),
                    backlog: Backlog::default(),
                    cache: Cache::new(tokens),
                    speed: Speed::default(),
                    health: Health::default(),
                    changing: false,
                };
                if let Some(key) = known {
                    self.entries.remove(key);
                }
                let key = self.entries.insert(entry);
                self.names.insert(target.name.clone(), key);
            }
        }
    }

    /// Takes in which engines change what they do; they get no new work until then.
    pub fn set_changing(&mut self, targets: &[name::Target]) {
        for entry in self.entries.values_mut() {
            entry.changing = targets.contains(&entry.target.name);
        }
    }

    /// A target on the board.
    pub fn entry(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Targets on the board.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a service has a target that takes work.
    pub fn serves(&self, service: &name::Service) -> bool {
        let ready = |entry: &Entry| entry.target.state == State::Ready;
        self.entries.values().any(|entry| entry.target.service == *service && ready(entry))
    }

    /// Decides where a request is sent, or refuses it.
    pub fn choose(&mut self, demand: &Demand<'_>, now: Moment) -> Verdict {
        let plan = if self.engines.contains_key(demand.service) {
            self.choose_engine(demand, now)
        } else {
            self.choose_plain(demand, now)
        };
        let Some(plan) = plan else {
            let reason =
                if demand.avoid.is_empty() { Reason::NoTarget } else { Reason::TargetsFull };
            let retry_after = NO_TARGET_RETRY.min(demand.remaining / 4);
            return Verdict::Refuse(Refusal { reason, retry_after });
        };
        match late_by(&plan, demand, now) {
            Some(excess) => {
                let longest = (demand.remaining / 3).max(MIN_RETRY);
                let retry_after = excess.clamp(MIN_RETRY, longest);
                Verdict::Refuse(Refusal { reason: Reason::TooLate, retry_after })
            }
            None => Verdict::Send(plan),
        }
    }

    /// Counts a plan as sent; returns the number of its prompt and what other instances are told of it.
    pub fn send(&mut self, plan: &Plan, demand: &Demand<'_>, now: Moment) -> (u64, Vec<Notice>) {
        let number = self.random.word();
        if let Some(entry) = self.entries.get_mut(plan.target) {
            entry.backlog.send();
            entry.health.send(now);
        }
        if demand.parts.is_empty() {
            return (number, Vec::new());
        }
        let computing = plan.prefill.unwrap_or(plan.target);
        let mut dispatches = Vec::new();
        if let Some(entry) = self.entries.get(computing) {
            let output = if plan.prefill.is_some() { 0 } else { demand.output_tokens };
            let dispatch = exchange::Dispatch {
                number,
                target: entry.target.name.clone(),
                prompt_us: microseconds(plan.prompt_ms),
                beside_us: microseconds(plan.beside_ms),
                output: u32::try_from(output).unwrap_or(u32::MAX),
                parts: demand.parts.to_vec(),
            };
            self.count_prompt(computing, &dispatch, now);
            dispatches.push(dispatch);
        }
        if plan.prefill.is_some()
            && let Some(entry) = self.entries.get(plan.target)
        {
            // The parts arrive there only once they are computed.
            dispatches.push(exchange::Dispatch {
                number: 0,
                target: entry.target.name.clone(),
                prompt_us: 0,
                beside_us: 0,
                output: u32::try_from(demand.output_tokens).unwrap_or(u32::MAX),
                parts: Vec::new(),
            });
        }
        (number, dispatches.into_iter().map(Notice::Sent).collect())
    }

    /// Takes in a notice of another instance.
    pub fn hear(&mut self, notice: &Notice, now: Moment) {
        match notice {
            Notice::Sent(dispatch) => self.hear_dispatch(dispatch, now),
            Notice::Computed { number } => drop(self.computed(*number, now)),
            Notice::Withdrawn { number } => drop(self.withdraw(*number, now)),
            Notice::Held { target, parts } => {
                if let Some(key) = self.names.get(target).copied() {
                    self.hold(key, parts);
                }
            }
        }
    }

    /// Takes in that a prompt is computed; returns what other instances are told of it.
    pub fn computed(&mut self, number: u64, now: Moment) -> Option<Notice> {
        let prompt = self.prompts.remove(&number)?;
        let entry = self.entries.get_mut(prompt.key)?;
        entry.backlog.computed(prompt.mark, prompt.beside_ms, now.0 as f64);
        // Only a prompt that hardly waited shows the speed of the engine itself.
        if prompt.wait_ms < prompt.prompt_ms / 4.0 {
            let taken_ms = now.since(prompt.at).as_secs_f64() * 1e3;
            entry.speed.observe(prompt.wait_ms + prompt.prompt_ms + prompt.beside_ms, taken_ms);
        }
        Some(Notice::Computed { number })
    }

    /// Takes in that a target holds the parts of a prompt; returns what other instances are told of it.
    pub fn hold(&mut self, key: Key, parts: &[Part]) -> Option<Notice> {
        let entry = self.entries.get_mut(key).filter(|_| !parts.is_empty())?;
        entry.cache.computed(parts);
        Some(Notice::Held { target: entry.target.name.clone(), parts: parts.to_vec() })
    }

    /// Takes back a prompt that will not be computed; returns what other instances are told of it.
    pub fn withdraw(&mut self, number: u64, now: Moment) -> Option<Notice> {
        let prompt = self.prompts.remove(&number)?;
        let entry = self.entries.get_mut(prompt.key)?;
        entry.backlog.withdraw(prompt.prompt_ms, now.0 as f64);
        Some(Notice::Withdrawn { number })
    }

    fn hear_dispatch(&mut self, dispatch: &exchange::Dispatch, now: Moment) {
        let Some(key) = self.names.get(&dispatch.target).copied() else {
            return;
        };
        if !dispatch.parts.is_empty() {
            self.count_prompt(key, dispatch, now);
        }
        if dispatch.output > 0
            && let Some(entry) = self.entries.get_mut(key)
        {
            let time = now.0 as f64;
            let running = entry.backlog.running(time);
            let output_ms = speed::output_ms(u64::from(dispatch.output), running);
            entry.backlog.send_other(entry.backlog.wait_ms(time) + output_ms, time);
        }
    }

    /// Counts a prompt at the target that computes it.
    fn count_prompt(&mut self, key: Key, dispatch: &exchange::Dispatch, now: Moment) {
        let forgotten = |prompt: &Prompt| now.since(prompt.at) > PROMPT_LIFE;
        if self.prompts.len() >= MAX_PROMPTS {
            self.prompts.retain(|_, prompt| !forgotten(prompt));
        }
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let time = now.0 as f64;
        let prompt_ms = f64::from(dispatch.prompt_us) / 1e3;
        let wait_ms = entry.backlog.wait_ms(time);
        let mark = entry.backlog.add_prompt(prompt_ms, time);
        entry.cache.send(&dispatch.parts);
        let beside_ms = f64::from(dispatch.beside_us) / 1e3;
        let prompt = Prompt { key, mark, wait_ms, prompt_ms, beside_ms, at: now };
        self.prompts.insert(dispatch.number, prompt);
    }

    /// The parts that each engine is believed to hold, for an instance that has just started.
    pub fn holdings(&self) -> Vec<Notice> {
        let engines = self.entries.values().filter(|entry| entry.target.stage.is_some());
        let holding = |entry: &Entry| Notice::Held {
            target: entry.target.name.clone(),
            parts: entry.cache.all(),
        };
        engines.map(holding).collect()
    }

    /// Counts an own request at another target than it was planned for.
    pub fn redirect(&mut self, from: Key, to: Key, now: Moment) {
        self.end(from);
        if let Some(entry) = self.entries.get_mut(to) {
            entry.backlog.send();
            entry.health.send(now);
        }
    }

    /// Takes in that an own request has ended at its target.
    pub fn end(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.backlog.end();
        }
    }

    /// Takes in how an exchange went; returns whether the target is left out from now on.
    pub fn judge(&mut self, key: Key, outcome: Outcome, now: Moment) -> bool {
        let Some(service) = self.entries.get(key).map(|entry| entry.target.service.clone()) else {
            return false;
        };
        let usual = self.usual_failures(&service);
        let entry = &mut self.entries[key];
        entry.health.observe(outcome, usual, now)
    }

    /// Median share of failures among the targets of a service.
    fn usual_failures(&self, service: &name::Service) -> f64 {
        let mut shares: Vec<f64> = self
            .entries
            .values()
            .filter(|entry| entry.target.service == *service)
            .map(|entry| entry.health.failing())
            .collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or_default()
    }

    /// Targets of a service that may be used, by the best standing that any has.
    fn usable(&self, demand: &Demand<'_>, now: Moment, fits: impl Fn(&Entry) -> bool) -> Vec<Key> {
        let ready: Vec<(Key, Standing)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.target.service == *demand.service)
            .filter(|(_, entry)| {
                entry.target.state == State::Ready && !entry.changing && fits(entry)
            })
            .filter(|(key, _)| !demand.avoid.contains(key))
            .map(|(key, entry)| (key, entry.health.standing(now)))
            .collect();
        let repairable = demand.repeat != config::Repeat::Never;
        if repairable
            && demand.avoid.is_empty()
            && let Some((key, _)) =
                ready.iter().find(|(_, standing)| *standing == Standing::Probation)
        {
            return vec![*key];
        }
        let inside: Vec<Key> = ready
            .iter()
            .filter(|(_, standing)| *standing == Standing::In)
            .map(|(key, _)| *key)
            .collect();
        // Where all are left out, any of them is better than none.
        if inside.is_empty() { ready.into_iter().map(|(key, _)| key).collect() } else { inside }
    }

    fn choose_plain(&mut self, demand: &Demand<'_>, now: Moment) -> Option<Plan> {
        let usable = self.usable(demand, now, |_| true);
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
            fetch: None,
            fresh: 0,
            pending: 0,
            prompt_ms: 0.0,
            expected_at: time,
            beside_ms: 0.0,
        })
    }

    fn choose_engine(&mut self, demand: &Demand<'_>, now: Moment) -> Option<Plan> {
        let engine = *self.engines.get(demand.service)?;
        let generates = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let decode = self.usable(demand, now, generates);
        let time = now.0 as f64;
        let holder = self.holder(demand);
        let direct = decode
            .iter()
            .map(|key| self.weigh(*key, demand, &engine, holder, time))
            .min_by(|a, b| a.score.total_cmp(&b.score))?;
        let moved = self.choose_moved(demand, &engine, holder, &decode, now);
        Some(match moved {
            Some((prefill, target)) if prefill.score + MOVE_MARGIN_MS < direct.score => {
                prefill.plan(target, Some(prefill.key), time)
            }
            _ => direct.plan(direct.key, None, time),
        })
    }

    /// The engine that holds most of a prompt's parts.
    fn holder(&self, demand: &Demand<'_>) -> Option<Holder> {
        let engines = self.entries.iter().filter(|(_, entry)| {
            entry.target.service == *demand.service && entry.target.stage.is_some()
        });
        engines
            .map(|(key, entry)| Holder { key, tokens: entry.cache.computed_tokens(demand.parts) })
            .max_by_key(|holder| holder.tokens)
    }

    /// The best engine that computes the prompt for another one, and that other one.
    fn choose_moved(
        &mut self,
        demand: &Demand<'_>,
        engine: &config::Engine,
        holder: Option<Holder>,
        decode: &[Key],
        now: Moment,
    ) -> Option<(Weighed, Key)> {
        if demand.prompt == Site::AtTarget {
            return None;
        }
        let prefill = self.usable(demand, now, |entry| entry.target.stage == Some(Stage::Prefill));
        let time = now.0 as f64;
        let mut best = prefill
            .into_iter()
            .map(|key| self.weigh(key, demand, engine, holder, time))
            .filter(|weighed| weighed.fresh >= MIN_MOVED_TOKENS)
            .min_by(|a, b| a.score.total_cmp(&b.score))?;
        let receiver = self.choose_receiver(best.key, demand, engine, decode, time)?;
        best.first_ms += receiver.delay_ms;
        best.score += receiver.delay_ms + receiver.weight_ms;
        Some((best, receiver.key))
    }

    /// The engine that a prompt computed at `from` should be moved to, as things stand now.
    ///
    /// Other than the plan that was made before the prompt was computed, this knows which engines leave meanwhile.
    pub fn receiver(&mut self, from: Key, demand: &Demand<'_>, now: Moment) -> Option<Key> {
        let engine = *self.engines.get(demand.service)?;
        let generates = |entry: &Entry| entry.target.stage != Some(Stage::Prefill);
        let decode = self.usable(demand, now, generates);
        let time = now.0 as f64;
        Some(self.choose_receiver(from, demand, &engine, &decode, time)?.key)
    }

    fn choose_receiver(
        &mut self,
        from: Key,
        demand: &Demand<'_>,
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
            let transfer = speed::transfer_ms(engine, demand.prompt_tokens, distance);
            let wait = entry.backlog.wait_ms(time);
            let running = entry.backlog.running(time) as f64;
            let lacks = demand.prompt_tokens.saturating_sub(entry.cache.tokens(demand.parts));
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
        demand: &Demand<'_>,
        engine: &config::Engine,
        holder: Option<Holder>,
        time: f64,
    ) -> Weighed {
        let entry = &self.entries[key];
        let own = entry.cache.tokens(demand.parts).min(demand.prompt_tokens);
        let lacks = |holder: &Holder| holder.tokens > own + MIN_FETCHED_TOKENS;
        let fetch = holder.filter(lacks);
        let cached = fetch.map_or(own, |holder| holder.tokens.min(demand.prompt_tokens));
        let fetch_ms = fetch.map_or(0.0, |holder| {
            let near = self.entries[holder.key].target.data_centre == entry.target.data_centre;
            let distance = if near { Distance::Near } else { Distance::Far };
            speed::transfer_ms(engine, cached - own, distance)
        });
        let fresh = demand.prompt_tokens - cached;
        let prompt_ms = entry.speed.prompt_ms(entry.target.stage, fresh, cached);
        let beside_ms = fetch_ms + HOP_MS + speed::first_step_ms();
        let first_ms = entry.backlog.wait_ms(time) + prompt_ms + beside_ms;
        let excess = match entry.target.stage {
            Some(Stage::Prefill) => 0.0,
            Some(Stage::Decode) | None => (entry.backlog.duty(time) - FREE_DUTY).max(0.0),
        };
        let work = prompt_ms * (WORK_WEIGHT + DUTY_WEIGHT * excess);
        let fetch = fetch.map(|holder| holder.key);
        let pending = cached.saturating_sub(
            entry.cache.computed_tokens(demand.parts).max(fetch.map_or(0, |_| cached)),
        );
        Weighed {
            key,
            fetch,
            fresh,
            pending,
            prompt_ms,
            beside_ms,
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
    beside_ms: f64,
    /// Milliseconds until the first token.
    first_ms: f64,
    score: f64,
}

impl Weighed {
    fn plan(self, target: Key, prefill: Option<Key>, time: f64) -> Plan {
        Plan {
            target,
            prefill,
            fetch: self.fetch,
            fresh: self.fresh,
            pending: self.pending,
            prompt_ms: self.prompt_ms,
            expected_at: time + self.first_ms,
            beside_ms: self.beside_ms,
        }
    }
}

/// By how much a plan is too late to be worth its computation.
fn late_by(plan: &Plan, demand: &Demand<'_>, now: Moment) -> Option<Duration> {
    let first_ms = plan.expected_at - now.0 as f64;
    let target_ms = demand.target.as_secs_f64() * 1e3 * TARGET_SHARE;
    let left_ms = demand.remaining.as_secs_f64() * 1e3 * LEFT_SHARE;
    let alone_ms = plan.prompt_ms + speed::first_step_ms();
    // A prompt that is late by its own size is not helped by waiting.
    let limit_ms = target_ms.max(alone_ms).min(left_ms);
    (first_ms > limit_ms).then(|| Duration::from_secs_f64((first_ms - limit_ms) / 1e3))
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "saturates")]
fn microseconds(ms: f64) -> u32 {
    (ms * 1e3) as u32
}
