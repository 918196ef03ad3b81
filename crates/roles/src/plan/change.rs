//! Planned changes with their reasons and payoff.

use common::role::Role;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{capacity::Mix, fleet, pool};

/// A change of one engine's role that pays.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{from} to {to}: {payoff}")]
pub struct Change {
    /// The engine.
    pub engine: fleet::Key,
    /// Its pool.
    pub pool: pool::Key,
    /// Its role until now.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// Why it pays.
    pub payoff: Payoff,
}

/// Why a pool makes no further change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// The pool.
    pub pool: pool::Key,
    /// Its engines by role once all decided changes have ended.
    pub mix: Mix,
    /// The reason.
    pub reason: Reason,
}

/// What a change gains and costs over the horizon, in points.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Serialize, Deserialize)]
#[display("gain {gain:.0}, lost during the change {lost:.0}, price {price:.0}")]
pub struct Payoff {
    /// Weighted goodput gained after the change.
    pub gain: f64,
    /// Weighted goodput lost while the engine changes.
    pub lost: f64,
    /// The deployment's price for a change.
    pub price: f64,
}

/// Why no further change is made.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Reason {
    /// No report is recent enough.
    #[display("demand is unknown")]
    UnknownDemand,
    /// No single change would serve more.
    #[display("no change would serve more")]
    Balanced,
    /// The best change doesn't pay.
    #[display("best change doesn't pay: {_0}")]
    NotWorth(Payoff),
    /// The change that pays would break a floor.
    #[display("floor of engines for a role: {_0}")]
    Floor(Payoff),
    /// The engines that could make the change changed too recently.
    #[display("engines changed too recently: {_0}")]
    Dwell(Payoff),
    /// As many engines change as may at once.
    #[display("{limit} changes at once reached: {payoff}")]
    Limit {
        /// The bound.
        limit: u32,
        /// Payoff of the change that waits.
        payoff: Payoff,
    },
}

impl Payoff {
    /// Gain less the costs.
    pub fn net(&self) -> f64 {
        self.gain - self.lost - self.price
    }

    /// Whether the gain exceeds the costs by the factor `margin`.
    pub fn pays(&self, margin: f64) -> bool {
        self.gain > (self.lost + self.price) * margin
    }
}
