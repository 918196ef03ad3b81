//! Planned role changes with their payoff, and reasons against further ones.

use common::role::Role;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{capacity::Mix, fleet, pool};

/// A role change of one engine whose gain exceeds its costs.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{from} to {to}: {payoff}")]
pub struct Change {
    /// The engine that changes.
    pub engine: fleet::Key,
    /// Its pool.
    pub pool: pool::Key,
    /// Its current role.
    pub from: Role,
    /// Its new role.
    pub to: Role,
    /// Expected gain and costs.
    pub payoff: Payoff,
}

/// State of a pool after the planned changes, and why it makes no further one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolState {
    /// The pool.
    pub pool: pool::Key,
    /// Its engines by role once all planned changes have ended.
    pub mix: Mix,
    /// Why it makes no further change.
    pub reason: Reason,
}

/// Gain and costs of a change over the planning horizon, in points: a request that is answered in time counts as many
/// points as the service's weight of goodput.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Serialize, Deserialize)]
#[display("gain {gain:.0}, lost during the change {lost:.0}, price {price:.0}")]
pub struct Payoff {
    /// Gain of weighted goodput after the change.
    pub gain: f64,
    /// Loss of weighted goodput while the engine changes.
    pub lost: f64,
    /// Price of a change, by the service's settings.
    pub price: f64,
}

/// Reason against a further change.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Reason {
    /// No demand report is recent enough.
    #[display("demand is unknown")]
    UnknownDemand,
    /// No single change would increase the goodput.
    #[display("no change would increase the goodput")]
    Balanced,
    /// The best change doesn't pay.
    #[display("the best change doesn't pay: {_0}")]
    NotWorth(Payoff),
    /// The best change that pays would leave fewer engines for a role than its floor.
    #[display("the change would leave fewer engines for a role than its floor: {_0}")]
    Floor(Payoff),
    /// No engine that could make the best change that pays is past its dwell time. Engines that an earlier change of
    /// the plan took don't count.
    #[display("no engine that could change is past its dwell time: {_0}")]
    Dwell(Payoff),
    /// The limit on concurrent changes is reached.
    #[display("limit of {limit} concurrent changes reached: {payoff}")]
    Limit {
        /// Maximum number of concurrent changes.
        limit: u32,
        /// Payoff of the change that has to wait.
        payoff: Payoff,
    },
}

impl Payoff {
    /// Gain minus costs.
    pub fn net(&self) -> f64 {
        self.gain - self.lost - self.price
    }

    /// Whether the gain exceeds the costs by the factor `margin`.
    pub fn pays(&self, margin: f64) -> bool {
        self.gain > (self.lost + self.price) * margin
    }
}
