//! Recorded or generated demand of one pool over time.

pub mod generate;

use serde::{Deserialize, Serialize};

use crate::capacity::{Mix, Rates, Work};

/// Demand of one pool, in steps of equal length.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// Name of the trace.
    pub name: String,
    /// Length of a step in seconds; in the simulation, a role change takes one step.
    pub step_s: u64,
    /// Number of engines of the pool.
    pub engines: u32,
    /// The steps in order.
    pub steps: Vec<Step>,
}

/// Requests that arrived in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of requests.
    pub requests: f64,
    /// Prompt tokens of all requests.
    pub prompt_tokens: f64,
    /// Prompt tokens that were in a prefix cache.
    #[serde(default)]
    pub cached_tokens: f64,
    /// Output tokens of all requests.
    pub output_tokens: f64,
}

impl Step {
    /// The offered work, in engines; `step_s` is the length of the step in seconds.
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

    /// The offered work of each step, in engines.
    pub fn work_by_step(&self, rates: Rates) -> Vec<Work> {
        self.steps.iter().map(|step| step.work(rates, self.step_seconds())).collect()
    }

    /// Number of requests answered in time when each step is served by the mix with the same index.
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

    /// The number of prefill and decode engines in proportion to the average work, at least one of each.
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
