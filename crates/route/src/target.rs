//! A target as the router knows it, with its load corrected for what happened since it reported.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use common::{clock::Moment, name, role::Role};
use wire::target::{Announcement, Kind, Load, Phase};

use crate::{health, request};

/// Own dispatches and ends that are remembered since the last report.
const MAX_CHANGES: usize = 4_096;
/// How long "full" is remembered without a newer report.
const FULL_SPAN: Duration = Duration::from_millis(500);
/// Neighbours' counts older than this are not believed.
const NEIGHBOURS_SPAN: Duration = Duration::from_secs(5);
const START_MS_PER_TOKEN: f64 = 0.05;
const AVERAGE_WEIGHT: f64 = 0.1;
/// Prompts with fewer tokens to compute say little about the speed of computing them.
const MIN_SAMPLE_TOKENS: u64 = 500;
/// A target with a longer queue of prompts is not free; requests wait in order in the router instead.
const MAX_PROMPT_QUEUE_MS: f64 = 200.0;
/// Cost of a full batch against an empty one, in milliseconds.
const BATCH_COST_MS: f64 = 200.0;

/// An own dispatch or end after the last report.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Moment,
    requests: i64,
    prompt_tokens: i64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    requests: i64,
    prompt_tokens: i64,
}

/// Requests that the data centre's other instances have sent to a target and not seen the end of.
#[derive(Clone, Copy, Debug, Default)]
struct Neighbours {
    now: u32,
    at_report: u32,
    heard: Moment,
}

/// What the target said last.
#[derive(Clone, Debug)]
pub struct Description {
    /// Name of the target.
    pub name: name::Target,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: Kind,
    /// Its owner.
    pub partner: name::Partner,
    /// The service it runs for.
    pub service: name::Service,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Its role.
    pub role: Role,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Cost of its distance; more than zero in another data centre, where `address` is an instance's.
    pub distance: Duration,
}

impl Description {
    /// Takes the parts of an announcement that choose among targets.
    pub fn from_announcement(from: &Announcement) -> Description {
        Description {
            name: from.target.clone(),
            incarnation: from.incarnation,
            address: from.address,
            kind: from.kind,
            partner: from.partner.clone(),
            service: from.service.clone(),
            models: from.models.clone(),
            role: from.role,
            phase: from.phase,
            slots: from.slots,
            distance: Duration::ZERO,
        }
    }

    /// Whether it serves the same requests as `other`.
    pub fn serves_same_requests(&self, other: &Description) -> bool {
        self.kind == other.kind
            && self.partner == other.partner
            && self.service == other.service
            && self.models == other.models
            && self.role == other.role
            && self.phase == other.phase
    }
}

/// A target and its state.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it said last.
    pub description: Description,
    /// Whether it is ejected.
    pub health: health::Health,
    /// Own requests that run on it.
    pub outstanding: u32,
    /// Pools that it belongs to.
    pub pools: Vec<request::Pool>,
    /// Milliseconds for each prompt token, learned from first tokens.
    pub ms_per_token: f64,
    load: Load,
    reported: Moment,
    changes: VecDeque<Change>,
    /// Sum of `changes`.
    changed: Sum,
    neighbours: Neighbours,
    full_until: Moment,
}

impl Target {
    /// Makes a target that has not reported any load.
    pub fn new(description: Description) -> Target {
        Target {
            description,
            health: health::Health::default(),
            outstanding: 0,
            pools: Vec::new(),
            ms_per_token: START_MS_PER_TOKEN,
            load: Load::default(),
            reported: Moment::default(),
            changes: VecDeque::new(),
            changed: Sum::default(),
            neighbours: Neighbours::default(),
            full_until: Moment::default(),
        }
    }

    /// Takes in a report of load; reports older than the last one are dropped.
    pub fn update_load(&mut self, load: &Load, now: Moment) {
        let made = now - Duration::from_millis(load.age_ms);
        if made < self.reported {
            return;
        }
        self.reported = made;
        self.load = *load;
        self.neighbours.at_report = self.neighbours.now;
        while self.changes.front().is_some_and(|change| change.at <= made) {
            self.forget_oldest();
        }
        if self.full_until > now && made + FULL_SPAN > self.full_until && load.waiting == 0 {
            self.full_until = now;
        }
    }

    /// Takes in how many requests the data centre's other instances have on the target.
    pub fn set_peer_outstanding(&mut self, outstanding: u32, now: Moment) {
        self.neighbours.now = outstanding;
        self.neighbours.heard = now;
    }

    /// Counts an own dispatch.
    pub fn record_dispatch(&mut self, prompt_tokens: u64, now: Moment) {
        self.outstanding += 1;
        self.record(1, i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
    }

    /// Counts the first token of an own request that had `before` tokens of other prompts to wait for, and learns
    /// the target's speed.
    pub fn record_first_token(
        &mut self,
        prompt_tokens: u64,
        before: u64,
        latency: Duration,
        now: Moment,
    ) {
        self.record(0, -i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
        if prompt_tokens >= MIN_SAMPLE_TOKENS {
            let sample = latency.as_secs_f64() * 1_000.0 / (prompt_tokens + before) as f64;
            self.ms_per_token += (sample - self.ms_per_token) * AVERAGE_WEIGHT;
        }
    }

    /// Takes back the prompt of an own request that ended before its first token.
    pub fn cancel_prompt(&mut self, prompt_tokens: u64, now: Moment) {
        self.record(0, -i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
    }

    /// Counts a prompt sent to a prefill engine, until its next report.
    pub fn record_prefill(&mut self, prompt_tokens: u64, now: Moment) {
        self.record(0, i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
    }

    /// Counts the end of an own request.
    pub fn record_end(&mut self, now: Moment) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.record(-1, 0, now);
    }

    /// Remembers that the target refused a call for want of a slot.
    pub fn record_full(&mut self, now: Moment) {
        self.full_until = now + FULL_SPAN;
    }

    /// When the target is worth asking again, if it is full now.
    pub fn full_until(&self, now: Moment) -> Option<Moment> {
        (self.full_until > now).then_some(self.full_until)
    }

    /// When its last report of load was made.
    pub fn last_report(&self) -> Moment {
        self.reported
    }

    /// Requests that it is expected to hold now.
    pub fn load(&self, now: Moment) -> u32 {
        let neighbours = self.neighbours(now);
        let known = self.outstanding + neighbours;
        let reported = i64::from(self.load.running) + i64::from(self.load.waiting);
        let own = self.changed.requests;
        let others = i64::from(neighbours) - i64::from(self.neighbours.at_report.min(neighbours));
        let corrected = u32::try_from((reported + own + others).max(0)).unwrap_or(u32::MAX);
        corrected.max(known)
    }

    /// Load as the target reported it.
    pub fn reported_load(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    /// Prompt tokens that it is expected to have to compute first.
    pub fn queued_prompt_tokens(&self, now: Moment) -> u64 {
        let elapsed_ms = now.since(self.reported).as_secs_f64() * 1_000.0;
        let computed = elapsed_ms / self.ms_per_token.max(f64::MIN_POSITIVE);
        let left = (self.load.queued_prompt_tokens as f64 - computed).max(0.0);
        left as u64 + u64::try_from(self.changed.prompt_tokens).unwrap_or_default()
    }

    /// Whether it can be given a request now.
    pub fn is_free(&self, now: Moment) -> bool {
        let limit = match self.health.state {
            health::State::Active => self.description.slots,
            health::State::Ejected(_) => 0,
            health::State::Probing => u32::from(self.outstanding == 0) * self.description.slots,
        };
        self.description.phase == Phase::Ready
            && self.full_until <= now
            && self.load(now) < limit
            && self.prompt_queue_ms(now) <= MAX_PROMPT_QUEUE_MS
    }

    /// When the queue of prompts is short enough again, if it is too long now.
    pub fn prompt_queue_full_until(&self, now: Moment) -> Option<Moment> {
        let excess = self.prompt_queue_ms(now) - MAX_PROMPT_QUEUE_MS;
        (excess > 0.0).then(|| now + Duration::from_millis(excess as u64 + 1))
    }

    fn prompt_queue_ms(&self, now: Moment) -> f64 {
        self.queued_prompt_tokens(now) as f64 * self.ms_per_token
    }

    /// Expected time to the first token of a prompt with `uncached` tokens to compute, in milliseconds.
    pub fn first_token_ms(&self, uncached: u64, now: Moment) -> f64 {
        let prompt = (self.queued_prompt_tokens(now) + uncached) as f64 * self.ms_per_token;
        let batch = f64::from(self.load(now)) / f64::from(self.description.slots.max(1));
        let distance = self.description.distance.as_secs_f64() * 1_000.0;
        prompt + batch * BATCH_COST_MS + distance
    }

    fn neighbours(&self, now: Moment) -> u32 {
        let fresh = now.since(self.neighbours.heard) < NEIGHBOURS_SPAN;
        if fresh { self.neighbours.now } else { 0 }
    }

    fn record(&mut self, requests: i64, prompt_tokens: i64, now: Moment) {
        if self.changes.len() >= MAX_CHANGES {
            self.forget_oldest();
        }
        self.changed.requests += requests;
        self.changed.prompt_tokens += prompt_tokens;
        self.changes.push_back(Change { at: now, requests, prompt_tokens });
    }

    fn forget_oldest(&mut self) {
        if let Some(change) = self.changes.pop_front() {
            self.changed.requests -= change.requests;
            self.changed.prompt_tokens -= change.prompt_tokens;
        }
    }
}
