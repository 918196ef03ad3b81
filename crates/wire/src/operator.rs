//! The operators' interface, as JSON over HTTP on a daemon's control listener.

pub mod branch;

use common::{name, role::Role};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::target;

/// Path of the daemon's view of itself and of the targets (`GET`).
pub const STATUS_PATH: &str = "/v1/status";
/// Path that answers 200 while the process works (`GET`).
pub const HEALTH_PATH: &str = "/health";
/// Path that answers 200 while the instance takes callers (`GET`).
pub const READY_PATH: &str = "/ready";
/// Path of the metrics in the Prometheus text form (`GET`).
pub const METRICS_PATH: &str = "/metrics";

/// A daemon's view of itself and of the targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answered.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Whether it takes callers.
    pub ready: bool,
    /// The targets it knows, by name.
    pub targets: Vec<Target>,
    /// Orders and roles, where the instance holds the lease of its data centre.
    #[serde(default)]
    pub orders: Option<Orders>,
}

/// Orders and roles of a data centre, as the holder of its lease sees them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing number of the lease.
    pub fencing: u64,
    /// Pools with their roles, demand and the reason of the last plan.
    pub pools: Vec<Pool>,
    /// Orders under way.
    pub open: Vec<Order>,
    /// What waits to become an order.
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
    /// Engines by current role.
    pub current: Mix,
    /// Engines by role once all decided changes have ended.
    pub intended: Mix,
    /// Requests a second, if the demand is known.
    pub requests: Option<f64>,
    /// Prompt tokens a second that are not cached.
    pub prefill_tokens: Option<f64>,
    /// Output tokens a second.
    pub decode_tokens: Option<f64>,
    /// Why no further change is made, with figures.
    pub reason: String,
}

/// Engines by role.
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
    /// What it is told.
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
    /// The data centre it stands in.
    pub data_centre: name::DataCentre,
    /// What it serves.
    pub kind: target::Kind,
    /// Current role.
    pub role: Role,
    /// Whether it takes new work.
    pub phase: target::Phase,
    /// Models that it can serve.
    pub models: Vec<String>,
    /// Requests this daemon has sent and not seen the end of.
    pub outstanding: u32,
}

/// Body of every refusal by the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What was wrong and what to do.
    pub error: String,
}
