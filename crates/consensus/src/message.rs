//! Messages between the replicas of one log, with the names of the Raft dissertation where it has them.

use serde::{Deserialize, Serialize};

use crate::{
    entry::{Entry, Position},
    member::{Config, Id},
};

/// A message with sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Id,
    /// The receiver. A replica with any other identity drops the message.
    pub to: Id,
    /// The sender's term; for [`Body::PreVote`] and a granted reply to it, the term of the possible election.
    pub term: u64,
    /// The content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender; doesn't change the receiver's state.
    PreVote {
        /// End of the sender's log.
        last: Position,
    },
    /// Reply to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// End of the sender's log.
        last: Position,
        /// Why the election was started.
        cause: ElectionCause,
    },
    /// Reply to [`Body::Vote`].
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat when there are none.
    Append(Append),
    /// Reply to [`Body::Append`], and to the last [`Body::SnapshotChunk`] once the snapshot is installed.
    AppendReply(AppendReply),
    /// Part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Reply to [`Body::SnapshotChunk`].
    SnapshotChunkReply {
        /// Last entry of the snapshot.
        last: Position,
        /// Bytes received so far, without gaps.
        received: u64,
    },
    /// Tells the receiver to start an election at once, to complete a leadership transfer.
    TimeoutNow,
}

/// Why an election was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionCause {
    /// The election timeout elapsed without a message from the leader.
    Timeout,
    /// The leader sent [`Body::TimeoutNow`]. Replicas then vote even though they still hear from that leader.
    LeadershipTransfer,
}

/// Entries from the leader (AppendEntries).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Position of the entry directly before `entries`.
    pub previous: Position,
    /// Consecutive entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: u64,
    /// Number that the reply repeats; a reply confirms the leadership for all reads of rounds up to it.
    pub round: u64,
}

/// Reply to entries or to a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Round of the message replied to; 0 if it had none.
    pub round: u64,
    /// Whether the entries were appended.
    pub outcome: AppendOutcome,
}

/// Whether entries were appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The sender's log matches the leader's up to this index and is durable up to it.
    Accepted {
        /// Index of the last matching entry.
        match_index: u64,
    },
    /// The sender's log doesn't contain the entry at [`Append::previous`].
    Rejected {
        /// Index of that entry.
        previous_index: u64,
        /// Last position at which the logs may match, so that the leader can skip whole terms.
        hint: Position,
    },
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry of the snapshot.
    pub last: Position,
    /// The configuration at that entry.
    pub config: Config,
    /// Offset of `data` in the encoded state, in bytes.
    pub offset: u64,
    /// Length of the whole encoded state, in bytes.
    pub total: u64,
    /// Bytes of the encoded state from `offset` on.
    pub data: Vec<u8>,
}
