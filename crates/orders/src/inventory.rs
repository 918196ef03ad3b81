//! The engines of the data centre, as they announce themselves.

use std::{net::SocketAddr, time::Duration};

use common::name;
use wire::target::Fencing;

use crate::limiter;

/// Gives the executor the announced engines and the limits on loads.
pub trait Inventory {
    /// The engines of the data centre whose announcements have not expired.
    fn engines(&self) -> Vec<Engine>;

    /// How many loads of models the weight store can serve.
    fn load_limits(&self) -> limiter::Limits;
}

/// An announced engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: name::Target,
    /// Where it accepts orders.
    pub address: SocketAddr,
    /// Increases each time its process starts.
    pub incarnation: u64,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
    /// Longest time for its streams to end before a change is abandoned.
    pub drain_limit: Duration,
}
