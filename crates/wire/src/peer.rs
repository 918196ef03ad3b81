//! The service that daemons offer each other.

use common::name;
use serde::{Deserialize, Serialize};

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

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Returns who the callee is.
    async fn identify() -> Identity;
}
