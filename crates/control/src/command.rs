//! Commands of the log.

use serde::{Deserialize, Serialize};

use crate::{claim, declaration, dissolution, drain, intent, lease, time};

/// A command of a branch's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Advances the log's time.
    Advance(time::Advance),
    /// Changes the branch's declarations.
    Declare(declaration::Request),
    /// Asks for the lease of a data centre.
    Grant(lease::Grant),
    /// Extends a lease by another term.
    Renew(lease::Renew),
    /// Gives a lease back before its term ends.
    Release(lease::Release),
    /// Records an order before it is sent.
    Open(intent::Open),
    /// Records the outcome of an order.
    Settle(intent::Settle),
    /// Claims a call that must run at most once.
    Claim(claim::Begin),
    /// Records the answer of a claimed call.
    Finish(claim::Finish),
    /// Drops the claim of a call that certainly did not run.
    Abandon(claim::Abandon),
    /// Records that it can't be known whether a claimed call ran.
    MarkLost(claim::MarkLost),
    /// Marks a target for draining or removes the mark.
    Drain(drain::Set),
    /// Performs a step of a dissolution.
    Dissolve(dissolution::Step),
    /// Transfers a claim from the instance that forwarded the call.
    TakeOver(claim::TakeOver),
}
