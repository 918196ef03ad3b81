//! Demand in tokens a second by pool, with its uncertainty.

pub mod estimator;

use serde::{Deserialize, Serialize};

use crate::pool;

/// What is asked of each pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// One load for each pool, by [`crate::pool::Key`]; `None` where no report is recent enough.
    pub loads: Vec<Option<Load>>,
}

impl Demand {
    /// The load of a pool, if it is known.
    pub fn load(&self, key: pool::Key) -> Option<&Load> {
        self.loads.get(key.index())?.as_ref()
    }
}

/// What is asked of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests a second.
    pub requests: f64,
    /// Prompt tokens a second that are not found in a prefix cache.
    pub prefill: Estimate,
    /// Output tokens a second.
    pub decode: Estimate,
    /// How long the demand is expected to stay as it is, in seconds.
    pub persistence_s: f64,
    /// Demand of the last hour, which it may come back to.
    pub past: Vec<Sample>,
}

/// Demand at a time that has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Requests a second.
    pub requests: f64,
    /// Prompt tokens a second that were not found in a prefix cache.
    pub prefill: f64,
    /// Output tokens a second.
    pub decode: f64,
}

/// A rate with its uncertainty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Expected value.
    pub mean: f64,
    /// Standard deviation of the rate in one interval of the reports, the error of `mean` included.
    pub deviation: f64,
}

impl Estimate {
    /// The value `deviations` standard deviations from the mean, at least 0.
    pub fn at(&self, deviations: f64) -> f64 {
        (self.mean + deviations * self.deviation).max(0.0)
    }
}
