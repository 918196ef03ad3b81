//! Errors that keep the daemon from starting.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};

/// Why the daemon doesn't start; each message says what to change.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings or the tree are invalid.
    #[display("{_0}")]
    Settings(settings::error::Faults),
    /// The settings of a service in the tree are invalid.
    #[display("the tree has a service whose settings are invalid: {_0}")]
    Tree(serde_json::Error),
    /// An address can't be listened on.
    #[display(
        "can't listen on {address} for {purpose}: {cause}; change the address or stop what uses it"
    )]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What would listen there.
        purpose: &'static str,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The data folder can't be created.
    #[display("can't use the data folder {path}: {cause}; change `data_folder` or its permissions")]
    #[from(ignore)]
    DataFolder {
        /// The folder.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The file of trace spans can't be written.
    #[display("can't write spans to {path}: {cause}; change `spans.file`")]
    #[from(ignore)]
    Spans {
        /// The file.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The declarations stored in the data folder can't be read or written.
    #[display("{_0}; check `data_folder`")]
    Declarations(spread::disk::Error),
    /// A replica can't start.
    #[display("{_0}")]
    Replica(replica::error::Error),
    /// The settings name replicas but no data folder.
    #[display("`replicas` needs `data_folder`, which is not set; name a folder on a disk")]
    #[from(ignore)]
    NoDataFolder,
    /// No settings file is named.
    #[display("no settings file: give `--settings FILE` or set DAISYDRUM_CONFIG")]
    #[from(ignore)]
    NoSettings,
    /// The operating system refused a thread, a runtime or a signal handler.
    #[display("can't start a thread, a runtime or a signal handler: {_0}")]
    Thread(std::io::Error),
}
