//! Memory of a stream whose caller takes its events slowly or not at all.

use entry::event::{Event, Splitter};
use memory::{
    budget::{Exhausted, Reservation},
    ledger::Class,
};
use tokio::sync::mpsc;

use crate::{request::Pending, stream::run::Abandoned};

/// Less is not counted: a queue of small events is small.
const MIN_COUNTED_BYTES: usize = 1024;
/// Buffers grow by doubling, and an event keeps the whole buffer that it arrived in.
const BUFFER_FACTOR: usize = 2;

/// Counts what is split into events, which is held for as long as the caller takes none.
pub(super) struct Held {
    reservation: Reservation,
}

impl Held {
    pub(super) fn new(request: &Pending) -> Held {
        let mut reservation = request.gateway.memory.reservation(Class::Responses);
        reservation.set_sheddable(request.connection.clone());
        Held { reservation }
    }

    /// Counts the bytes that have arrived and are not split yet.
    ///
    /// # Errors
    ///
    /// Fails if no memory is left for them.
    pub(super) async fn count(&mut self, splitter: &Splitter) -> Result<(), Exhausted> {
        let bytes = splitter.len();
        let counted = if bytes < MIN_COUNTED_BYTES { 0 } else { BUFFER_FACTOR * bytes };
        if counted == self.reservation.bytes() {
            return Ok(());
        }
        self.reservation.grow(counted).await
    }
}

/// Counts an event until the caller has taken it. Without room it waits, as for a queue that is full: stalled callers are
/// disconnected meanwhile.
///
/// # Errors
///
/// Fails if the driver of the stream has ended.
pub(super) async fn hold<T>(
    request: &Pending,
    event: Event,
    updates: &mpsc::Sender<T>,
) -> Result<Event, Abandoned> {
    if event.0.len() < MIN_COUNTED_BYTES {
        return Ok(event);
    }
    let mut reservation = request.gateway.memory.reservation(Class::Unread);
    reservation.set_sheddable(request.connection.clone());
    while reservation.grow(BUFFER_FACTOR * event.0.len()).await.is_err() {
        if updates.is_closed() {
            return Err(Abandoned);
        }
    }
    Ok(Event(reservation.attach(event.0)))
}
