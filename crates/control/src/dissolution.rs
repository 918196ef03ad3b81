//! The steps by which a branch leaves the venture.
//!
//! Each step is a command; `daisyctl dissolve` reads the phase of each branch and asks for the next step, so it can
//! be stopped and started again anywhere.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::declaration::Author;

/// What a detached branch's fencing numbers grow by at once.
///
/// It is above any index that a log reaches, so that numbers of the new authority are higher than all of the old
/// one, even if the branch is later started from an export in a new log.
pub const FENCING_STRIDE: u64 = 1 << 40;

/// A step of a dissolution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Who asks.
    pub author: Author,
    /// Name of the dissolution; all steps carry the same.
    pub plan: String,
    /// What to do.
    pub action: Action,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Takes no more changes of declarations, if the version is still the planned one. Serving goes on.
    Freeze {
        /// The version that the plan was made for.
        version: u64,
    },
    /// Gives the plan up before the branch was detached; written-out defaults stay.
    Thaw,
    /// Writes the venture's defaults out into the branch.
    WriteOut,
    /// Gives the branch an identity of its own and higher fencing numbers, and voids its leases.
    Detach {
        /// The new identity.
        identity: String,
    },
    /// Ends the venture's own branch, once all others are detached.
    Close,
}

/// How far a branch's dissolution has come.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Part of the venture.
    #[default]
    #[display("joint")]
    Joint,
    /// Takes no more changes of declarations.
    #[display("frozen by {plan}")]
    Frozen {
        /// The dissolution.
        plan: String,
    },
    /// The venture's defaults are written out.
    #[display("written out by {plan}")]
    WrittenOut {
        /// The dissolution.
        plan: String,
    },
    /// On its own.
    #[display("detached by {plan}")]
    Detached {
        /// The dissolution.
        plan: String,
    },
    /// Ended.
    #[display("closed by {plan}")]
    Closed {
        /// The dissolution.
        plan: String,
    },
}

/// Who a branch is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name among all ventures; empty while it belongs to one.
    pub name: String,
    /// Added to the index of a grant to get its fencing number.
    pub fencing_base: u64,
}

/// The answer to a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The branch is in the phase that the step leads to, now or since before.
    Done {
        /// The phase.
        phase: Phase,
        /// The version in force.
        version: u64,
    },
    /// The step doesn't follow from the branch's phase.
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
