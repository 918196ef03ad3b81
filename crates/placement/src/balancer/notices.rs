//! Notices by which the instances share the prompts that they have sent.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::{
    condition::Report,
    exchange::{self, Notice, Part},
};

use crate::{
    backlog::Prediction,
    balancer::{
        Balancer, Entry, Key,
        selection::{Criteria, Plan},
    },
    speed,
};

/// Number of pending prompts above which those older than [`PROMPT_TTL`] are removed.
const MAX_PROMPTS: usize = 4_096;
/// Time within which every prompt has been prefilled or cancelled.
const PROMPT_TTL: Duration = Duration::from_secs(10);

/// A prompt whose prefill isn't known to have ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prompt {
    key: Key,
    prediction: Prediction,
    /// Predicted wait for earlier prompts.
    wait_ms: f64,
    /// Predicted prefill time.
    prompt_ms: f64,
    /// Predicted time that isn't work of the target.
    overhead_ms: f64,
    /// When it was sent, or the notice of it arrived.
    at: Moment,
}

impl Balancer {
    /// Records that a request was sent by a plan; returns the number of its dispatch and the notices for the other
    /// instances.
    pub fn record_dispatch(
        &mut self,
        plan: &Plan,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> (u64, Vec<Notice>) {
        let number = self.random.next_u64();
        if let Some(entry) = self.entries.get_mut(plan.target) {
            entry.backlog.add_request();
            entry.health.record_sent(now);
            entry.condition.take_permit(now);
        }
        if let Some(entry) = plan.prefill.and_then(|key| self.entries.get_mut(key)) {
            entry.condition.take_permit(now);
        }
        if criteria.parts.is_empty() {
            return (number, Vec::new());
        }
        let prefill = plan.prefill.unwrap_or(plan.target);
        let mut dispatches = Vec::new();
        if let Some(entry) = self.entries.get(prefill) {
            let output = if plan.prefill.is_some() { 0 } else { criteria.output_tokens };
            let dispatch = exchange::Dispatch {
                number,
                target: entry.target.name.clone(),
                prompt_us: microseconds(plan.prompt_ms),
                overhead_us: microseconds(plan.overhead_ms),
                output_tokens: u32::try_from(output).unwrap_or(u32::MAX),
                parts: criteria.parts.to_vec(),
            };
            self.add_prompt(prefill, &dispatch, now);
            dispatches.push(dispatch);
        }
        if plan.prefill.is_some()
            && let Some(entry) = self.entries.get(plan.target)
        {
            // The target has the parts only after the prefill, which a later notice says.
            dispatches.push(exchange::Dispatch {
                number: 0,
                target: entry.target.name.clone(),
                prompt_us: 0,
                overhead_us: 0,
                output_tokens: u32::try_from(criteria.output_tokens).unwrap_or(u32::MAX),
                parts: Vec::new(),
            });
        }
        (number, dispatches.into_iter().map(Notice::Sent).collect())
    }

    /// Applies a notice of another instance.
    pub fn apply_notice(&mut self, notice: &Notice, now: Moment) {
        match notice {
            Notice::Sent(dispatch) => self.apply_dispatch(dispatch, now),
            Notice::Computed { number } => drop(self.complete_prompt(*number, now)),
            Notice::Withdrawn { number } => drop(self.cancel_prompt(*number, now)),
            // This instance's own connections show whether it reaches the target; the others concern no single target.
            Notice::Unreached { .. }
            | Notice::Suspicions { .. }
            | Notice::Crashes(_)
            | Notice::Reach(_) => {}
            Notice::Condition { target, started_unix_ms, leaving, limit } => {
                let report = Report { leaving: *leaving, retry_after: None, limit: *limit };
                self.apply_condition(target, *started_unix_ms, &report, now);
            }
            Notice::Held { target, parts } => {
                if let Some(key) = self.names.get(target).copied() {
                    self.record_cached(key, parts);
                }
            }
        }
    }

    fn apply_condition(
        &mut self,
        target: &name::Target,
        started_unix_ms: u64,
        report: &Report,
        now: Moment,
    ) {
        let Some(entry) = self.names.get(target).and_then(|key| self.entries.get_mut(*key)) else {
            return;
        };
        if entry.target.started_unix_ms == started_unix_ms {
            entry.condition.apply_notice(report, target, &self.fleet, now);
        }
    }

    /// Records that the prefill of a prompt has ended; returns the notice for the other instances.
    pub fn complete_prompt(&mut self, number: u64, now: Moment) -> Option<Notice> {
        let prompt = self.prompts.remove(&number)?;
        let entry = self.entries.get_mut(prompt.key)?;
        entry.backlog.complete_prompt(prompt.prediction, prompt.overhead_ms, now.0 as f64);
        // The time of a prompt that waited in the queue says little about the speed of the engine.
        if prompt.wait_ms < prompt.prompt_ms / 4.0 {
            let taken_ms = now.since(prompt.at).as_secs_f64() * 1e3;
            entry.speed.record(prompt.wait_ms + prompt.prompt_ms + prompt.overhead_ms, taken_ms);
        }
        Some(Notice::Computed { number })
    }

    /// Records that a target has cached the parts of a prompt; returns the notice for the other instances.
    pub fn record_cached(&mut self, key: Key, parts: &[Part]) -> Option<Notice> {
        let entry = self.entries.get_mut(key).filter(|_| !parts.is_empty())?;
        entry.cache.add_computed(parts);
        Some(Notice::Held { target: entry.target.name.clone(), parts: parts.to_vec() })
    }

    /// Removes a prompt that will not be prefilled; returns the notice for the other instances.
    pub fn cancel_prompt(&mut self, number: u64, now: Moment) -> Option<Notice> {
        let prompt = self.prompts.remove(&number)?;
        let entry = self.entries.get_mut(prompt.key)?;
        entry.backlog.cancel_prompt(prompt.prompt_ms, now.0 as f64);
        Some(Notice::Withdrawn { number })
    }

    fn apply_dispatch(&mut self, dispatch: &exchange::Dispatch, now: Moment) {
        let Some(key) = self.names.get(&dispatch.target).copied() else {
            return;
        };
        if !dispatch.parts.is_empty() {
            self.add_prompt(key, dispatch, now);
        }
        if dispatch.output_tokens > 0
            && let Some(entry) = self.entries.get_mut(key)
        {
            let now_ms = now.0 as f64;
            let running = entry.backlog.running(now_ms);
            let output_ms = speed::output_ms(u64::from(dispatch.output_tokens), running);
            entry.backlog.add_remote_request(entry.backlog.wait_ms(now_ms) + output_ms, now_ms);
        }
    }

    /// Adds a prompt to the models of the target that prefills it.
    fn add_prompt(&mut self, key: Key, dispatch: &exchange::Dispatch, now: Moment) {
        let expired = |prompt: &Prompt| now.since(prompt.at) > PROMPT_TTL;
        if self.prompts.len() >= MAX_PROMPTS {
            self.prompts.retain(|_, prompt| !expired(prompt));
        }
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let now_ms = now.0 as f64;
        let prompt_ms = f64::from(dispatch.prompt_us) / 1e3;
        let wait_ms = entry.backlog.wait_ms(now_ms);
        let prediction = entry.backlog.add_prompt(prompt_ms, now_ms);
        entry.cache.add_pending(&dispatch.parts);
        let overhead_ms = f64::from(dispatch.overhead_us) / 1e3;
        let prompt = Prompt { key, prediction, wait_ms, prompt_ms, overhead_ms, at: now };
        self.prompts.insert(dispatch.number, prompt);
    }

    /// The cached parts of each engine, as notices for an instance that has just started.
    pub fn holdings(&self) -> Vec<Notice> {
        let engines = self.entries.values().filter(|entry| entry.target.stage.is_some());
        let notice = |entry: &Entry| Notice::Held {
            target: entry.target.name.clone(),
            parts: entry.cache.computed_parts(),
        };
        engines.map(notice).collect()
    }
}

#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "saturates")]
fn microseconds(ms: f64) -> u32 {
    (ms * 1e3) as u32
}
