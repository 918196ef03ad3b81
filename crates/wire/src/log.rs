//! Messages about the replicated logs.

use common::name;
use consensus::{
    member::{Config, Id},
    status::Status,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// How far an instance has got with its replica of a log.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The instance keeps no replica of the branch, or hasn't opened it yet.
    #[display("absent")]
    Absent,
    /// Will join the log, and is none of its first replicas.
    #[display("learner")]
    Learner,
    /// One of the first replicas, and the log hasn't begun as far as it knows.
    #[display("waiting")]
    Waiting(Id),
    /// One of the first replicas of the log, which began with these members.
    #[display("founded with {} members", _0.members().len())]
    Founded(Config),
    /// Joined the log later, or is about to.
    #[display("joined")]
    Joined,
}

/// What became of a command or question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The encoded reply or answer.
    Done(Vec<u8>),
    /// This replica doesn't lead, and the command left no trace.
    NotLeader {
        /// The instance whose replica leads, if known.
        leader: Option<name::Instance>,
    },
    /// The command certainly isn't in the log.
    Refused {
        /// Why.
        reason: String,
    },
    /// The command may be in the log.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// Why a command or question got no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The command is certainly not in the log, and the question was not answered.
    #[display("not accepted: {reason}")]
    NotAccepted {
        /// Why.
        reason: String,
    },
    /// The command may be in the log; ask again with the same request id.
    #[display("outcome unknown: {reason}")]
    Unknown {
        /// Why.
        reason: String,
    },
}

/// A change of the members of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A replica without state asks to be taken in.
    Join {
        /// Its identity.
        id: Id,
        /// Its instance.
        #[serde(rename = "place")]
        instance: name::Instance,
    },
    /// An operator puts the replica of one instance in the place of another's.
    Replace {
        /// The instance whose replica goes.
        old: name::Instance,
        /// The instance whose replica has asked to be taken in.
        new: name::Instance,
    },
}

/// The operators' path of the replicas as this instance sees them (`GET`).
pub const REPLICAS_PATH: &str = "/v1/replicas";

/// Body of an operator's call that replaces a replica (`POST` to [`REPLICAS_PATH`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The branch.
    pub branch: name::Branch,
    /// The instance whose replica goes.
    pub old: name::Instance,
    /// The instance whose replica takes its place.
    pub new: name::Instance,
}

/// A replica as an instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The branch.
    pub branch: name::Branch,
    /// The instance that keeps it.
    #[serde(rename = "place")]
    pub instance: name::Instance,
    /// Its own account, if it answered.
    pub status: Option<Status>,
}
