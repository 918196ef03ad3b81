//! The file of one instance: its name, place, addresses, duties and peers.

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
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where callers connect (HTTP).
    #[schemars(extend("format" = "ip-port"))]
    pub callers: SocketAddr,
    /// Where targets announce themselves and operators call (HTTP).
    #[schemars(extend("format" = "ip-port"))]
    pub control: SocketAddr,
    /// Where the other instances connect.
    #[schemars(extend("format" = "ip-port"))]
    pub peers_listen: SocketAddr,
    /// The other instances.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Folder for all files of the instance; needed for the replica duty.
    #[serde(default)]
    pub data_folder: Option<String>,
    /// Replicated logs that this instance keeps a replica of; needs `data_folder`.
    #[serde(default)]
    pub replicas: Vec<Replica>,
    /// Folder of the tree's declarations, loaded at the start when no replicated log is set up anywhere.
    #[serde(default)]
    pub tree: Option<String>,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Spans.
    #[serde(default)]
    pub spans: Spans,
    /// Longest wait for streams to end at a graceful stop, in seconds.
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
    /// The data centre it stands in.
    pub data_centre: String,
    /// Its `peers_listen` address, or that of a proxy before it.
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
    /// How the replica starts when its folder is empty.
    #[serde(default)]
    pub start: Start,
}

/// How a replica starts when its folder is empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Start {
    /// One of the first replicas of a new log; all of them name each other as peers.
    #[default]
    Founder,
    /// Joins a log that exists, as a learner under a new identity.
    Learner,
}

/// Logs of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least level that is written.
    pub level: Level,
    /// Most lines of the level `debug` in a second; the rest is left out and counted. Others are always written.
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

/// Spans of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Spans {
    /// File that spans are appended to as OTLP JSON lines; no spans are written where it is left out.
    pub file: Option<String>,
}
