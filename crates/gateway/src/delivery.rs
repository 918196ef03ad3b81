//! Memory of whole responses on their way to callers, bounded for all callers together.
//!
//! A response counts until its last byte was accepted by the kernel or its connection has ended. One that finds no room
//! waits; room is made by closing the connections of callers that have taken nothing for longest. A caller that takes
//! its response is never among them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use common::{clock::Moment, collections::Map};
use entry::body::Body;
use hyper::Response;
use memory::{
    budget::{Budget, Reservation},
    ledger::Class,
};
use slog::{Logger, info};
use tokio::{sync::Notify, time};

use crate::{activity::Activity, state::ms};

/// A caller that has taken nothing for this time may be disconnected to make room for other responses.
pub const MIN_STALL: Duration = Duration::from_secs(1);
/// Smaller responses are not counted once they are handed over: all connections together hold little with them.
const MIN_COUNTED_BYTES: usize = 8 * 1024;

/// A response on its way to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsent {
    /// The response.
    pub key: u64,
    /// Bytes that it holds.
    pub bytes: usize,
    /// When its caller last took a part of it, or when it was handed over.
    pub taken_at: Moment,
}

/// What happens to a response that is ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is delivered.
    Deliver,
    /// It waits until one of these, whose callers are to be disconnected, has left.
    Disconnect(Vec<u64>),
    /// It waits for a change, for this time at most.
    Wait(Duration),
}

/// Decides on a response of `bytes` beside those on their way, which may have `limit` bytes together.
pub fn decide(unsent: &[Unsent], bytes: usize, limit: usize, now: Moment) -> Decision {
    let used: usize = unsent.iter().map(|unsent| unsent.bytes).sum();
    // A response larger than all of the memory is delivered once it is alone.
    let mut excess = (used + bytes).saturating_sub(limit);
    if excess == 0 || unsent.is_empty() {
        return Decision::Deliver;
    }
    let mut oldest_first = unsent.to_vec();
    oldest_first.sort_by_key(|unsent| (unsent.taken_at, unsent.key));
    let mut stalled = Vec::new();
    for unsent in oldest_first {
        let stall = now.since(unsent.taken_at);
        if excess == 0 {
            break;
        }
        if stall < MIN_STALL {
            if stalled.is_empty() {
                return Decision::Wait(MIN_STALL - stall);
            }
            break;
        }
        excess = excess.saturating_sub(unsent.bytes);
        stalled.push(unsent.key);
    }
    Decision::Disconnect(stalled)
}

/// The responses on their way to callers.
#[derive(Clone, Debug)]
pub(crate) struct Table(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    memory: Budget,
    state: Mutex<State>,
    /// Notified when a response has left.
    left: Notify,
}

#[derive(Debug, Default)]
struct State {
    last_key: u64,
    entries: Map<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    handed_over_at: Moment,
    activity: Activity,
}

/// Bytes of a response, which count until they are dropped.
#[derive(Debug)]
struct Counted {
    bytes: Bytes,
    key: u64,
    table: Table,
    _reservation: Reservation,
}

impl Table {
    /// No responses yet; they may hold the share of a class of this budget.
    pub(crate) fn new(memory: Budget) -> Table {
        let state = Mutex::default();
        Table(Arc::new(Shared { memory, state, left: Notify::new() }))
    }

    /// Counts a response that is about to be handed over to its caller's connection, once there is room for it.
    pub(crate) async fn admit(
        &self,
        mut response: Response<Body>,
        activity: &Activity,
        log: &Logger,
    ) -> Response<Body> {
        let Body::Whole(Some(bytes)) = response.body() else {
            return response;
        };
        if bytes.len() < MIN_COUNTED_BYTES {
            return response;
        }
        let bytes = bytes.clone();
        let key = loop {
            let left = self.0.left.notified();
            tokio::pin!(left);
            // Responses that leave before the wait begins are noticed, too.
            left.as_mut().enable();
            let limit = match self.try_admit(bytes.len(), activity, log) {
                Ok(key) => break key,
                Err(limit) => limit,
            };
            // It checks again in either case.
            let _elapsed = time::timeout(limit, left).await;
        };
        let mut reservation = self.reserve(&mut response, bytes.len()).await;
        reservation.set_sheddable(Some(activity.connection().clone()));
        let counted = Counted { bytes, key, table: self.clone(), _reservation: reservation };
        *response.body_mut() = Body::whole(Bytes::from_owner(counted));
        response
    }

    /// Moves the memory of a response that was read to those that are unread, or waits for memory.
    async fn reserve(&self, response: &mut Response<Body>, bytes: usize) -> Reservation {
        let held = response.extensions_mut().remove::<Arc<Reservation>>().and_then(Arc::into_inner);
        if let Some(mut reservation) = held {
            reservation.reclassify(Class::Unread);
            return reservation;
        }
        let mut reservation = self.0.memory.reservation(Class::Unread);
        // Closes stalled connections until there is room.
        while reservation.grow(bytes).await.is_err() {}
        reservation
    }

    /// Counts a response; the time after which to try again if there is no room.
    fn try_admit(&self, bytes: usize, activity: &Activity, log: &Logger) -> Result<u64, Duration> {
        let now = Moment::now();
        let mut state = self.state();
        match decide(&state.unsent(), bytes, self.0.memory.class_limit(), now) {
            Decision::Deliver => {
                state.last_key += 1;
                let key = state.last_key;
                let entry = Entry { bytes, handed_over_at: now, activity: activity.clone() };
                state.entries.insert(key, entry);
                Ok(key)
            }
            Decision::Disconnect(keys) => {
                for entry in keys.iter().filter_map(|key| state.entries.get(key)) {
                    if entry.activity.disconnect() {
                        metrics::counter!("daisydrum_callers_disconnected_total").increment(1);
                        info!(log, "caller_disconnected"; "unread_bytes" => entry.bytes,
                            "ms" => ms(now.since(entry.taken_at())));
                    }
                }
                Err(MIN_STALL)
            }
            Decision::Wait(limit) => Err(limit),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn unsent(&self) -> Vec<Unsent> {
        let unsent = |(key, entry): (&u64, &Entry)| Unsent {
            key: *key,
            bytes: entry.bytes,
            taken_at: entry.taken_at(),
        };
        self.entries.iter().map(unsent).collect()
    }
}

impl Entry {
    fn taken_at(&self) -> Moment {
        self.handed_over_at.max(self.activity.written_at())
    }
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.table.state().entries.remove(&self.key);
        self.table.0.left.notify_waiters();
    }
}
