//! Entries of the log and snapshots of the state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::member::Config;

/// Bytes that an entry takes in memory and on the wire besides its command.
const OVERHEAD_BYTES: usize = 32;

/// Index and term of an entry; ordered as logs are compared at an election.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Index, from 1.
    pub index: u64,
    /// Term of the leader that made the entry.
    pub term: u64,
}

impl Position {
    /// Whether a log that ends here is at least as complete as one that ends at `other`.
    pub fn is_as_up_to_date_as(self, other: Position) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from this entry on.
    Config(Config),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size, in bytes.
    pub fn size_bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            Payload::Empty | Payload::Config(_) => OVERHEAD_BYTES,
        }
    }
}

/// The state after all entries up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub last: Position,
    /// The members at that entry.
    pub config: Config,
    /// The encoded state.
    pub data: Arc<Vec<u8>>,
}
