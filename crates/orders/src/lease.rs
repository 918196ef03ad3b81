//! The lease as its holder measures it: on `CLOCK_BOOTTIME`, from before it asked.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use common::clock::Moment;

/// The right to send orders until the end of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token, which every order carries.
    pub fencing: u64,
    /// End of the term on this machine's clock.
    pub until: Moment,
}

/// The lease as shared by the executor, which sets it, and the connections that check it before each write.
#[derive(Clone, Debug, Default)]
pub struct Cell(Arc<Mutex<Option<Lease>>>);

impl Cell {
    /// Sets a new or renewed lease.
    pub fn set(&self, lease: Lease) {
        *self.lock() = Some(lease);
    }

    /// Removes the lease, so that nothing more is written under it.
    pub fn clear(&self) {
        *self.lock() = None;
    }

    /// The lease, if it is valid at `now`.
    pub fn valid(&self, now: Moment) -> Option<Lease> {
        (*self.lock()).filter(|lease| now < lease.until)
    }

    /// Whether orders with the fencing token `fencing` may be written at `now`.
    pub fn permits(&self, fencing: u64, now: Moment) -> bool {
        self.valid(now).is_some_and(|lease| lease.fencing == fencing)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Lease>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
