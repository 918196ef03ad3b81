//! The error type of the commands.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};

use crate::exit;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The daemon can't be reached, or its response was not received.
    #[display(
        "call to {address} failed: {cause}; check that the daemon is running and that this is its control address"
    )]
    #[from(ignore)]
    Unreachable {
        /// The daemon's control address.
        address: SocketAddr,
        /// What went wrong.
        cause: std::io::Error,
    },
    /// The daemon refused the command.
    #[display("refused: {reason}")]
    #[from(ignore)]
    Refused {
        /// The daemon's reason.
        reason: String,
    },
    /// The command may have been executed.
    #[display("outcome unknown: {reason}")]
    #[from(ignore)]
    OutcomeUnknown {
        /// What failed, and how to send the command again.
        reason: String,
    },
    /// The command line is invalid.
    #[display("{problem}")]
    #[from(ignore)]
    Usage {
        /// What is invalid.
        problem: String,
    },
    /// Files of declarations or of a scenario are invalid.
    #[display("the files are invalid:\n{_0}")]
    Settings(settings::error::Faults),
    /// A file can't be read or written.
    #[display("{path}: {cause}")]
    #[from(ignore)]
    File {
        /// The file.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
}

impl Error {
    /// The exit code of the command that fails with this error.
    pub fn exit(&self) -> u8 {
        match self {
            Error::Usage { .. } => exit::USAGE,
            Error::OutcomeUnknown { .. } => exit::OUTCOME_UNKNOWN,
            _ => exit::REFUSED,
        }
    }
}
