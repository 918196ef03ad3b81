//! Why a log can't be opened or written.

use std::io;

use derive_more::{Display, Error, From};

/// A fault of the log.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The operating system refused an operation.
    #[display("{_0}")]
    Io(io::Error),
    /// A file holds bytes that were never written, at a place that a torn write can't explain.
    #[display(
        "{file} is damaged at byte {offset}: {corruption}; keep a copy of the folder, empty it, and the replica is \
         replaced by the others"
    )]
    #[from(ignore)]
    Corrupt {
        /// Name of the file in the folder.
        file: String,
        /// Offset of the first bad byte or record.
        offset: u64,
        /// What was found.
        corruption: Corruption,
    },
    /// An earlier write or sync failed, so what is on disk is not known; only a restart helps.
    #[display(
        "an earlier write failed, and nothing more is acknowledged until the process restarts"
    )]
    Poisoned,
}

/// What makes a file damaged.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Corruption {
    /// A bad record stands before good ones.
    #[display("a bad record stands before good ones")]
    BeforeGood,
    /// Synced records are missing from the end.
    #[display("synced records are missing")]
    Short,
    /// A file of the sequence is missing.
    #[display("a file of the sequence is missing")]
    Missing,
    /// The checksum of a snapshot doesn't match.
    #[display("the checksum does not match")]
    Checksum,
    /// An index doesn't follow the one before.
    #[display("an index does not follow the one before")]
    Gap,
}
