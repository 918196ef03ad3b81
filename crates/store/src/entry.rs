//! What a log holds.

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Index, from 1.
    pub index: u64,
    /// Term of the leader that made the entry.
    pub term: u64,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// Its payload.
    pub payload: Vec<u8>,
}

/// The state after all entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub last: Position,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// What was found on disk when a log was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The hard state written last, if any.
    pub hard_state: Option<Vec<u8>>,
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
