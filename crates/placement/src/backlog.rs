//! What stands before a request at a target, as far as this instance and its peers have sent it there.
//!
//! Reports of targets lag, while what the instances have sent is known at once. Prompts are computed in the order
//! of their arrival, so the backlog is one time: when all prompts sent so far are expected to be computed. Each
//! own prompt that is computed shows by how much that expectation is off.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Share of an observed error that is corrected at once.
const CORRECTION_GAIN: f64 = 0.7;
/// Time over which the share of an engine's time that goes into prompts is averaged, in milliseconds.
const PREFILL_SHARE_WINDOW_MS: f64 = 1_500.0;

/// Expected work at one target; times are milliseconds on the instance's clock.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When the prompts sent so far are computed.
    prompts_until_ms: f64,
    /// Sum of all corrections so far.
    corrections_ms: f64,
    /// Recent work on prompts, in milliseconds, that fades over [`PREFILL_SHARE_WINDOW_MS`].
    recent_work_ms: f64,
    recent_work_at_ms: f64,
    /// Own requests that run.
    local_requests: u32,
    /// When requests of other instances are expected to end.
    remote_ends_ms: BinaryHeap<Reverse<u64>>,
}

/// A prompt that was sent, to be compared with when it is computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prediction {
    completed_at_ms: f64,
    corrections_ms: f64,
}

impl Backlog {
    /// Milliseconds until a prompt that is sent now is begun.
    pub fn wait_ms(&self, now: f64) -> f64 {
        (self.prompts_until_ms - now).max(0.0)
    }

    /// Share of the recent time that went into prompts.
    pub fn prefill_share(&self, now: f64) -> f64 {
        self.recent_work_ms * decay(now - self.recent_work_at_ms) / PREFILL_SHARE_WINDOW_MS
    }

    /// Requests that are expected to run.
    pub fn running(&mut self, now: f64) -> u64 {
        while self.remote_ends_ms.peek().is_some_and(|Reverse(end)| (*end as f64) < now) {
            self.remote_ends_ms.pop();
        }
        u64::from(self.local_requests) + self.remote_ends_ms.len() as u64
    }

    /// Counts an own request.
    pub fn add_request(&mut self) {
        self.local_requests += 1;
    }

    /// Counts a prompt that takes `prompt_ms`.
    pub fn add_prompt(&mut self, prompt_ms: f64, now: f64) -> Prediction {
        self.prompts_until_ms = self.prompts_until_ms.max(now) + prompt_ms;
        self.recent_work_ms = self.recent_work_ms * decay(now - self.recent_work_at_ms) + prompt_ms;
        self.recent_work_at_ms = now;
        Prediction { completed_at_ms: self.prompts_until_ms, corrections_ms: self.corrections_ms }
    }

    /// Counts a request of another instance that is expected to run for `run_ms` from now.
    #[allow(
        clippy::cast_sign_loss,
        clippy::cast_possible_truncation,
        reason = "times are positive"
    )]
    pub fn add_remote_request(&mut self, run_ms: f64, now: f64) {
        self.remote_ends_ms.push(Reverse((now + run_ms) as u64));
    }

    /// Takes in that a prompt is computed, `overhead_ms` of which was no work of the target.
    pub fn complete_prompt(&mut self, prediction: Prediction, overhead_ms: f64, now: f64) {
        // Corrections made since the prompt was sent have moved its expected end already.
        let expected = prediction.completed_at_ms
            + (self.corrections_ms - prediction.corrections_ms)
            + overhead_ms;
        let error = (now - expected) * CORRECTION_GAIN;
        let corrected = (self.prompts_until_ms + error).max(now);
        self.corrections_ms += corrected - self.prompts_until_ms;
        self.prompts_until_ms = corrected;
    }

    /// Takes a prompt back that will not be computed.
    pub fn cancel_prompt(&mut self, prompt_ms: f64, now: f64) {
        self.prompts_until_ms = (self.prompts_until_ms - prompt_ms).max(now);
    }

    /// Counts the end of an own request.
    pub fn complete_request(&mut self) {
        self.local_requests = self.local_requests.saturating_sub(1);
    }

    /// Own requests that run.
    pub fn local_requests(&self) -> u32 {
        self.local_requests
    }
}

fn decay(elapsed_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / PREFILL_SHARE_WINDOW_MS).exp()
}
