//! Why the daemon doesn't start, each with what to do.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};

/// Why the daemon doesn't start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Files of settings are wrong.
    #[display("{_0}")]
    Settings(settings::error::Faults),
    /// The settings of a service are wrong.
    #[display("the tree has a service whose settings are wrong: {_0}")]
    Tree(serde_json::Error),
    /// An address can't be listened on.
    #[display(
        "can't listen on {address} for {purpose}: {cause}; change the address or stop what uses it"
    )]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The data folder can't be made.
    #[display(
        "can't use the data folder {path}: {cause}; change `data_folder` or the folder's rights"
    )]
    #[from(ignore)]
    DataFolder {
        /// The folder.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The file of spans can't be written.
    #[display("can't write spans to {path}: {cause}; change `spans.file`")]
    #[from(ignore)]
    Spans {
        /// The file.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The declarations kept in the data folder can't be used.
    #[display("{_0}; check `data_folder`")]
    Declarations(spread::disk::Error),
    /// A replica can't start.
    #[display("{_0}")]
    Replica(replica::error::Error),
    /// The settings name replicas and no folder for them.
    #[display("`replicas` are named and `data_folder` is not; name a folder on a disk")]
    #[from(ignore)]
    NoDataFolder,
    /// No file of settings is named.
    #[display("no settings: give `--settings FILE` or set DAISYDRUM_CONFIG")]
    #[from(ignore)]
    NoSettings,
    /// The process lacks a thread or another resource.
    #[display("can't start a thread: {_0}")]
    Thread(std::io::Error),
}
