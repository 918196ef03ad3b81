//! The operators' interface, as JSON over HTTP on a daemon's control listener.

pub mod branch;

use common::{name, role::Role};
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
