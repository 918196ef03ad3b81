//! Expected queue of a target, estimated from the requests that this instance and its peers have sent to it.
//!
//! Load reports of targets lag, while the instances know at once what they have sent. Engines prefill prompts in
//! order of arrival, so the queue is represented by one point in time: when all prompts sent so far are expected to
//! be prefilled. The error observed at each completed prompt corrects that time.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Share of an observed error by which the expectation is corrected.
const CORRECTION_GAIN: f64 = 0.7;
/// Time for which the number of requests that another instance knows of counts, in milliseconds.
const OBSERVATION_TTL_MS: f64 = 1_000.0;
/// Longest time for which a request of another instance counts as running, in milliseconds; its caller has left by then.
const MAX_RUN_MS: f64 = 60_000.0;
/// Time constant by which a correction that is known late loses weight, in milliseconds.
const CORRECTION_WINDOW_MS: f64 = 500.0;
/// Time constant of the moving average of an engine's prefill share, in milliseconds.
const PREFILL_SHARE_WINDOW_MS: f64 = 1_500.0;

/// Expected work at one target; all times are in milliseconds on the instance's clock.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When all prompts sent so far are expected to be prefilled.
    prompts_until_ms: f64,
    /// Sum of all corrections of `prompts_until_ms`.
    corrections_ms: f64,
    /// Prefill work of the recent past, exponentially decayed since `recent_work_at_ms`.
    recent_work_ms: f64,
    recent_work_at_ms: f64,
    /// Requests of this instance that run.
    local_requests: u32,
    /// Expected ends of the requests of other instances.
    remote_ends_ms: BinaryHeap<Reverse<u64>>,
    /// Requests of other instances by another instance's knowledge, and until when that counts.
    observed_requests: u64,
    observed_until_ms: f64,
}

/// Expected completion of a prompt, to be compared with the actual one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prediction {
    completed_at_ms: f64,
    corrections_ms: f64,
}

impl Backlog {
    /// Milliseconds until the prefill of a prompt sent now would begin.
    pub fn wait_ms(&self, now: f64) -> f64 {
        (self.prompts_until_ms - now).max(0.0)
    }

    /// Share of the recent time that the target spent on prefill.
    pub fn prefill_share(&self, now: f64) -> f64 {
        self.recent_work_ms * decay(now - self.recent_work_at_ms) / PREFILL_SHARE_WINDOW_MS
    }

    /// Number of requests that are expected to run, of all instances.
    pub fn running(&mut self, now: f64) -> u64 {
        while self.remote_ends_ms.peek().is_some_and(|Reverse(end)| (*end as f64) < now) {
            self.remote_ends_ms.pop();
        }
        let observed = if now < self.observed_until_ms { self.observed_requests } else { 0 };
        u64::from(self.local_requests) + self.remote_ends_ms.len() as u64 + observed
    }

    /// Replaces what is known of the work of all instances by what another instance knows: the time until a prompt would
    /// begin, the prefill share and the number of requests.
    pub fn observe(&mut self, wait_ms: f64, prefill_share: f64, running: u64, now: f64) {
        self.prompts_until_ms = now + wait_ms;
        self.recent_work_ms = prefill_share * PREFILL_SHARE_WINDOW_MS;
        self.recent_work_at_ms = now;
        self.remote_ends_ms.clear();
        self.observed_requests = running.saturating_sub(u64::from(self.local_requests));
        self.observed_until_ms = now + OBSERVATION_TTL_MS;
    }

    /// Adds a request of this instance.
    pub fn add_request(&mut self) {
        self.local_requests += 1;
    }

    /// Appends a prompt whose prefill takes `prompt_ms`; returns its expected completion.
    pub fn add_prompt(&mut self, prompt_ms: f64, now: f64) -> Prediction {
        self.prompts_until_ms = self.prompts_until_ms.max(now) + prompt_ms;
        self.recent_work_ms = self.recent_work_ms * decay(now - self.recent_work_at_ms) + prompt_ms;
        self.recent_work_at_ms = now;
        Prediction { completed_at_ms: self.prompts_until_ms, corrections_ms: self.corrections_ms }
    }

    /// Adds a request of another instance that is expected to end in `run_ms`.
    #[allow(
        clippy::cast_sign_loss,
        clippy::cast_possible_truncation,
        reason = "times are positive"
    )]
    pub fn add_remote_request(&mut self, run_ms: f64, now: f64) {
        self.remote_ends_ms.push(Reverse((now + run_ms.min(MAX_RUN_MS)) as u64));
    }

    /// Corrects the backlog by the completion of a prompt, `overhead_ms` of whose time wasn't work of the target. One that is
    /// known late counts for less.
    pub fn complete_prompt(
        &mut self,
        prediction: Prediction,
        overhead_ms: f64,
        completed_at_ms: f64,
        now: f64,
    ) {
        // Corrections since the prediction have already shifted the expected completion.
        let expected = prediction.completed_at_ms
            + (self.corrections_ms - prediction.corrections_ms)
            + overhead_ms;
        let weight = (-(now - completed_at_ms).max(0.0) / CORRECTION_WINDOW_MS).exp();
        let error = (completed_at_ms - expected) * CORRECTION_GAIN * weight;
        let corrected = (self.prompts_until_ms + error).max(completed_at_ms);
        self.corrections_ms += corrected - self.prompts_until_ms;
        self.prompts_until_ms = corrected;
    }

    /// Removes a prompt that will not be prefilled and was expected to take `prompt_ms`.
    pub fn cancel_prompt(&mut self, prompt_ms: f64, now: f64) {
        self.prompts_until_ms = (self.prompts_until_ms - prompt_ms).max(now);
    }

    /// Removes a request of this instance.
    pub fn complete_request(&mut self) {
        self.local_requests = self.local_requests.saturating_sub(1);
    }

    /// Number of running requests of this instance.
    pub fn local_requests(&self) -> u32 {
        self.local_requests
    }
}

/// Factor by which work of the past counts after `elapsed_ms`.
fn decay(elapsed_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / PREFILL_SHARE_WINDOW_MS).exp()
}
