//! What a request occupies at the instance.

use memory::budget::{Reservation, Running};

/// What a request occupies while it is served.
#[derive(Debug)]
pub(crate) struct Held {
    /// Memory of its head and body.
    pub(crate) _reservation: Reservation,
    /// Keeps its connection from being closed for others.
    pub(crate) _running: Option<Running>,
}
