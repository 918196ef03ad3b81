//! Changes of a branch's declarations: requests, replies, and the records of the versions that they created.

pub mod history;
pub mod request;

use serde::{Deserialize, Serialize};
use settings::{delta::Delta, tree::Venture};

/// Who asks for a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The id that the operator gave the request; a resend with the same id gets the same reply.
    pub request: String,
    /// The operator.
    pub operator: String,
    /// Wall-clock time at the instance that received the request, in milliseconds since the Unix epoch. It is only
    /// shown to people; no decision depends on it.
    pub wall_ms: u64,
}

/// Asks for a change of the declarations. It is made only if `base` is still the version in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Who asks.
    pub author: Author,
    /// The version on which the change is based.
    pub base: u64,
    /// The change.
    pub change: Change,
}

/// A change of the declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's change.
    Apply(#[serde(with = "settings::text")] Delta),
    /// Replaces the venture's defaults in a partner's branch.
    Adopt {
        /// The venture's version.
        venture_version: u64,
        /// The venture's declarations at that version.
        #[serde(with = "settings::text")]
        venture: Venture,
    },
    /// Restores the declarations of an earlier version.
    Rollback {
        /// The version to restore.
        to: u64,
    },
}

/// The kind of change that created a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// An operator's change.
    Apply,
    /// The venture's defaults were replaced.
    Adopt {
        /// The venture's version.
        venture_version: u64,
    },
    /// Earlier declarations were restored.
    Rollback {
        /// The version that was restored.
        to: u64,
    },
    /// The venture's defaults were copied into the branch's own declarations for a dissolution.
    WriteOut,
}

/// How a version came about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version.
    pub version: u64,
    /// The kind of change that created it.
    pub cause: Cause,
    /// Who asked for the change.
    pub author: Author,
    /// Index of the change in the log.
    pub index: u64,
}

/// The reply to a request for a change of declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is accepted.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// The declarations are already as requested; no version is created.
    Unchanged {
        /// The version in force.
        version: u64,
    },
    /// The request's base is not the version in force.
    Conflict {
        /// The version in force.
        version: u64,
        /// The change that followed the request's base, or the latest change if that one is no longer kept.
        winner: Option<Record>,
    },
    /// The change is refused.
    Refused(Refusal),
}

/// Why a change is refused.
#[derive(
    Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum Refusal {
    /// The request id was already used for a different change.
    #[display("the request id was already used for a different change; use a new id")]
    RequestReused,
    /// The delta can't be applied to the branch's declarations.
    #[display("the change can't be applied to the branch's declarations: {problem}")]
    Mismatch {
        /// The reason.
        problem: String,
    },
    /// The version to restore is no longer kept, or never existed.
    #[display("version {version} is not kept; the oldest version that is kept is {oldest}")]
    NoVersion {
        /// The version.
        version: u64,
        /// The oldest version that can be restored.
        oldest: u64,
    },
    /// The branch already has this or a later version of the venture's defaults.
    #[display("version {version} of the venture's defaults is already in force")]
    OldVenture {
        /// The venture's version in force.
        version: u64,
    },
    /// The branch is frozen by a dissolution that is under way.
    #[display("the branch is frozen by dissolution {plan}")]
    Frozen {
        /// The dissolution.
        plan: String,
    },
    /// The venture's branch is closed by a dissolution, or a detached branch can't adopt its defaults any more.
    #[display("the branch is closed by dissolution {plan}")]
    Closed {
        /// The dissolution.
        plan: String,
    },
}
