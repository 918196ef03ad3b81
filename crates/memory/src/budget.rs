//! The budget of a running instance, its connections and their reservations.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{cancel, clock::Moment, collections::Map};
use derive_more::{Display, Error};
use tokio::{sync::Notify, time};

use crate::{
    ledger::{self, Class, Holder, Ledger, PROGRESS_BYTES},
    size::Machine,
};

/// Longest wait for room. It is shorter than [`ledger::MIN_STALL`], so that nobody counts as stalled for having waited.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Memory of a machine where nothing is said of it, in MB.
const DEFAULT_MB: u64 = 256;

/// No room was found in time.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no memory is left")]
pub struct Exhausted;

/// Bytes and connections of an instance; clones share them.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    machine: Machine,
    state: Mutex<State>,
    /// Notified when bytes were given back.
    released: Notify,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    last_key: u64,
    connections: Map<u64, Arc<Entry>>,
}

#[derive(Debug)]
struct Entry {
    listener: &'static str,
    /// Bytes that closing the connection would free.
    sheddable: AtomicUsize,
    /// Requests that run.
    running: AtomicUsize,
    progressed_at: AtomicU64,
    /// Bytes since then.
    progress: AtomicUsize,
    closed: cancel::Token,
}

/// An accepted connection; clones share it.
#[derive(Clone, Debug)]
pub struct Connection(Arc<Registered>);

#[derive(Debug)]
struct Registered {
    entry: Arc<Entry>,
    key: u64,
    budget: Budget,
}

/// A request of a connection that runs until this is dropped.
#[derive(Debug)]
pub struct Running(Arc<Registered>);

/// Bytes that are held; dropping it gives them back.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    class: Class,
    bytes: usize,
    /// The connection whose end would free the bytes.
    sheddable: Option<Connection>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(Machine::new(DEFAULT_MB))
    }
}

impl Budget {
    /// The budget of an instance on a machine.
    pub fn new(machine: Machine) -> Budget {
        let ledger = Ledger::new(machine.held_bytes());
        let state = State { ledger, last_key: 0, connections: Map::default() };
        let shared = Shared { machine, state: Mutex::new(state), released: Notify::new() };
        Budget(Arc::new(shared))
    }

    /// The machine.
    pub fn machine(&self) -> Machine {
        self.0.machine
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.state().ledger.used()
    }

    /// Bytes that large holders of one class may use together.
    pub fn class_limit(&self) -> usize {
        self.state().ledger.class_limit()
    }

    /// Registers an accepted connection of a listener that may have `limit`. Where it has as many, the longest idle one is closed
    /// for the new one; nothing if all are in use.
    pub fn connect(&self, listener: &'static str, limit: usize) -> Option<Connection> {
        let now = Moment::now();
        let mut state = self.state();
        let open = state.connections.values().filter(|entry| entry.listener == listener);
        // One is closed for each new one; the tasks of those closed end soon.
        let open = open.filter(|entry| !entry.closed.is_cancelled()).count();
        if open >= limit && !state.close_idle(listener, now) {
            metrics::counter!("daisydrum_connections_refused_total", "listener" => listener)
                .increment(1);
            return None;
        }
        state.last_key += 1;
        let key = state.last_key;
        let entry = Arc::new(Entry {
            listener,
            sheddable: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            progressed_at: AtomicU64::new(now.0),
            progress: AtomicUsize::new(0),
            closed: cancel::Token::new(),
        });
        state.connections.insert(key, Arc::clone(&entry));
        drop(state);
        Some(Connection(Arc::new(Registered { entry, key, budget: self.clone() })))
    }

    /// A reservation of nothing yet.
    pub fn reservation(&self, class: Class) -> Reservation {
        Reservation { budget: self.clone(), class, bytes: 0, sheddable: None }
    }

    /// Counts more bytes; if there is no room, closes stalled connections, whose bytes become free once they have ended.
    fn try_reserve(&self, class: Class, held: usize, more: usize) -> bool {
        let mut state = self.state();
        match state.ledger.reserve(class, held, more) {
            Ok(()) => true,
            Err(shortage) => {
                state.shed(shortage.bytes, Moment::now());
                false
            }
        }
    }

    fn release(&self, class: Class, bytes: usize) {
        if bytes > 0 {
            self.state().ledger.release(class, bytes);
            self.0.released.notify_waiters();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn holders(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<Holder> {
        let open = |entry: &Entry| !entry.closed.is_cancelled() && wanted(entry);
        let holder = |(key, entry): (&u64, &Arc<Entry>)| Holder {
            key: *key,
            bytes: entry.sheddable.load(Ordering::Relaxed),
            progressed_at: Moment(entry.progressed_at.load(Ordering::Relaxed)),
            runs: entry.running.load(Ordering::Relaxed) > 0,
        };
        self.connections.iter().filter(|(_, entry)| open(entry)).map(holder).collect()
    }

    /// Closes stalled connections, beyond those that are being closed already, until `bytes` become free.
    fn shed(&self, bytes: usize, now: Moment) {
        let closing = self.connections.values().filter(|entry| entry.closed.is_cancelled());
        let closing: usize = closing.map(|entry| entry.sheddable.load(Ordering::Relaxed)).sum();
        let Some(missing) = bytes.checked_sub(closing).filter(|missing| *missing > 0) else {
            return;
        };
        for key in ledger::choose(&self.holders(|_| true), missing, now) {
            self.close(key, "memory");
        }
    }

    fn close_idle(&self, listener: &'static str, now: Moment) -> bool {
        let holders = self.holders(|entry| entry.listener == listener);
        let idle = ledger::choose_idle(&holders, now);
        idle.inspect(|key| self.close(*key, "connections")).is_some()
    }

    fn close(&self, key: u64, cause: &'static str) {
        if let Some(entry) = self.connections.get(&key) {
            entry.closed.cancel();
            metrics::counter!("daisydrum_connections_shed_total",
                "listener" => entry.listener, "cause" => cause)
            .increment(1);
        }
    }
}

impl Connection {
    /// The budget that it belongs to.
    pub fn budget(&self) -> &Budget {
        &self.0.budget
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.0.entry.closed.cancelled().await;
    }

    /// Whether the connection is to be closed.
    pub fn is_closed(&self) -> bool {
        self.0.entry.closed.is_cancelled()
    }

    /// Has the connection closed; its task ends soon.
    pub fn close(&self) {
        self.0.entry.closed.cancel();
    }

    /// Bytes that closing the connection would free.
    pub fn sheddable(&self) -> usize {
        self.0.entry.sheddable.load(Ordering::Relaxed)
    }

    /// Records bytes that were read from the connection or taken by its other end.
    pub fn record_progress(&self, bytes: usize) {
        let entry = &self.0.entry;
        let progress = entry.progress.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if progress >= PROGRESS_BYTES {
            self.record_turn();
        }
    }

    /// Records that a message began or ended, which counts as progress whatever its size.
    pub fn record_turn(&self) {
        let entry = &self.0.entry;
        entry.progress.store(0, Ordering::Relaxed);
        entry.progressed_at.store(Moment::now().0, Ordering::Relaxed);
    }

    /// Records that a request runs, until the result is dropped.
    pub fn run(&self) -> Running {
        self.0.entry.running.fetch_add(1, Ordering::Relaxed);
        Running(Arc::clone(&self.0))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.entry.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.budget.state().connections.remove(&self.key);
    }
}

impl Reservation {
    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that are held; `false`, with no change, if there is no room now.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) {
            if !self.budget.try_reserve(self.class, self.bytes, more) {
                return false;
            }
        } else {
            self.budget.release(self.class, self.bytes - bytes);
        }
        self.count(bytes);
        true
    }

    /// Changes the number of bytes that are held once there is room.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`], with no change, if there is none for half a second.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if self.resize(bytes) {
            return Ok(());
        }
        let grown = async {
            loop {
                let shared = Arc::clone(&self.budget.0);
                let released = shared.released.notified();
                tokio::pin!(released);
                // What is released before the wait begins is noticed, too.
                released.as_mut().enable();
                if self.resize(bytes) {
                    return;
                }
                // Connections count as stalled after a while.
                let _elapsed = time::timeout(LONGEST_WAIT / 4, released).await;
            }
        };
        time::timeout(LONGEST_WAIT, grown).await.map_err(|_elapsed| {
            metrics::counter!("daisydrum_memory_exhausted_total").increment(1);
            Exhausted
        })
    }

    /// Counts the bytes as another class.
    pub fn reclassify(&mut self, class: Class) {
        self.budget.state().ledger.reclassify(self.class, class, self.bytes);
        self.class = class;
    }

    /// The end of this connection would free the bytes, and it may be closed for that; none any more if `None`.
    pub fn set_sheddable(&mut self, connection: Option<Connection>) {
        let bytes = self.bytes;
        self.count(0);
        self.sheddable = connection;
        self.count(bytes);
    }

    /// Bytes that are held by this reservation until they are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _reservation: self })
    }

    fn count(&mut self, bytes: usize) {
        if let Some(Connection(connection)) = &self.sheddable {
            let sheddable = &connection.entry.sheddable;
            sheddable.fetch_add(bytes, Ordering::Relaxed);
            sheddable.fetch_sub(self.bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.class, self.bytes);
        self.count(0);
    }
}

#[derive(Debug)]
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
