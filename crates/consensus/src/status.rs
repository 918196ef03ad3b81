//! What a node shows of itself.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    entry::Position,
    member::{Config, Id},
};

/// Part that a replica plays.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a node shows of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its identity.
    pub id: Id,
    /// The part that it plays.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Id>,
    /// Index up to which entries are known to be committed.
    pub commit: u64,
    /// End of its log.
    pub last: Position,
    /// The members.
    pub config: Config,
    /// Whether no change of the members is under way and a new one may be proposed here.
    pub settled: bool,
    /// Entries that each peer lacks; only a leader knows.
    pub lags: Vec<Lag>,
}

/// How far a peer is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The peer.
    pub id: Id,
    /// Entries that it lacks, or has not confirmed.
    pub entries: u64,
}
