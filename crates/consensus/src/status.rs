//! Observable state of a node.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    entry::Position,
    member::{Config, Id},
};

/// Raft role of a replica.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
pub enum Role {
    /// Replicates from a leader, or waits for one.
    Follower,
    /// Asks with pre-votes whether an election could be won.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// Observable state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the replica.
    pub id: Id,
    /// Its role.
    pub role: Role,
    /// Its current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Id>,
    /// Commit index: entries up to it are known to be committed.
    pub commit: u64,
    /// Position of the last entry of its log.
    pub last: Position,
    /// The newest configuration in its log, committed or not.
    pub config: Config,
    /// Whether this replica leads and accepts a new membership change.
    pub settled: bool,
    /// Lag of each other member; empty unless this replica leads.
    pub lags: Vec<Lag>,
}

/// Replication lag of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The peer.
    pub id: Id,
    /// Entries of the leader's log that it lacks or has not confirmed.
    pub entries: u64,
}
