//! Pool of idle connections to targets.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use common::collections::Map;
use placement::doubt;
use tokio::{sync::oneshot, time};

use crate::connection::{CONNECT_TIMEOUT, Connection, Error, Pending, SLOW_CONNECT_TIMEOUT};

/// Idle connections that are kept for each target; more concurrent requests to one are rare.
const MAX_IDLE: usize = 8;
/// Timeout for a connection to be ready for the next request after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// A target that was active within this time is expected to be reachable over an idle connection, too.
const RECENT_ACTIVITY: Duration = Duration::from_millis(400);

/// Idle connections by address; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    source: Option<IpAddr>,
    targets: Arc<Mutex<Map<SocketAddr, Entry>>>,
}

/// Idle connections and activity of one target.
#[derive(Debug, Default)]
struct Entry {
    idle: Vec<Connection>,
    /// When it last sent a response or accepted a connection.
    last_active: Option<Instant>,
    /// Whether one of its connections was silent since then, or another instance has failed to reach it.
    suspect: bool,
    /// An idle connection that is not reused any more, as another one was lost; it still shows whether the process ends.
    retired: Option<Connection>,
    /// When it closed an idle connection early, unless somebody has asked since.
    closed_early: Option<Instant>,
}

/// Which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any: the request can be retried if the connection fails.
    Any,
    /// Only those to a recently active target: the request can't be retried. Otherwise a new connection is opened.
    IfRecentlyActive,
    /// None: another connection to the target is silent, and idle ones may be, too.
    Never,
}

/// Whether a connection was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It was opened for this request.
    New,
    /// It served another request before, and the target may have closed it meanwhile.
    Reused,
}

impl Pool {
    /// Creates an empty pool whose connections are opened from `source`.
    pub fn new(source: Option<IpAddr>) -> Pool {
        Pool { source, ..Pool::default() }
    }

    /// Opens a connection that no request has used.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Connection::open`].
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, Error> {
        Connection::open(address, self.source).await
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Connection::open`], or [`Error::Slow`] if the connection isn't made in time: the attempt goes
    /// on.
    pub async fn take(
        &self,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<(Connection, Origin), Error> {
        if let Some(connection) = self.take_idle(address, reuse) {
            return Ok((connection, Origin::Reused));
        }
        let mut pending = self.connect(address);
        let connection = match time::timeout(CONNECT_TIMEOUT, &mut pending.0).await {
            Ok(Ok(opened)) => opened?,
            Ok(Err(ended)) => return Err(Error::NotSent(ended.to_string())),
            Err(_elapsed) => return Err(Error::Slow(pending)),
        };
        Ok((connection, Origin::New))
    }

    /// Begins to open a connection in the background; it goes into the pool if nothing waits for it.
    pub(crate) fn connect(&self, address: SocketAddr) -> Pending {
        let (sender, receiver) = oneshot::channel();
        let pool = self.clone();
        tokio::spawn(async move {
            let opened = Connection::open_within(address, pool.source, SLOW_CONNECT_TIMEOUT).await;
            if opened.is_ok() {
                pool.mark_alive(address);
            }
            if let Err(Ok(connection)) = sender.send(opened) {
                pool.put(address, connection);
            }
        });
        Pending(receiver)
    }

    /// Records that a target sent a response or accepted a connection.
    pub fn mark_alive(&self, address: SocketAddr) {
        let mut targets = self.lock();
        let entry = targets.entry(address).or_default();
        entry.last_active = Some(Instant::now());
        entry.suspect = false;
    }

    /// Whether a target has closed an idle connection early, so lately that its process may have ended, and nobody has asked
    /// since.
    pub fn take_closed_early(&self, address: SocketAddr) -> bool {
        let mut targets = self.lock();
        let Some(entry) = targets.get_mut(&address) else {
            return false;
        };
        entry.evict_unusable();
        let was_closed_early = entry.was_closed_early();
        entry.closed_early = None;
        was_closed_early
    }

    /// Whether a target was active lately.
    pub fn is_active(&self, address: SocketAddr) -> bool {
        self.lock().get(&address).is_some_and(Entry::is_recently_active)
    }

    /// Whether an idle connection to a recently active target is there.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        let targets = self.lock();
        let usable = |entry: &Entry| {
            entry.is_recently_active() && entry.idle.iter().any(Connection::is_reusable)
        };
        targets.get(&address).is_some_and(usable)
    }

    /// Records that a connection to a target is silent: the next request opens a new one.
    pub fn mark_suspect(&self, address: SocketAddr) {
        self.lock().entry(address).or_default().suspect = true;
    }

    /// Records that another instance could not reach a target: unless it was active lately, the next request opens a new
    /// connection. The other instance may be cut off, from many targets at once.
    pub fn mark_suspect_unless_active(&self, address: SocketAddr) {
        let mut targets = self.lock();
        let entry = targets.entry(address).or_default();
        entry.suspect |= !entry.is_recently_active();
    }

    /// Returns a connection to the pool once its response is read completely.
    pub fn put(&self, address: SocketAddr, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            let Ok(ready) = time::timeout(READY_TIMEOUT, connection.wait_until_ready()).await
            else {
                return;
            };
            let mut targets = pool.lock();
            let entry = targets.entry(address).or_default();
            if !ready && connection.is_persistent() {
                entry.closed_early = Some(Instant::now());
            } else if ready && entry.idle.len() < MAX_IDLE {
                entry.idle.push(connection);
            }
        });
    }

    /// Stops the reuse of the idle connections to a target whose connection was lost or stopped responding.
    pub fn remove(&self, address: SocketAddr) {
        if let Some(entry) = self.lock().get_mut(&address) {
            entry.retire();
        }
    }

    /// Stops the reuse of the idle connections to a target that could not be connected to, unless it was active lately:
    /// connections that are open may work while new ones are refused.
    pub fn remove_unless_active(&self, address: SocketAddr) {
        let mut targets = self.lock();
        if let Some(entry) = targets.get_mut(&address).filter(|entry| !entry.is_recently_active()) {
            entry.retire();
        }
    }

    /// Closes connections whose idle time has expired.
    pub fn evict_expired(&self) {
        let mut targets = self.lock();
        targets.retain(|_, entry| {
            entry.evict_unusable();
            !entry.idle.is_empty()
                || entry.retired.is_some()
                || entry.was_closed_early()
                || entry.is_recently_active()
        });
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let mut targets = self.lock();
        let entry = targets.get_mut(&address)?;
        if entry.suspect
            || reuse == Reuse::Never
            || (reuse == Reuse::IfRecentlyActive && !entry.is_recently_active())
        {
            return None;
        }
        while let Some(connection) = entry.idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
            if connection.was_closed_early() {
                entry.closed_early = Some(Instant::now());
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Entry>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Whether the target has closed an idle connection early, so lately that it may have ended.
    fn was_closed_early(&self) -> bool {
        self.closed_early.is_some_and(|at| at.elapsed() < doubt::LONGEST)
    }

    /// Drops connections that are closed or whose idle time has expired.
    fn evict_unusable(&mut self) {
        if self.idle.iter().chain(&self.retired).any(Connection::was_closed_early) {
            self.closed_early = Some(Instant::now());
        }
        self.idle.retain(Connection::is_reusable);
        self.retired.take_if(|connection| !connection.is_reusable());
    }

    fn retire(&mut self) {
        self.evict_unusable();
        self.retired = self.idle.pop().or(self.retired.take());
        self.idle.clear();
        self.last_active = None;
        self.suspect = false;
    }

    fn is_recently_active(&self) -> bool {
        self.last_active.is_some_and(|last_active| last_active.elapsed() < RECENT_ACTIVITY)
    }
}
