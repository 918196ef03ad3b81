//! State of a target: its description, health and load.
//!
//! Load reports are stale when they arrive. The expected load is the reported one, corrected by the dispatches and ends
//! of this instance since the report and by what the data centre's other instances say that they have sent.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use common::{clock::Moment, name, role::Role};
use wire::target::{Announcement, Kind, Load, Phase};

use crate::{health, request};

/// Maximum number of recorded changes since the last load report.
const MAX_CHANGES: usize = 4_096;
/// Time for which a target counts as full after a refusal, unless a newer load report shows no waiting requests.
const FULL_DURATION: Duration = Duration::from_millis(500);
/// Age at which the count of the other instances' requests is ignored.
const PEERS_TTL: Duration = Duration::from_secs(5);
/// Assumed time to compute one prompt token before any sample.
const INITIAL_MS_PER_TOKEN: f64 = 0.05;
/// Weight of a new sample in the average time to compute a prompt token.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum number of computed tokens for a sample; shorter prompts say little about the time for each token.
const MIN_SAMPLE_TOKENS: u64 = 500;
/// A target with a longer queue of prompts is not free; requests then wait in the router, in fair order.
const MAX_PROMPT_QUEUE_MS: f64 = 200.0;
/// Additional time to the first token in a full batch compared with an empty one.
const FULL_BATCH_COST_MS: f64 = 200.0;

/// Change of the load by this instance after the last load report.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Moment,
    requests: i64,
    prompt_tokens: i64,
}

/// Sum of changes.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: i64,
    prompt_tokens: i64,
}

/// Requests of the data centre's other instances that are running on a target.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    now: u32,
    /// Value of `now` when the target's last load report arrived.
    at_report: u32,
    updated: Moment,
}

/// What a target announced last.
#[derive(Clone, Debug)]
pub struct Description {
    /// Name of the target.
    pub name: name::Target,
    /// Increases with each start of its process.
    pub incarnation: u64,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Whether it is an engine or serves a plain service.
    pub kind: Kind,
    /// The partner that owns it.
    pub partner: name::Partner,
    /// The service that it belongs to.
    pub service: name::Service,
    /// Versions of models that it serves.
    pub models: Vec<String>,
    /// Whether it computes prompts, decodes or does both.
    pub role: Role,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Time added to its estimates; non-zero in another data centre, where `address` is that of an instance.
    pub distance: Duration,
}

impl Description {
    /// Creates the description of a target in this data centre from its announcement.
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

    /// Whether it serves the same requests as `other`, and so belongs to the same pools.
    pub fn serves_same_requests(&self, other: &Description) -> bool {
        self.kind == other.kind
            && self.partner == other.partner
            && self.service == other.service
            && self.models == other.models
            && self.role == other.role
            && self.phase == other.phase
    }
}

/// State of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it announced last.
    pub description: Description,
    /// Result of outlier detection.
    pub health: health::Health,
    /// Requests of this instance that are running on it.
    pub outstanding: u32,
    /// Pools that it belongs to.
    pub pools: Vec<request::Pool>,
    /// Average time to compute one prompt token, in milliseconds, measured at first tokens.
    pub ms_per_token: f64,
    load: Load,
    reported_at: Moment,
    changes: VecDeque<Change>,
    /// Sum of `changes`.
    net_change: Totals,
    peers: Peers,
    full_until: Moment,
}

impl Target {
    /// Creates the state of a target that has not reported any load.
    pub fn new(description: Description) -> Target {
        Target {
            description,
            health: health::Health::default(),
            outstanding: 0,
            pools: Vec::new(),
            ms_per_token: INITIAL_MS_PER_TOKEN,
            load: Load::default(),
            reported_at: Moment::default(),
            changes: VecDeque::new(),
            net_change: Totals::default(),
            peers: Peers::default(),
            full_until: Moment::default(),
        }
    }

    /// Applies a load report, unless it is older than the last one, and drops the changes that it includes.
    pub fn update_load(&mut self, load: &Load, now: Moment) {
        let reported_at = now - Duration::from_millis(load.age_ms);
        if reported_at < self.reported_at {
            return;
        }
        self.reported_at = reported_at;
        self.load = *load;
        self.peers.at_report = self.peers.now;
        while self.changes.front().is_some_and(|change| change.at <= reported_at) {
            self.drop_oldest_change();
        }
        if self.full_until > now
            && reported_at + FULL_DURATION > self.full_until
            && load.waiting == 0
        {
            self.full_until = now;
        }
    }

    /// Sets the number of requests that the data centre's other instances have running on the target.
    pub fn set_peer_outstanding(&mut self, outstanding: u32, now: Moment) {
        self.peers.now = outstanding;
        self.peers.updated = now;
    }

    /// Records that this instance sent a request with `prompt_tokens` uncached tokens.
    pub fn record_dispatch(&mut self, prompt_tokens: u64, now: Moment) {
        self.outstanding += 1;
        self.record_change(1, i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
    }

    /// Records the first token of a request of this instance, and updates the average time for each prompt token.
    ///
    /// `before` is the number of prompt tokens that the target had to compute first, and `latency` the time since the
    /// dispatch.
    pub fn record_first_token(
        &mut self,
        prompt_tokens: u64,
        before: u64,
        latency: Duration,
        now: Moment,
    ) {
        self.record_change(0, -i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
        if prompt_tokens >= MIN_SAMPLE_TOKENS {
            let sample = latency.as_secs_f64() * 1_000.0 / (prompt_tokens + before) as f64;
            self.ms_per_token += (sample - self.ms_per_token) * SAMPLE_WEIGHT;
        }
    }

    /// Removes the prompt of a request of this instance that ended before its first token.
    pub fn cancel_prompt(&mut self, prompt_tokens: u64, now: Moment) {
        self.record_change(0, -i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
    }

    /// Records a prompt that this instance sent to a prefill engine; it counts until the engine's next report.
    pub fn record_prefill(&mut self, prompt_tokens: u64, now: Moment) {
        self.record_change(0, i64::try_from(prompt_tokens).unwrap_or(i64::MAX), now);
    }

    /// Records the end of a request of this instance.
    pub fn record_end(&mut self, now: Moment) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.record_change(-1, 0, now);
    }

    /// Records that the target refused a call, and marks it as full for a time.
    pub fn record_full(&mut self, now: Moment) {
        self.full_until = now + FULL_DURATION;
    }

    /// Time at which a target that counts as full may be called again; `None` if it is not full.
    pub fn full_until(&self, now: Moment) -> Option<Moment> {
        (self.full_until > now).then_some(self.full_until)
    }

    /// Time at which the target made its last load report.
    pub fn last_report(&self) -> Moment {
        self.reported_at
    }

    /// Expected number of requests that are running or waiting on the target now.
    pub fn load(&self, now: Moment) -> u32 {
        let peers = self.peer_requests(now);
        let minimum = self.outstanding + peers;
        let reported = i64::from(self.load.running) + i64::from(self.load.waiting);
        let own = self.net_change.requests;
        let others = i64::from(peers) - i64::from(self.peers.at_report.min(peers));
        let corrected = u32::try_from((reported + own + others).max(0)).unwrap_or(u32::MAX);
        corrected.max(minimum)
    }

    /// Number of running and waiting requests in the last load report.
    pub fn reported_load(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    /// Expected number of queued prompt tokens, which a new request has to wait for.
    pub fn queued_prompt_tokens(&self, now: Moment) -> u64 {
        let elapsed_ms = now.since(self.reported_at).as_secs_f64() * 1_000.0;
        let computed = elapsed_ms / self.ms_per_token.max(f64::MIN_POSITIVE);
        let left = (self.load.queued_prompt_tokens as f64 - computed).max(0.0);
        left as u64 + u64::try_from(self.net_change.prompt_tokens).unwrap_or_default()
    }

    /// Whether the target can take a request now; a probed target can take one at a time.
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

    /// Time at which the queue of prompts is expected to be short enough; `None` if it is so now.
    pub fn prompt_queue_full_until(&self, now: Moment) -> Option<Moment> {
        let excess = self.prompt_queue_ms(now) - MAX_PROMPT_QUEUE_MS;
        (excess > 0.0).then(|| now + Duration::from_millis(excess as u64 + 1))
    }

    fn prompt_queue_ms(&self, now: Moment) -> f64 {
        self.queued_prompt_tokens(now) as f64 * self.ms_per_token
    }

    /// Expected time to the first token of a prompt with `uncached` tokens, in milliseconds.
    pub fn first_token_ms(&self, uncached: u64, now: Moment) -> f64 {
        let prompt = (self.queued_prompt_tokens(now) + uncached) as f64 * self.ms_per_token;
        let batch = f64::from(self.load(now)) / f64::from(self.description.slots.max(1));
        let distance = self.description.distance.as_secs_f64() * 1_000.0;
        prompt + batch * FULL_BATCH_COST_MS + distance
    }

    fn peer_requests(&self, now: Moment) -> u32 {
        let current = now.since(self.peers.updated) < PEERS_TTL;
        if current { self.peers.now } else { 0 }
    }

    fn record_change(&mut self, requests: i64, prompt_tokens: i64, now: Moment) {
        if self.changes.len() >= MAX_CHANGES {
            self.drop_oldest_change();
        }
        self.net_change.requests += requests;
        self.net_change.prompt_tokens += prompt_tokens;
        self.changes.push_back(Change { at: now, requests, prompt_tokens });
    }

    fn drop_oldest_change(&mut self) {
        if let Some(change) = self.changes.pop_front() {
            self.net_change.requests -= change.requests;
            self.net_change.prompt_tokens -= change.prompt_tokens;
        }
    }
}
