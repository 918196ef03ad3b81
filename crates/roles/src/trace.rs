//! Recorded demand of one pool, step by step.

pub mod generate;

use serde::{Deserialize, Serialize};

use crate::capacity::{Mix, Rates, Work};

/// Demand of one pool over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// Name of the trace.
    pub name: String,
    /// Length of a step in seconds; a change of role takes one step.
    pub step_s: u64,
    /// Engines of the pool.
    pub engines: u32,
    /// The steps in order.
    pub steps: Vec<Step>,
}

/// What arrived in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Requests.
    pub requests: f64,
    /// Their prompt tokens.
    pub prompt_tokens: f64,
    /// Part of the prompt tokens that was found in a prefix cache.
    #[serde(default)]
    pub cached_tokens: f64,
    /// Their output tokens.
    pub output_tokens: f64,
}

impl Step {
    /// The work offered during the step, in engines.
    pub fn work(&self, rates: Rates, step_s: f64) -> Work {
        let prefill = (self.prompt_tokens - self.cached_tokens) / step_s;
        Work::new(prefill, self.output_tokens / step_s, rates)
    }
}

impl Trace {
    /// Length of a step in seconds.
    pub fn step_seconds(&self) -> f64 {
        std::time::Duration::from_secs(self.step_s).as_secs_f64()
    }

    /// The work of each step.
    pub fn work_by_step(&self, rates: Rates) -> Vec<Work> {
        self.steps.iter().map(|step| step.work(rates, self.step_seconds())).collect()
    }

    /// Requests answered in time when each step has the mix of the same place.
    pub fn goodput(&self, mixes: &[Mix], rates: Rates) -> f64 {
        self.steps
            .iter()
            .zip(mixes)
            .map(|(step, mix)| {
                step.requests
                    * mix.headroom(rates).served_share(step.work(rates, self.step_seconds()))
            })
            .sum()
    }

    /// The division into prefill and decode engines that fits the average demand, one of each at least.
    pub fn average_split(&self, rates: Rates) -> Mix {
        let total = self.work_by_step(rates).into_iter().fold(Work::default(), |sum, work| Work {
            prefill: sum.prefill + work.prefill,
            decode: sum.decode + work.decode,
        });
        let share = total.prefill / (total.prefill + total.decode).max(f64::MIN_POSITIVE);
        let prefill = round(f64::from(self.engines) * share).clamp(1, self.engines.max(2) - 1);
        Mix { prefill, decode: self.engines - prefill.min(self.engines), mixed: 0 }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of engines fits"
)]
fn round(value: f64) -> u32 {
    value.round() as u32
}
