//! Replies to the commands of the log.

use serde::{Deserialize, Serialize};

use crate::{claim, declaration, dissolution, drain, intent, lease, time};

/// The reply to a [`crate::command::Command`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To an advance of the log's time.
    Time(time::Reply),
    /// To a change of declarations.
    Declaration(declaration::Reply),
    /// To a command about leases.
    Lease(lease::Reply),
    /// To a command about intents.
    Intent(intent::Reply),
    /// To a command about claims.
    Claim(claim::Reply),
    /// To a change of a drain mark.
    Drain(drain::Reply),
    /// To a step of a dissolution.
    Dissolution(dissolution::Reply),
}
