//! What instances tell each other of the services that they don't reach.

use common::name;
use serde::{Deserialize, Serialize};

/// From which services' targets an instance is cut off; of two states of an instance the one with the later start, then
/// the higher number, holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// The instance.
    pub instance: name::Instance,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Grows with each state that the process publishes.
    pub number: u64,
    /// At most [`MAX_CUT_OFF`].
    pub cut_off: Vec<name::Service>,
}

/// Number of services in one [`Reach`], so that it fits into a datagram.
pub const MAX_CUT_OFF: usize = 32;
