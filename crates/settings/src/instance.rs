//! Settings file of one instance: its name, data centre, addresses, replicas and peers.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of one instance, read once at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name of the instance.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for callers (HTTP).
    #[schemars(extend("format" = "ip-port"))]
    pub callers: SocketAddr,
    /// Address for announcements of targets and calls of operators (HTTP).
    #[schemars(extend("format" = "ip-port"))]
    pub control: SocketAddr,
    /// Address for connections of the other instances.
    #[schemars(extend("format" = "ip-port"))]
    pub peers_listen: SocketAddr,
    /// The other instances.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Folder for all files of the instance; required with `replicas`.
    #[serde(default)]
    pub data_folder: Option<String>,
    /// Replicated logs that this instance keeps a replica of; requires `data_folder`.
    #[serde(default)]
    pub replicas: Vec<Replica>,
    /// Folder of the tree's declarations, loaded at the start if no instance keeps a replicated log.
    #[serde(default)]
    pub tree: Option<String>,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
    /// Tracing spans.
    #[serde(default)]
    pub spans: Spans,
    /// Longest wait for streams to end on graceful shutdown, in seconds.
    #[serde(default = "Instance::default_stop_s")]
    #[schemars(range(min = 1, max = 86_400))]
    pub stop_s: u64,
}

impl Instance {
    fn default_stop_s() -> u64 {
        300
    }
}

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the instance.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Its `peers_listen` address, or that of a proxy in front of it.
    #[schemars(extend("format" = "ip-port"))]
    pub address: SocketAddr,
    /// Branches whose log it keeps a replica of.
    #[serde(default)]
    pub replicas: Vec<String>,
}

/// A replica of one branch's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The branch: `venture` or a partner's name.
    pub branch: String,
    /// How the replica starts if its folder is empty.
    #[serde(default)]
    pub start: Start,
}

/// How a replica starts if its folder is empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Start {
    /// One of the initial replicas of a new log; each lists all the others as peers.
    #[default]
    Founder,
    /// Joins an existing log as a learner with a new identity.
    Learner,
}

/// Log lines of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lowest level that is written.
    pub level: Level,
    /// Maximum lines of level `debug` per second; further ones are dropped and counted. Other levels are not limited.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub details_per_s: u64,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: Level::Info, details_per_s: 400 }
    }
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Details for developers.
    Debug,
    /// Events of ordinary operation.
    #[default]
    Info,
    /// Something that an operator may have to look at.
    Warning,
    /// Something that an operator has to look at.
    Error,
}

/// Tracing spans of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Spans {
    /// File that spans are appended to as OTLP JSON lines; without it, no spans are written.
    pub file: Option<String>,
}
