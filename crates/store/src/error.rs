//! Errors of opening or writing a log.

use std::io;

use derive_more::{Display, Error, From};

/// Why a log can't be opened or written.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An operation of the operating system failed.
    #[display("{_0}")]
    Io(io::Error),
    /// Data that was synced is missing or changed; a torn write can't explain it.
    #[display(
        "{file} is damaged at byte {offset}: {corruption}; copy the folder for later analysis, then empty it: \
         the replica joins again under a new identity and gets the log from the others"
    )]
    #[from(ignore)]
    Corrupt {
        /// File name, relative to the folder.
        file: String,
        /// Offset of the first invalid record, in bytes.
        offset: u64,
        /// What is wrong.
        corruption: Corruption,
    },
    /// An earlier write or sync failed, so it is unknown what is on disk. The log must be opened again.
    #[display(
        "an earlier write to the log failed, so the log must be opened again before it is used"
    )]
    Poisoned,
}

/// What is wrong with a file or a sequence of files.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Corruption {
    /// An invalid record is followed by a valid one.
    #[display("an invalid record is followed by a valid one")]
    BeforeGood,
    /// Records that were synced are missing at the end.
    #[display("synced records are missing")]
    Short,
    /// A segment or snapshot file is missing.
    #[display("the file is missing")]
    Missing,
    /// The checksum or index of a snapshot doesn't match.
    #[display("the snapshot's checksum or index does not match")]
    Checksum,
    /// An entry's index doesn't follow the previous entry's or the snapshot's.
    #[display("an entry's index does not follow the previous one")]
    Gap,
}
