//! Continuous batching: each step prefills a chunk of prompt tokens and generates one token per decoding request.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use common::role::Role;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use wire::target;

use super::{Options, Shared, State};

/// Maximum number of prompt tokens computed in one step.
const CHUNK_TOKENS: u64 = 512;
/// Factor on the duration of prefill in the decode role and of decode in the prefill role.
const OTHER_ROLE_FACTOR: f64 = 3.0;

/// A request in the batch.
#[derive(Debug)]
pub(super) struct Work {
    /// Id of the attempt; empty if the call had none.
    pub attempt: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Hashes of the prompt's pieces.
    pub pieces: Vec<u64>,
    /// Prompt tokens that remain to be computed.
    pub uncomputed_tokens: u64,
    /// Position of the next output token.
    pub next: u32,
    /// Position after the last output token.
    pub end: u32,
    /// Receives the position of each output token; closed when the caller has disconnected.
    pub tokens: mpsc::UnboundedSender<u32>,
}

/// The requests that run and wait.
#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Work>,
    waiting: VecDeque<Work>,
}

impl Batch {
    /// Queues work after all work of the same or a higher priority.
    pub(super) fn push(&mut self, work: Work) {
        let position = self.waiting.partition_point(|other| other.priority <= work.priority);
        self.waiting.insert(position, work);
    }

    /// Whether there is room for one more request.
    pub(super) fn has_room(&self, options: &Options) -> bool {
        let held = self.running.len() + self.waiting.len();
        let room = usize::try_from(options.slots + options.max_waiting).unwrap_or(usize::MAX);
        !options.rejects_all_as_full && held < room
    }

    /// Drops the work of an attempt; returns whether there was any.
    pub(super) fn cancel(&mut self, attempt: &str) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|work| work.attempt != attempt);
        self.waiting.retain(|work| work.attempt != attempt);
        self.running.len() + self.waiting.len() < before
    }

    /// Drops all work; returns the number of dropped requests.
    pub(super) fn clear(&mut self) -> usize {
        let count = self.running.len() + self.waiting.len();
        self.running.clear();
        self.waiting.clear();
        count
    }

    /// The batch's part of a load report.
    pub(super) fn load(&self) -> target::Load {
        let count = |length| u32::try_from(length).unwrap_or(u32::MAX);
        let all = self.running.iter().chain(&self.waiting);
        target::Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            queued_prompt_tokens: all.map(|work| work.uncomputed_tokens).sum(),
            ..target::Load::default()
        }
    }
}

/// Runs the engine's steps until it is stopped.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut deadline = Instant::now();
    loop {
        let step = shared.lock().begin(&shared.options);
        let Some(duration) = step else {
            tokio::select! {
                () = shared.token.cancelled() => return,
                () = shared.work.notified() => {}
            }
            deadline = Instant::now();
            continue;
        };
        deadline += shared.scaled(duration);
        tokio::select! {
            () = shared.token.cancelled() => return,
            () = time::sleep_until(deadline) => {}
        }
        let tokens = shared.lock().finish();
        if shared.options.crash_after_tokens.is_some_and(|limit| tokens >= limit) {
            shared.token.cancel();
        }
    }
}

impl State {
    /// Fills free slots and plans a step; returns the step's duration, or `None` when there is no work.
    fn begin(&mut self, options: &Options) -> Option<Duration> {
        self.drop_cancelled();
        self.admit(options.slots);
        if self.batch.running.is_empty() {
            return None;
        }
        let speed = &options.speed;
        let prefill = self.planned_prefill();
        let decoding = self.batch.running.iter().filter(|work| work.uncomputed_tokens == 0).count();
        let (prefill_factor, decode_factor) = match self.role {
            Role::Mixed => (1.0, 1.0),
            Role::Prefill => (1.0, OTHER_ROLE_FACTOR),
            Role::Decode => (OTHER_ROLE_FACTOR, 1.0),
        };
        #[allow(clippy::cast_precision_loss, reason = "a chunk's tokens fit a double exactly")]
        let seconds = prefill as f64 / speed.prefill_tokens_s;
        let mut duration = Duration::from_secs_f64(seconds * prefill_factor);
        if decoding > 0 {
            let streams = u32::try_from(decoding - 1).unwrap_or(u32::MAX);
            duration += (speed.step + speed.step_stream * streams).mul_f64(decode_factor);
        }
        Some(duration)
    }

    /// Ends the step: stores computed prompts in the cache and generates tokens; returns all output tokens so far.
    fn finish(&mut self) -> u64 {
        let mut budget = CHUNK_TOKENS;
        for work in &mut self.batch.running {
            if work.uncomputed_tokens > 0 {
                let computed = work.uncomputed_tokens.min(budget);
                budget -= computed;
                work.uncomputed_tokens -= computed;
                self.totals.prompt_tokens += computed;
                if work.uncomputed_tokens > 0 {
                    continue;
                }
                self.cache.store(&work.pieces);
            }
            if work.next < work.end && work.tokens.send(work.next).is_ok() {
                work.next += 1;
                self.totals.output_tokens += 1;
            }
        }
        self.batch.running.retain(|work| work.uncomputed_tokens > 0 || work.next < work.end);
        self.totals.output_tokens
    }

    fn drop_cancelled(&mut self) {
        let before = self.batch.running.len() + self.batch.waiting.len();
        self.batch.running.retain(|work| !work.tokens.is_closed());
        self.batch.waiting.retain(|work| !work.tokens.is_closed());
        let dropped = before - self.batch.running.len() - self.batch.waiting.len();
        self.totals.interrupted += u64::try_from(dropped).unwrap_or_default();
    }

    fn admit(&mut self, slots: u32) {
        while self.batch.running.len() < usize::try_from(slots).unwrap_or(usize::MAX) {
            let Some(mut work) = self.batch.waiting.pop_front() else {
                return;
            };
            if work.uncomputed_tokens > 0 {
                let cached =
                    self.cache.lookup(&work.pieces).min(work.uncomputed_tokens.saturating_sub(1));
                work.uncomputed_tokens -= cached;
                self.totals.cached_tokens += cached;
            }
            self.batch.running.push(work);
        }
    }

    fn planned_prefill(&self) -> u64 {
        let total: u64 = self.batch.running.iter().map(|work| work.uncomputed_tokens).sum();
        total.min(CHUNK_TOKENS)
    }
}
