//! Answers to the commands of the log.

use serde::{Deserialize, Serialize};

use crate::{claim, declaration, dissolution, drain, intent, lease, time};

/// The answer to a [`crate::command::Command`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To an advance of the time.
    Time(time::Reply),
    /// To a change of declarations.
    Declaration(declaration::Reply),
    /// To a command on leases.
    Lease(lease::Reply),
    /// To a command on intents.
    Intent(intent::Reply),
    /// To a command on claims.
    Claim(claim::Reply),
    /// To a mark of a target.
    Drain(drain::Reply),
    /// To a step of a dissolution.
    Dissolution(dissolution::Reply),
}
