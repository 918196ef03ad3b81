//! Entries and snapshots as they are stored, and what recovery returns.

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Index, from 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index and term.
    pub position: Position,
    /// Encoded content, opaque to this crate.
    pub payload: Vec<u8>,
}

/// The state after applying all entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Position of the last entry that the state includes.
    pub last: Position,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// What was on disk when a log was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The latest hard state (term, vote and other state that must survive a restart), if any.
    pub hard_state: Option<Vec<u8>>,
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
