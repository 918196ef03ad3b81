//! What targets say of themselves in their responses.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a response of a target says about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether the target leaves.
    pub leaving: bool,
    /// Time for which it wants no requests from this instance.
    pub retry_after: Option<Duration>,
    /// Requests that it takes from all instances together; `None` for any number.
    pub limit: Option<Rate>,
}

/// A rate of requests, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(pub u64);

impl Rate {
    /// The rate of this many requests a second; `None` if the number is negative or not finite.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is checked to be finite and not negative, and the cast saturates"
    )]
    pub fn from_per_second(requests: f64) -> Option<Rate> {
        (requests.is_finite() && requests >= 0.0).then_some(Rate((requests * 1e3) as u64))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}
