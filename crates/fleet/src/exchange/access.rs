//! What instances tell each other of the processes of targets.

use std::net::SocketAddr;

use common::name;
use serde::{Deserialize, Serialize};

use crate::registry::Target;

/// A process of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Name of the target.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Start of the process, in milliseconds since the Unix epoch by the target's clock.
    pub started_unix_ms: u64,
}

impl From<&Target> for Process {
    fn from(target: &Target) -> Process {
        let Target { name, address, started_unix_ms, .. } = target;
        Process { target: name.clone(), address: *address, started_unix_ms: *started_unix_ms }
    }
}

/// Whether a target's process accepts the connections of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// The instance doesn't know the process, or no connection was made in time.
    Unknown,
    /// It accepts them.
    Accepted,
    /// It refuses them, and no other target of its service is known to accept one.
    Refused,
    /// It refuses them, and another target of its service accepts one.
    RefusedAlone,
    /// A later process has taken its place.
    Replaced,
}
