//! Why a replica can't start.

use common::name;
use derive_more::{Display, Error};

/// Why a replica can't start.
#[derive(Debug, Display, Error)]
#[display("replica of {branch}: {cause}")]
pub struct Error {
    /// The branch.
    pub branch: name::Branch,
    /// The cause.
    #[error(source)]
    pub cause: Cause,
}

/// What went wrong.
#[derive(Debug, Display, Error, derive_more::From)]
pub enum Cause {
    /// The log can't be opened.
    #[display("{_0}")]
    Store(store::error::Error),
    /// A thread or folder can't be made.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The log was written by another version of the program.
    #[display("what is on disk can't be read by this version: {_0}")]
    LogFormat(postcard::Error),
    /// The snapshot was written by another version of the program.
    #[display("the snapshot can't be read by this version: {_0}")]
    SnapshotFormat(#[error(not(source))] String),
}
