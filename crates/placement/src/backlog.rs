//! What stands before a request at a target, as far as this instance and its peers have sent it there.
//!
//! Reports of targets lag, while what the instances have sent is known at once. Prompts are computed in the order
//! of their arrival, so the backlog is one time: when all prompts sent so far are expected to be computed. Each
//! own prompt that is computed shows by how much that expectation is off.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Share of an observed error that is corrected at once.
const CORRECTION: f64 = 0.7;
/// Time over which the share of an engine's time that goes into prompts is averaged, in milliseconds.
const DUTY_SPAN_MS: f64 = 1_500.0;

/// Expected work at one target; times are milliseconds on the instance's clock.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When the prompts sent so far are computed.
    prompts_until: f64,
    /// Sum of all corrections so far.
    corrections: f64,
    /// Recent work on prompts, in milliseconds, that fades over [`DUTY_SPAN_MS`].
    recent: f64,
    recent_at: f64,
    /// Own requests that run.
    own: u32,
    /// When requests of other instances are expected to end.
    others: BinaryHeap<Reverse<u64>>,
}

/// A prompt that was sent, to be compared with when it is computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mark {
    expected_at: f64,
    corrections: f64,
}

impl Backlog {
    /// Milliseconds until a prompt that is sent now is begun.
    pub fn wait_ms(&self, now: f64) -> f64 {
        (self.prompts_until - now).max(0.0)
    }

    /// Share of the recent time that went into prompts.
    pub fn duty(&self, now: f64) -> f64 {
        self.recent * fade(now - self.recent_at) / DUTY_SPAN_MS
    }

    /// Requests that are expected to run.
    pub fn running(&mut self, now: f64) -> u64 {
        while self.others.peek().is_some_and(|Reverse(end)| (*end as f64) < now) {
            self.others.pop();
        }
        u64::from(self.own) + self.others.len() as u64
    }

    /// Counts an own request.
    pub fn send(&mut self) {
        self.own += 1;
    }

    /// Counts a prompt that takes `prompt_ms`.
    pub fn add_prompt(&mut self, prompt_ms: f64, now: f64) -> Mark {
        self.prompts_until = self.prompts_until.max(now) + prompt_ms;
        self.recent = self.recent * fade(now - self.recent_at) + prompt_ms;
        self.recent_at = now;
        Mark { expected_at: self.prompts_until, corrections: self.corrections }
    }

    /// Counts a request of another instance that is expected to run for `run_ms` from now.
    #[allow(
        clippy::cast_sign_loss,
        clippy::cast_possible_truncation,
        reason = "times are positive"
    )]
    pub fn send_other(&mut self, run_ms: f64, now: f64) {
        self.others.push(Reverse((now + run_ms) as u64));
    }

    /// Takes in that a prompt is computed, `overhead_ms` of which was no work of the target.
    pub fn computed(&mut self, mark: Mark, overhead_ms: f64, now: f64) {
        // Corrections made since the prompt was sent have moved its expected end already.
        let expected = mark.expected_at + (self.corrections - mark.corrections) + overhead_ms;
        let error = (now - expected) * CORRECTION;
        let corrected = (self.prompts_until + error).max(now);
        self.corrections += corrected - self.prompts_until;
        self.prompts_until = corrected;
    }

    /// Takes a prompt back that will not be computed.
    pub fn withdraw(&mut self, prompt_ms: f64, now: f64) {
        self.prompts_until = (self.prompts_until - prompt_ms).max(now);
    }

    /// Counts the end of an own request.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Own requests that run.
    pub fn own(&self) -> u32 {
        self.own
    }
}

fn fade(elapsed_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / DUTY_SPAN_MS).exp()
}
