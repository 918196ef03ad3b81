//! Messages about the replicated logs.

use common::name;
use consensus::{
    member::{Config, Id},
    status::Status,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether and how an instance's replica belongs to its log.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The instance keeps no replica of the branch, or hasn't opened it yet.
    #[display("absent")]
    Absent,
    /// The replica will join an existing log; it is not one of the initial replicas.
    #[display("learner")]
    Learner,
    /// One of the initial replicas; it doesn't know yet whether the log has been bootstrapped.
    #[display("waiting")]
    Waiting(Id),
    /// One of the initial replicas; the log was bootstrapped with these members.
    #[display("founded with {} members", _0.members().len())]
    Founded(Config),
    /// The replica joined the log after its bootstrap, or is about to.
    #[display("joined")]
    Joined,
}

/// Outcome of a command, a query or a membership change that was sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; holds the encoded reply to the command or answer to the query.
    Done(Vec<u8>),
    /// The replica isn't the leader, and the command was not appended to the log.
    NotLeader {
        /// The instance of the leader, if known.
        leader: Option<name::Instance>,
    },
    /// The command is certainly not in the log.
    Refused {
        /// The reason.
        reason: String,
    },
    /// The command may be in the log.
    Unknown {
        /// The reason.
        reason: String,
    },
}

/// Why a command or query got no reply.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The command is certainly not in the log; a query was not answered.
    #[display("not accepted: {reason}")]
    NotAccepted {
        /// The reason.
        reason: String,
    },
    /// The command may be in the log; resend it with the same request id.
    #[display("outcome unknown: {reason}")]
    Unknown {
        /// The reason.
        reason: String,
    },
}

/// A change of the members of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A replica without state asks to join the log.
    Join {
        /// Its member id.
        id: Id,
        /// Its instance.
        #[serde(rename = "place")]
        instance: name::Instance,
    },
    /// An operator replaces the replica of one instance by that of another.
    Replace {
        /// The instance whose replica is removed.
        old: name::Instance,
        /// The instance whose replica has asked to join.
        new: name::Instance,
    },
    /// A replica that stops gives up its membership; it asks to join when it starts again.
    Leave {
        /// Its member id.
        id: Id,
    },
}

/// Path of the replicas as this instance sees them (`GET`), and of their replacement (`POST` of a [`Replacement`]).
pub const REPLICAS_PATH: &str = "/v1/replicas";

/// An operator's request to replace a replica (`POST` to [`REPLICAS_PATH`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The branch.
    pub branch: name::Branch,
    /// The instance whose replica is removed.
    pub old: name::Instance,
    /// The instance whose replica replaces it.
    pub new: name::Instance,
}

/// A replica as an instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The branch.
    pub branch: name::Branch,
    /// The instance that runs it. `place` is its name in the operators' API.
    #[serde(rename = "place")]
    pub instance: name::Instance,
    /// The status that it reports; `None` if the instance did not respond.
    pub status: Option<Status>,
}
