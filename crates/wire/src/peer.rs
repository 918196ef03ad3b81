//! The service that daemons offer each other.

use common::name;
use serde::{Deserialize, Serialize};

use crate::spread;

/// Version of this protocol; daemons that differ in it refuse each other.
pub const VERSION: u32 = 1;

/// Who a peer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Protocol version, see [`VERSION`].
    pub version: u32,
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
}

/// What callers offered to one service at one instance since the instance's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// Requests that arrived, the refused ones included.
    pub requests: u64,
    /// Their prompt tokens.
    pub prompt_tokens: u64,
    /// Requests that were answered to the end.
    pub answered: u64,
    /// Output tokens of those.
    pub output_tokens: u64,
}

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Returns who the callee is.
    async fn identify() -> Identity;

    /// Returns what the asker lacks of a branch, at once if there is anything, else after `wait_ms`.
    async fn pull(have: spread::Have, wait_ms: u64) -> spread::Update;

    /// Returns the versions in force.
    async fn in_force() -> Vec<spread::Have>;
}
