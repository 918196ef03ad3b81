//! The file of an instance that finds the others from seeds.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::instance::Log;

/// Settings of an instance that finds the others from seeds. `seeds` and `log` may change while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Seeded {
    /// Name of the instance.
    #[schemars(length(min = 1))]
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where callers connect (HTTP); the instance serves callers where it is given.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether the instance takes callers (HTTP).
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub readiness: Option<SocketAddr>,
    /// Where targets announce themselves and operators call (HTTP); the instance keeps state where it is given.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub control: Option<SocketAddr>,
    /// Where the other instances connect; all instances use the same port.
    #[schemars(extend("format" = "ip-port"))]
    pub peers_listen: SocketAddr,
    /// Where the other instances reach this one, if that is not `peers_listen` but a proxy before it.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub peers_address: Option<SocketAddr>,
    /// Control addresses of instances to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Folder for all files of the instance; needed with `control`.
    #[serde(default)]
    pub data_folder: Option<String>,
    /// Whether the fleet starts for the first time, so that the seeds begin the replicated log.
    #[serde(default)]
    pub founding: bool,
    /// Usual time between announcements of a target, in milliseconds.
    #[serde(default = "Seeded::default_announcement_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub announcement_ms: u64,
    /// Bounds on requests that are sent to a target once more.
    #[serde(default)]
    pub retries: Retries,
    /// Engines of models.
    #[serde(default)]
    pub engines: Engines,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Longest wait for answers to end at a graceful stop, in seconds.
    #[serde(default = "Seeded::default_stop_s")]
    #[schemars(range(min = 1, max = 86_400))]
    pub stop_s: u64,
}

/// Bounds on requests that all instances together send once more to the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Length of the window that is counted, in seconds.
    #[schemars(range(min = 1, max = 3_600))]
    pub window_s: u64,
    /// Repeats for each request in the window.
    #[schemars(range(min = 0, max = 10))]
    pub ratio: f64,
    /// Repeats in the window beside those.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub slack: f64,
}

/// What engines do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// Share of a service's engines that compute prompts for the others.
    #[schemars(range(min = 0, max = 1))]
    pub prompt_share: f64,
    /// Time in which orders of two instances must not take turns, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    pub turn_ms: u64,
}

impl Default for Engines {
    fn default() -> Engines {
        Engines { prompt_share: 0.68, turn_ms: 3_000 }
    }
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { window_s: 10, ratio: 0.2, slack: 20.0 }
    }
}

impl Seeded {
    fn default_announcement_ms() -> u64 {
        1_000
    }

    fn default_stop_s() -> u64 {
        8
    }
}
