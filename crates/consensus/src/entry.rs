//! Log entries and snapshots of the state machine.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::member::Config;

/// Approximate size of an entry without its command, in memory and on the wire.
const OVERHEAD_BYTES: usize = 32;

/// Index and term of an entry; compared with [`Position::is_as_up_to_date_as`] in elections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Index, from 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
}

impl Position {
    /// Whether a log that ends here is at least as up-to-date as one that ends at `other` (Ongaro's dissertation,
    /// section 3.6.1).
    pub fn is_as_up_to_date_as(self, other: Position) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; the first entry of each leader.
    Empty,
    /// A command for the state machine. Copies of an entry share it.
    Command(Bytes),
    /// The configuration that applies from this entry on, committed or not.
    Config(Config),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index and term.
    pub position: Position,
    /// The content.
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

/// The state after applying all entries up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Position of the last entry that the state includes.
    pub last: Position,
    /// The configuration at that entry.
    pub config: Config,
    /// The encoded state.
    pub data: Arc<Vec<u8>>,
}
