//! The operators' API: JSON over HTTP on a daemon's control listener.

pub mod branch;

use common::{name, role::Role};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::target;

/// Path of the daemon's view of itself and of the targets (`GET`).
pub const STATUS_PATH: &str = "/v1/status";
/// Path that returns 200 while the process is alive (`GET`).
pub const HEALTH_PATH: &str = "/health";
/// Path that returns 200 while the instance accepts callers (`GET`).
pub const READY_PATH: &str = "/ready";
/// Path of the metrics in the Prometheus text format (`GET`).
pub const METRICS_PATH: &str = "/metrics";

/// A daemon's view of itself and of the targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that responded.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Whether it accepts callers.
    pub ready: bool,
    /// The targets it knows, by name.
    pub targets: Vec<Target>,
    /// Orders and roles, if the instance holds the lease of its data centre.
    #[serde(default)]
    pub orders: Option<Orders>,
}

/// Orders and roles of a data centre, as the holder of its lease sees them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing token of the lease.
    pub fencing: u64,
    /// Pools with their roles, their demand and the reason given by the last plan.
    pub pools: Vec<Pool>,
    /// Orders in progress.
    pub open: Vec<Order>,
    /// Number of proposals that wait to become orders.
    pub waiting: usize,
    /// Orders that ended, newest first.
    pub ended: Vec<Order>,
}

/// The engines of one service in the data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// Number of engines by current role.
    pub current: Mix,
    /// Number of engines by role once all changes that were decided are complete.
    pub intended: Mix,
    /// Requests per second, if the demand is known.
    pub requests: Option<f64>,
    /// Prompt tokens per second that are not cached.
    pub prefill_tokens: Option<f64>,
    /// Output tokens per second.
    pub decode_tokens: Option<f64>,
    /// Why no further change is planned, with figures.
    pub reason: String,
}

/// Number of engines by role.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{prefill}/{decode}/{mixed}")]
pub struct Mix {
    /// Engines that prefill only.
    pub prefill: u32,
    /// Engines that decode only.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

/// An order to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub target: name::Target,
    /// What the engine is ordered to do.
    pub action: String,
    /// Why, with figures.
    pub reason: String,
    /// `open`, or how it ended.
    pub state: String,
}

/// A target as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// The partner that owns it.
    pub partner: name::Partner,
    /// The service it runs for.
    pub service: name::Service,
    /// The data centre it is in.
    pub data_centre: name::DataCentre,
    /// What it serves.
    pub kind: target::Kind,
    /// Current role.
    pub role: Role,
    /// Whether it accepts new work.
    pub phase: target::Phase,
    /// Models that it can serve.
    pub models: Vec<String>,
    /// Requests that this daemon has sent to it and that have not ended.
    pub outstanding: u32,
}

/// Body of every error response of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What was wrong and what to do.
    pub error: String,
}
