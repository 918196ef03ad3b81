//! What goes into a step and what comes out of it.

use common::clock::Moment;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    entry::{Entry, Position, Snapshot},
    member::{self, Change, Config, Id, Member},
    message::Envelope,
};

/// Number that the host gives to a proposal, change or read, to find it again in the effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// A command to be put into the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The host's number for it.
    pub operation: OperationId,
    /// The command.
    pub command: Vec<u8>,
}

/// What a node reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; due several times in each heartbeat interval.
    Tick,
    /// A message has arrived.
    Receive(Envelope),
    /// Commands to be put into the log together.
    Propose(Vec<Proposal>),
    /// A change of the members.
    Change(OperationId, Change),
    /// A read that must see everything accepted before it.
    Read(OperationId),
    /// All writes up to this number are durable.
    Synced(u64),
    /// Hand the leadership over to a voter.
    TransferLeadership(Id),
    /// The host has encoded the state; entries that it includes may be dropped.
    Compact(Snapshot),
}

/// What the host has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write to disk, then report [`Event::Synced`] once it is durable.
    Write(Write),
    /// Send a message, but not before the write of this number is durable; 0 means at once.
    Send {
        /// Number of the write to wait for.
        after: u64,
        /// The message.
        envelope: Envelope,
    },
    /// Replace the state by a snapshot.
    Restore(Snapshot),
    /// Apply committed entries to the state, in order.
    Apply(Vec<Entry>),
    /// A proposal or change was appended at this position; it is accepted if the entry applied there has this term.
    Appended(OperationId, Position),
    /// A read may be answered once the entry of this index has been applied.
    Readable(OperationId, u64),
    /// A proposal, change or read was not taken, and has left no trace.
    Refused(OperationId, Refusal),
}

/// What has to become durable together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Number of the write; grows by one with each.
    pub number: u64,
    /// New hard state.
    pub hard: Option<HardState>,
    /// A snapshot. Entries after it stay only if the log holds its last entry.
    pub snapshot: Option<Snapshot>,
    /// Entries; the first replaces everything from its index on.
    pub entries: Vec<Entry>,
}

/// State that must survive a restart besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of the replica.
    pub id: Id,
    /// Latest term seen.
    pub term: u64,
    /// Who got the vote of this term.
    pub vote: Option<Id>,
    /// The members before the first entry; empty for a replica that joins a log.
    pub founders: Config,
}

/// Everything that a node starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InitialState {
    /// The hard state.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// The time.
    pub now: Moment,
}

/// Why a proposal, change or read was not taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another replica leads, or none.
    #[display("not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Member>,
    },
    /// Too much is under way.
    #[display("busy")]
    Busy,
    /// The change can't be made.
    #[display("{_0}")]
    InvalidChange(#[error(source)] member::Error),
}
