//! Commands of the log.

use serde::{Deserialize, Serialize};

use crate::{claim, declaration, dissolution, drain, intent, lease, time};

/// A command of a branch's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Counts time.
    Advance(time::Advance),
    /// Changes the branch's declarations.
    Declare(declaration::Request),
    /// Asks for the right to order in a data centre.
    Grant(lease::Grant),
    /// Prolongs the right to order.
    Renew(lease::Renew),
    /// Gives the right to order back.
    Release(lease::Release),
    /// Records an order before it is sent.
    Open(intent::Open),
    /// Records the outcome of an order.
    Settle(intent::Settle),
    /// Claims a call that may not be repeated.
    Claim(claim::Begin),
    /// Records the answer of a claimed call.
    Finish(claim::Finish),
    /// Gives a claim back whose call was certainly not sent.
    Abandon(claim::Abandon),
    /// Records that the outcome of a claimed call can't be known.
    MarkLost(claim::MarkLost),
    /// Marks a target as wanted drained.
    Drain(drain::Set),
    /// A step of a dissolution.
    Dissolve(dissolution::Step),
    /// Takes over a claim from the instance that handed the call on.
    TakeOver(claim::TakeOver),
}
