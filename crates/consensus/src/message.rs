//! Messages between the replicas of one log.

use serde::{Deserialize, Serialize};

use crate::{
    entry::{Entry, Position},
    member::{Config, Id},
};

/// A message with its sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Id,
    /// The receiver; any other identity drops the message.
    pub to: Id,
    /// The sender's term; for [`Body::PreVote`] and a granted reply to it, the term that is asked about.
    pub term: u64,
    /// The message.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election could be won; changes nothing at the receiver.
    PreVote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// End of the sender's log.
        last: Position,
        /// What led to the election.
        cause: ElectionCause,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append(Append),
    /// Answers [`Body::Append`], and [`Body::SnapshotChunk`] once the snapshot is in force.
    AppendReply(AppendReply),
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers [`Body::SnapshotChunk`].
    SnapshotChunkReply {
        /// Last entry of the snapshot.
        last: Position,
        /// Bytes received without gaps.
        received: u64,
    },
    /// Asks the receiver to start an election at once, since the leader wants to hand over.
    TimeoutNow,
}

/// What led to an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionCause {
    /// The leader was not heard from.
    Timeout,
    /// The leader asked for it.
    LeadershipTransfer,
}

/// Entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first of `entries`.
    pub previous: Position,
    /// Entries in order, without gaps.
    pub entries: Vec<Entry>,
    /// Index up to which the leader knows entries to be committed.
    pub commit: u64,
    /// Number that the reply repeats, so that the leader can tell what it confirms.
    pub round: u64,
}

/// Answers entries from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The round of the message that is answered; 0 if it had none.
    pub round: u64,
    /// Whether the entries were taken.
    pub outcome: AppendOutcome,
}

/// Whether entries were taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The sender's log equals the leader's up to this index, durably.
    Accepted {
        /// The index.
        match_index: u64,
    },
    /// The sender's log lacks the entry before them.
    Rejected {
        /// Index of the entry that is lacking.
        previous_index: u64,
        /// Where the logs may still agree.
        hint: Position,
    },
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry of the snapshot.
    pub last: Position,
    /// The members at that entry.
    pub config: Config,
    /// Where `data` begins in the encoded state, in bytes.
    pub offset: u64,
    /// Length of the whole encoded state, in bytes.
    pub total: u64,
    /// The part.
    pub data: Vec<u8>,
}
