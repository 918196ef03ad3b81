//! Declarations of a branch: versions, who made them, and the way back.

pub mod history;
pub mod request;

use serde::{Deserialize, Serialize};
use settings::{delta::Delta, tree::Venture};

/// Who asks for a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The operator's id of the request; a resend of the same id gets the same answer.
    pub request: String,
    /// The operator.
    pub operator: String,
    /// Wall-clock time of the instance that took the request, in milliseconds since the Unix epoch; for people only.
    pub wall_ms: u64,
}

/// Asks for a change of the declarations, which is made only if the version is still the one it was worked out
/// against.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Who asks.
    pub author: Author,
    /// The version that the change was worked out against.
    pub base: u64,
    /// The change.
    pub change: Change,
}

/// A change of the declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's change.
    Apply(#[serde(with = "settings::text")] Delta),
    /// Takes over the venture's defaults on a partner's branch.
    Adopt {
        /// The venture's version.
        venture_version: u64,
        /// The venture's declarations at that version.
        #[serde(with = "settings::text")]
        venture: Venture,
    },
    /// Returns to the declarations of an earlier version.
    Rollback {
        /// The version whose declarations come back.
        to: u64,
    },
}

/// What made a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// An operator's change.
    Apply,
    /// The venture's defaults were taken over.
    Adopt {
        /// The venture's version.
        venture_version: u64,
    },
    /// Earlier declarations came back.
    Rollback {
        /// The version they are from.
        to: u64,
    },
    /// The venture's defaults were written out for a dissolution.
    WriteOut,
}

/// A version and its author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version.
    pub version: u64,
    /// What made it.
    pub cause: Cause,
    /// Who made it.
    pub author: Author,
    /// Index in the log.
    pub index: u64,
}

/// The answer to a change of declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is accepted.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// The change changes nothing; the version stays.
    Unchanged {
        /// The version.
        version: u64,
    },
    /// Another change came first.
    Conflict {
        /// The version now.
        version: u64,
        /// The change that followed the operator's base, or the latest one where that is no longer kept.
        winner: Option<Record>,
    },
    /// The change can't be made.
    Refused(Refusal),
}

/// Why a change can't be made.
#[derive(
    Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum Refusal {
    /// The same request id came with another content before.
    #[display("the request id was used for another change")]
    RequestReused,
    /// The delta does not fit the branch.
    #[display("the change doesn't fit the branch: {problem}")]
    Mismatch {
        /// Why.
        problem: String,
    },
    /// The version is not kept any more, or never was.
    #[display("version {version} is not kept; the oldest is {oldest}")]
    NoVersion {
        /// The version.
        version: u64,
        /// The oldest version that can be returned to.
        oldest: u64,
    },
    /// The branch has these or later defaults of the venture already.
    #[display("venture version {version} is in force already")]
    OldVenture {
        /// The venture's version in force.
        version: u64,
    },
    /// The branch takes no change while a dissolution is carried out.
    #[display("the branch is frozen by dissolution {plan}")]
    Frozen {
        /// The dissolution.
        plan: String,
    },
    /// The branch belongs to a venture that was dissolved.
    #[display("the branch is closed by dissolution {plan}")]
    Closed {
        /// The dissolution.
        plan: String,
    },
}
