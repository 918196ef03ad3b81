//! Events and effects: input and output of [`Node::step`](crate::node::Node::step).

use common::clock::Moment;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    entry::{Entry, Position, Snapshot},
    member::{self, Change, Config, Id, Member},
    message::Envelope,
};

/// Number that the driver gives to a proposal, change or read, to match it with the effects that concern it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// A command to append to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Number that the effects repeat.
    pub operation: OperationId,
    /// The command.
    pub command: Vec<u8>,
}

/// Input of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; expected several times in each heartbeat interval.
    Tick,
    /// A message has arrived.
    Receive(Envelope),
    /// Commands to append to the log together.
    Propose(Vec<Proposal>),
    /// A membership change.
    Change(OperationId, Change),
    /// A linearizable read: it must see everything accepted before it.
    Read(OperationId),
    /// All writes up to this number are durable.
    Synced(u64),
    /// Transfer the leadership to a voter.
    TransferLeadership(Id),
    /// The driver has taken a snapshot; entries that it includes may be dropped.
    Compact(Snapshot),
}

/// Output of a step. The driver must carry out effects in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write to disk, and report [`Event::Synced`] once the write is durable.
    Write(Write),
    /// Send a message, but not before the write `after` is durable.
    Send {
        /// Number of the write to wait for; 0 to send at once.
        after: u64,
        /// The message.
        envelope: Envelope,
    },
    /// Replace the state machine by a snapshot.
    Restore(Snapshot),
    /// Apply committed entries to the state machine, in order.
    Apply(Vec<Entry>),
    /// A proposal or change was appended at this position; it is accepted if the entry applied there has this term.
    Appended(OperationId, Position),
    /// A read may be answered once the entry at this index has been applied.
    Readable(OperationId, u64),
    /// A proposal, change or read was refused and had no effect.
    Refused(OperationId, Refusal),
}

/// Data that must become durable together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Number of the write; each write adds one.
    pub number: u64,
    /// New hard state, if it changed.
    pub hard: Option<HardState>,
    /// A new snapshot. Entries after it are kept only if the log contains the snapshot's last entry.
    pub snapshot: Option<Snapshot>,
    /// New entries; the first one replaces all entries from its index on.
    pub entries: Vec<Entry>,
}

/// State that must survive a restart, besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of the replica.
    pub id: Id,
    /// Latest term seen.
    pub term: u64,
    /// The candidate that got this replica's vote in the term.
    pub vote: Option<Id>,
    /// The configuration before the first entry; empty for a replica that joins an existing log.
    pub founders: Config,
}

/// State from which a node is created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InitialState {
    /// The hard state.
    pub hard: HardState,
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// The current time.
    pub now: Moment,
}

/// Why a proposal, change or read was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This replica is not the leader, or stopped leading.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Member>,
    },
    /// Too many entries are uncommitted, a membership change or leadership transfer is in progress, or no entry of
    /// the leader's own term is committed yet.
    #[display("busy: uncommitted entries, a change or a transfer must complete first")]
    Busy,
    /// The membership change is not possible.
    #[display("{_0}")]
    InvalidChange(#[error(source)] member::Error),
}
