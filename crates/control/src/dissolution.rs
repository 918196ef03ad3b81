//! The steps by which a branch leaves the venture.
//!
//! Each step is a command. `daisyctl dissolve` reads the phase of each branch and submits the next step, so it can be
//! interrupted and restarted at any point.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::declaration::Author;

/// Increase of a branch's fencing tokens when it is detached.
///
/// It is above any index that a log reaches, so that every fencing token after the step is higher than all before
/// it, even if the branch is later started from an export in a new log.
pub const FENCING_STRIDE: u64 = 1 << 40;

/// A step of a dissolution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Who asks.
    pub author: Author,
    /// Name of the dissolution, the same in all its steps.
    pub plan: String,
    /// What to do.
    pub action: Action,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Refuses further changes of declarations, if `version` is still in force. Requests are served as before.
    Freeze {
        /// The version that the plan was made for.
        version: u64,
    },
    /// Cancels the dissolution before the branch is detached; defaults that were written out stay.
    Thaw,
    /// Copies the venture's defaults into the branch's own declarations.
    WriteOut,
    /// Gives the branch an identity of its own and higher fencing tokens, and makes its leases void.
    Detach {
        /// The new identity.
        identity: String,
    },
    /// Closes the venture's own branch, once all others are detached.
    Close,
}

/// How far the dissolution of a branch has progressed.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The branch is part of the venture.
    #[default]
    #[display("joint")]
    Joint,
    /// The branch refuses changes of declarations.
    #[display("frozen by {plan}")]
    Frozen {
        /// The dissolution.
        plan: String,
    },
    /// The branch's declarations contain the venture's defaults.
    #[display("written out by {plan}")]
    WrittenOut {
        /// The dissolution.
        plan: String,
    },
    /// The branch has left the venture.
    #[display("detached by {plan}")]
    Detached {
        /// The dissolution.
        plan: String,
    },
    /// The venture's own branch is closed.
    #[display("closed by {plan}")]
    Closed {
        /// The dissolution.
        plan: String,
    },
}

/// Identity of a branch, on its own or as part of a venture.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the branch after it was detached; empty while it is part of a venture.
    pub name: String,
    /// Added to a grant's index in the log to get the fencing token of the lease.
    pub fencing_base: u64,
}

/// The reply to a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The branch is in the phase that the step leads to, or was already past it.
    Done {
        /// The phase.
        phase: Phase,
        /// The version in force.
        version: u64,
    },
    /// The step is not allowed in the branch's phase, or belongs to another dissolution.
    Refused {
        /// The phase.
        phase: Phase,
        /// The version in force.
        version: u64,
    },
}

impl Phase {
    /// The dissolution that the phase belongs to.
    pub fn plan(&self) -> Option<&str> {
        match self {
            Phase::Joint => None,
            Phase::Frozen { plan }
            | Phase::WrittenOut { plan }
            | Phase::Detached { plan }
            | Phase::Closed { plan } => Some(plan),
        }
    }
}
