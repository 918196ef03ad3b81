//! Notices by which the instances share the prompts that they have sent.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::{
    condition::Report,
    exchange::{self, Notice, Part, load},
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

/// The prefill of a prompt.
#[derive(Clone, Copy, Debug)]
struct Work<'a> {
    prompt_us: u32,
    overhead_us: u32,
    parts: &'a [Part],
}

impl<'a> From<&'a load::Placement> for Work<'a> {
    fn from(placement: &'a load::Placement) -> Work<'a> {
        let load::Placement { prompt_us, overhead_us, parts, .. } = placement;
        Work { prompt_us: *prompt_us, overhead_us: *overhead_us, parts }
    }
}

impl<'a> From<&'a exchange::Dispatch> for Work<'a> {
    fn from(dispatch: &'a exchange::Dispatch) -> Work<'a> {
        let exchange::Dispatch { prompt_us, overhead_us, parts, .. } = dispatch;
        Work { prompt_us: *prompt_us, overhead_us: *overhead_us, parts }
    }
}

impl Balancer {
    /// Records that a request was sent by a plan; returns the number of its placement and the notice for other instances, if
    /// it goes to engines.
    pub fn record_dispatch(
        &mut self,
        plan: &Plan,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> (u64, Option<Notice>) {
        self.record_contention(plan, criteria, now);
        if let Some(entry) = self.entries.get_mut(plan.target) {
            entry.backlog.add_request();
            entry.health.record_sent(now);
            entry.condition.take_permit(now);
        }
        if let Some(entry) = plan.prefill.and_then(|key| self.entries.get_mut(key)) {
            entry.condition.take_permit(now);
        }
        let suggested = criteria.suggestion.map(|suggestion| suggestion.number);
        let number = suggested.unwrap_or_else(|| self.random.next_u64());
        let Some(placement) = self.placement(number, plan, criteria) else {
            return (number, None);
        };
        let prefill = plan.prefill.unwrap_or(plan.target);
        self.add_prompt(prefill, number, &Work::from(&placement), now);
        (number, Some(Notice::Placed(placement)))
    }

    /// What other instances need to know of a request that is sent by a plan; `None` if it isn't sent to engines.
    pub(super) fn placement(
        &self,
        number: u64,
        plan: &Plan,
        criteria: &Criteria<'_>,
    ) -> Option<load::Placement> {
        if criteria.parts.is_empty() {
            return None;
        }
        let target = self.entries.get(plan.target)?.target.name.clone();
        let prefill = plan.prefill.and_then(|key| self.entries.get(key));
        Some(load::Placement {
            number,
            target,
            prefill: prefill.map(|entry| entry.target.name.clone()),
            prompt_us: microseconds(plan.prompt_ms),
            overhead_us: microseconds(plan.overhead_ms),
            output_tokens: u32::try_from(criteria.output_tokens).unwrap_or(u32::MAX),
            parts: criteria.parts.to_vec(),
        })
    }

    /// Applies a notice of another instance.
    pub fn apply_notice(&mut self, notice: &Notice, now: Moment) {
        match notice {
            Notice::Sent(dispatch) => self.apply_dispatch(dispatch, now),
            Notice::Placed(placement) => self.apply_placement(placement, now),
            Notice::Finished { number, taken_us } => {
                let taken = Duration::from_micros(u64::from(*taken_us));
                self.finish_prompt(*number, Some(taken), now);
            }
            Notice::Computed { number } => drop(self.complete_prompt(*number, now)),
            Notice::Withdrawn { number } | Notice::Declined { number, .. } => {
                drop(self.cancel_prompt(*number, now));
            }
            // This instance's own connections show whether it reaches the target; the others concern no single target.
            Notice::Unreached { .. }
            | Notice::Suspicions { .. }
            | Notice::Crashes(_)
            | Notice::Reach(_)
            | Notice::Inquiry(_)
            | Notice::Loads(_) => {}
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
        let taken = self.finish_prompt(number, None, now)?;
        let taken_us = u32::try_from(taken.as_micros()).unwrap_or(u32::MAX);
        Some(Notice::Finished { number, taken_us })
    }

    /// Records that the prefill of a prompt has ended, now or this long after it was sent; returns that time.
    fn finish_prompt(
        &mut self,
        number: u64,
        taken: Option<Duration>,
        now: Moment,
    ) -> Option<Duration> {
        let prompt = self.prompts.remove(&number)?;
        let entry = self.entries.get_mut(prompt.key)?;
        let taken = taken.unwrap_or(now.since(prompt.at));
        let taken_ms = taken.as_secs_f64() * 1e3;
        let completed_at_ms = prompt.at.0 as f64 + taken_ms;
        entry.backlog.complete_prompt(
            prompt.prediction,
            prompt.overhead_ms,
            completed_at_ms,
            now.0 as f64,
        );
        // The time of a prompt that waited in the queue says little about the speed of the engine.
        if prompt.wait_ms < prompt.prompt_ms / 4.0 {
            entry.speed.record(prompt.wait_ms + prompt.prompt_ms + prompt.overhead_ms, taken_ms);
        }
        Some(taken)
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

    /// Applies a notice of an instance of an earlier build.
    fn apply_dispatch(&mut self, dispatch: &exchange::Dispatch, now: Moment) {
        let Some(key) = self.names.get(&dispatch.target).copied() else {
            return;
        };
        if !dispatch.parts.is_empty() {
            self.add_prompt(key, dispatch.number, &Work::from(dispatch), now);
        }
        if dispatch.output_tokens > 0 {
            self.add_output(key, dispatch.output_tokens, now);
        }
    }

    /// Counts a request of another instance. One that is counted already, since this instance has chosen its engines, is moved
    /// if it went elsewhere.
    pub(super) fn apply_placement(&mut self, placement: &load::Placement, now: Moment) {
        let key = |target: &name::Target| self.names.get(target).copied();
        let (prefill, target) = (key(placement.prefill()), key(&placement.target));
        let counted = self.prompts.get(&placement.number).map(|prompt| prompt.key);
        if counted.is_some() && counted == prefill {
            return;
        }
        drop(self.cancel_prompt(placement.number, now));
        if let Some(key) = prefill {
            let work = Work::from(placement);
            let prompt_us = work.prompt_us.min(self.prompt_us(key, work.parts));
            self.add_prompt(key, placement.number, &Work { prompt_us, ..work }, now);
        }
        if let Some(key) = target {
            self.add_output(key, placement.output_tokens, now);
        }
    }

    /// Expected prefill time of a prompt at an engine, in microseconds. The sender of a request may not know what the engine
    /// has cached.
    fn prompt_us(&self, key: Key, parts: &[Part]) -> u32 {
        let Some(entry) = self.entries.get(key) else {
            return u32::MAX;
        };
        let tokens: u64 = parts.iter().map(|part| u64::from(part.tokens)).sum();
        let cached = entry.cache.prefix_tokens(parts).min(tokens);
        microseconds(entry.speed.prompt_ms(entry.target.stage, tokens - cached, cached))
    }

    /// Counts the stream of another instance's request at the engine that decodes.
    fn add_output(&mut self, key: Key, output_tokens: u32, now: Moment) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let now_ms = now.0 as f64;
        let running = entry.backlog.running(now_ms);
        let output_ms = speed::output_ms(u64::from(output_tokens), running);
        entry.backlog.add_remote_request(entry.backlog.wait_ms(now_ms) + output_ms, now_ms);
    }

    /// Adds a prompt to the models of the target that prefills it.
    fn add_prompt(&mut self, key: Key, number: u64, work: &Work<'_>, now: Moment) {
        let expired = |prompt: &Prompt| now.since(prompt.at) > PROMPT_TTL;
        if self.prompts.len() >= MAX_PROMPTS {
            self.prompts.retain(|_, prompt| !expired(prompt));
        }
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let now_ms = now.0 as f64;
        let prompt_ms = f64::from(work.prompt_us) / 1e3;
        let wait_ms = entry.backlog.wait_ms(now_ms);
        let prediction = entry.backlog.add_prompt(prompt_ms, now_ms);
        entry.cache.add_pending(work.parts);
        let overhead_ms = f64::from(work.overhead_us) / 1e3;
        let prompt = Prompt { key, prediction, wait_ms, prompt_ms, overhead_ms, at: now };
        self.prompts.insert(number, prompt);
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
