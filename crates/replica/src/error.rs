//! Errors of starting a replica.

use common::name;
use derive_more::{Display, Error};

/// Why a replica can't start.
#[derive(Debug, Display, Error)]
#[display("the replica of branch {branch} can't start: {cause}")]
pub struct Error {
    /// The branch.
    pub branch: name::Branch,
    /// The cause.
    #[error(source)]
    pub cause: Cause,
}

/// Cause of an [`struct@Error`].
#[derive(Debug, Display, Error, derive_more::From)]
pub enum Cause {
    /// The log can't be opened.
    #[display("{_0}")]
    Store(store::error::Error),
    /// The folder can't be opened or locked, or a thread can't be started.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The hard state, an entry or a snapshot can't be decoded, since another version of the program wrote it.
    #[display("the log on disk was written by another version and can't be decoded: {_0}")]
    LogFormat(postcard::Error),
    /// The state machine can't decode the snapshot, since another version of the program wrote it.
    #[display("the snapshot was written by another version and can't be decoded: {_0}")]
    SnapshotFormat(#[error(not(source))] String),
}
