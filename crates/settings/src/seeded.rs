//! Settings file of an instance that discovers the others through seeds.

use std::net::{IpAddr, SocketAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::instance::Log;

/// Settings of an instance that discovers the others through seeds. `seeds` and `log` can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Seeded {
    /// Name of the instance.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for callers (HTTP); the instance serves callers only if it is set.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub callers: Option<SocketAddr>,
    /// Address where a load balancer checks whether the instance is ready for callers (HTTP).
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub readiness: Option<SocketAddr>,
    /// Address for announcements of targets and calls of operators (HTTP); the instance stores state only if it is set.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub control: Option<SocketAddr>,
    /// Address for connections of the other instances; all instances use the same port.
    #[schemars(extend("format" = "ip-port"))]
    pub peers_listen: SocketAddr,
    /// Address that the other instances connect to, if it differs from `peers_listen`, such as that of a proxy.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub peers_address: Option<SocketAddr>,
    /// Own address from which connections to targets are opened, for machines with several addresses; the operating system
    /// chooses one if it isn't set.
    #[serde(default)]
    #[schemars(extend("format" = "ip"))]
    pub targets_source: Option<IpAddr>,
    /// Control addresses of the instances that are contacted first to discover the others.
    pub seeds: Vec<SocketAddr>,
    /// Folder for all files of the instance; required with `control`.
    #[serde(default)]
    pub data_folder: Option<String>,
    /// Whether the fleet starts for the first time, in which case the seeds create the replicated log.
    #[serde(default)]
    pub founding: bool,
    /// Number of instances with `control` whose disks may be lost at the same time; at least `2 * tolerated_losses + 1`
    /// keep their vote when instances don't reply.
    #[serde(default = "Seeded::default_tolerated_losses")]
    #[schemars(range(min = 0, max = 50))]
    pub tolerated_losses: usize,
    /// Usual time between announcements of a target, in milliseconds.
    #[serde(default = "Seeded::default_announcement_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub announcement_ms: u64,
    /// Memory of the machine that the instance may use, in MB of 1,000,000 bytes. What it holds for callers, targets and
    /// peers, and the connections that it accepts, are limited to shares of it; see docs/operators/memory.md.
    #[serde(default = "Seeded::default_memory_mb")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub memory_mb: u64,
    /// Limits on retries.
    #[serde(default)]
    pub retries: Retries,
    /// Settings for engines.
    #[serde(default)]
    pub engines: Engines,
    /// Names of the operators' rules that are in force. With `pressure` less urgent requests give way to more urgent ones
    /// while the room of a service is short; other names have no effect.
    #[serde(default)]
    pub rules: Vec<String>,
    /// How soon revoked API keys must be refused; without it they are refused once the instance has the configuration
    /// that revokes them.
    #[serde(default)]
    pub revocation: Option<Revocation>,
    /// API of the operators' platform that takes usage reports and orders for targets; nothing is reported or ordered
    /// without it.
    #[serde(default)]
    pub platform_api: Option<PlatformApi>,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
    /// Longest wait for responses to finish on graceful shutdown, in seconds.
    #[serde(default = "Seeded::default_stop_s")]
    #[schemars(range(min = 1, max = 86_400))]
    pub stop_s: u64,
}

/// Limits on the retries that all instances together send to the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Length of the window in which requests and retries are counted, in seconds.
    #[schemars(range(min = 1, max = 3_600))]
    pub window_s: u64,
    /// Retries allowed for each request in the window.
    #[schemars(range(min = 0, max = 10))]
    pub ratio: f64,
    /// Retries allowed in the window in addition to those that `ratio` allows. An instance that restarts uses none of them for a
    /// window.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub slack: f64,
}

/// How soon revoked API keys must be refused.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Revocation {
    /// Time within which no instance accepts a revoked key, also while it is cut off from the others, in milliseconds.
    /// An instance that can't be sure that its keys are current refuses requests that need one.
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub limit_ms: u64,
}

/// Settings for engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// Share of a service's engines that prefill prompts for its other engines.
    #[schemars(range(min = 0, max = 1))]
    pub prompt_share: f64,
    /// Pause before an instance that takes over the right to send orders sends its first one, beyond the expiry of
    /// the previous claim, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    pub turn_ms: u64,
}

/// API of the operators' platform.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformApi {
    /// Address of the API (HTTP).
    #[schemars(extend("format" = "ip-port"))]
    pub address: SocketAddr,
    /// Calls that the API takes from all instances together, in a second.
    #[schemars(range(min = 0.1, max = 100_000))]
    pub calls_per_s: f64,
    /// Length of the windows for which usage is reported, in seconds.
    #[schemars(range(min = 0.5, max = 86_400))]
    pub usage_window_s: f64,
    /// Time after the end of a window by which its usage must be reported, in seconds.
    #[schemars(range(min = 1, max = 86_400))]
    pub usage_late_s: f64,
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
    fn default_tolerated_losses() -> usize {
        1
    }

    fn default_announcement_ms() -> u64 {
        1_000
    }

    fn default_memory_mb() -> u64 {
        256
    }

    fn default_stop_s() -> u64 {
        8
    }
}
