//! Demand of each pool in tokens per second, with its uncertainty.

pub mod estimator;

use serde::{Deserialize, Serialize};

use crate::pool;

/// Demand of all pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Load of each pool, indexed by [`crate::pool::Key`]; `None` if no report is recent enough.
    pub loads: Vec<Option<Load>>,
}

impl Demand {
    /// The load of a pool, if it is known.
    pub fn load(&self, key: pool::Key) -> Option<&Load> {
        self.loads.get(key.index())?.as_ref()
    }
}

/// Demand of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second that aren't in a prefix cache.
    pub prefill: Estimate,
    /// Output tokens per second.
    pub decode: Estimate,
    /// Expected time until the demand shifts to another level, in seconds.
    pub persistence_s: f64,
    /// Demand of the last hour, as a sample of the levels that it may shift to.
    pub past: Vec<Sample>,
}

/// Mean demand of a past period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second that weren't in a prefix cache.
    pub prefill: f64,
    /// Output tokens per second.
    pub decode: f64,
}

/// A rate with its uncertainty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Expected value.
    pub mean: f64,
    /// Standard deviation of the rate in one report interval, including the error of `mean`.
    pub deviation: f64,
}

impl Estimate {
    /// The value `deviations` standard deviations from the mean, at least 0.
    pub fn at(&self, deviations: f64) -> f64 {
        (self.mean + deviations * self.deviation).max(0.0)
    }
}
