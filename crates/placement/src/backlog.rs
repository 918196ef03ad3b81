//! What stands before a request at a target, as far as this instance and its peers have sent it there.
//!
//! Reports of targets lag; what the instances have sent since is known at once, so the backlog is kept from the
//! dispatches alone and corrected by each first token that comes.

use std::collections::BinaryHeap;
use std::cmp::Reverse;

/// Expected work at one target; times are milliseconds on the instance's clock.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When the prompts sent so far are computed.
    prompts_until: f64,
    /// Own requests that run.
    own: u32,
    /// When requests of other instances are expected to end.
    others: BinaryHeap<Reverse<u64>>,
}

impl Backlog {
    /// Milliseconds until a prompt that is sent now is begun.
    pub fn wait_ms(&self, now: f64) -> f64 {
        (self.prompts_until - now).max(0.0)
    }

    /// Requests that are expected to run.
    pub fn running(&mut self, now: f64) -> u64 {
        while self.others.peek().is_some_and(|Reverse(end)| (*end as f64) < now) {
            self.others.pop();
        }
        u64::from(self.own) + self.others.len() as u64
    }

    /// Counts an own request with a prompt that takes `prompt_ms`.
    pub fn send(&mut self, prompt_ms: f64, now: f64) {
        self.own += 1;
        self.add_prompt(prompt_ms, now);
    }

    /// Counts a prompt that is computed for another target.
    pub fn add_prompt(&mut self, prompt_ms: f64, now: f64) {
        self.prompts_until = self.prompts_until.max(now) + prompt_ms;
    }

    /// Counts a request of another instance that is expected to run for `run_ms` after its prompt.
    #[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "times are positive")]
    pub fn send_other(&mut self, prompt_ms: f64, run_ms: f64, now: f64) {
        self.add_prompt(prompt_ms, now);
        self.others.push(Reverse((self.prompts_until + run_ms) as u64));
    }

    /// Takes in that a prompt was computed that had `left_ms` of expected work behind it when it was sent.
    ///
    /// Prompts are computed in the order of their arrival, so what was sent before it is done, too.
    pub fn computed(&mut self, expected_at: f64, now: f64) {
        let early = expected_at - now;
        if early > 0.0 {
            self.prompts_until = (self.prompts_until - early).max(now);
        }
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

    /// Forgets the prompts, as the target does when it starts again.
    pub fn clear(&mut self) {
        self.prompts_until = 0.0;
        self.others.clear();
    }
}
