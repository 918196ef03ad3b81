//! Why a command failed.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};

use crate::exit;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The daemon can't be reached or broke off.
    #[display("{address}: {cause}; is the daemon running, and is this its control address?")]
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
    /// The command may have been carried out.
    #[display("outcome unknown: {reason}")]
    #[from(ignore)]
    OutcomeUnknown {
        /// What was seen, and how to ask again.
        reason: String,
    },
    /// The command line was wrong.
    #[display("{problem}")]
    #[from(ignore)]
    Usage {
        /// What was wrong.
        problem: String,
    },
    /// Files of settings are wrong.
    #[display("settings are refused:\n{_0}")]
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
    /// The exit code that tells of the fault.
    pub fn exit(&self) -> u8 {
        match self {
            Error::Usage { .. } => exit::USAGE,
            Error::OutcomeUnknown { .. } => exit::OUTCOME_UNKNOWN,
            _ => exit::REFUSED,
        }
    }
}
