//! The engines of the data centre as announced.

use std::{net::SocketAddr, time::Duration};

use common::name;
use wire::target::Fencing;

use crate::limiter;

/// Where the executor gets the announced engines from.
pub trait Inventory {
    /// The engines of the data centre whose announcements count now.
    fn engines(&self) -> Vec<Engine>;

    /// How many loads the weight store takes.
    fn load_limits(&self) -> limiter::Limits;
}

/// An announced engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: name::Target,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Grows each time its process starts.
    pub incarnation: u64,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Longest wait for its streams to end before a change is put off.
    pub drain_limit: Duration,
}
