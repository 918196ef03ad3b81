//! The lease as its holder counts it, on `CLOCK_BOOTTIME` from before it asked.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use common::clock::Moment;

/// The right to order until a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Index in the log of the grant.
    pub fencing: u64,
    /// End of the term on this machine's clock.
    pub until: Moment,
}

/// The lease shared between the executor and those that write orders.
#[derive(Clone, Debug, Default)]
pub struct Cell(Arc<Mutex<Option<Lease>>>);

impl Cell {
    /// Sets or prolongs the lease.
    pub fn set(&self, lease: Lease) {
        *self.lock() = Some(lease);
    }

    /// Gives the lease up at once.
    pub fn clear(&self) {
        *self.lock() = None;
    }

    /// The lease, if it is valid at `now`.
    pub fn valid(&self, now: Moment) -> Option<Lease> {
        (*self.lock()).filter(|lease| now < lease.until)
    }

    /// Whether orders under `fencing` may be written at `now`.
    pub fn permits(&self, fencing: u64, now: Moment) -> bool {
        self.valid(now).is_some_and(|lease| lease.fencing == fencing)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Lease>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
