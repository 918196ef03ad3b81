//! Idle connections to targets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use common::collections::Map;
use tokio::time;

use crate::connection::{Connection, Error};

/// Idle connections that are kept for each target; more requests at once are rare.
const MAX_IDLE: usize = 8;
/// Longest time for a target to be ready again after an answer.
const SETTLE_LIMIT: Duration = Duration::from_millis(500);

/// A target that answered within this time is taken to be reached over a kept connection, too.
const PROOF_LIFE: Duration = Duration::from_millis(400);

/// Idle connections by address; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    targets: Arc<Mutex<Map<SocketAddr, Kept>>>,
}

/// What is kept for one target.
#[derive(Debug, Default)]
struct Kept {
    idle: Vec<Connection>,
    /// When it answered last or took a new connection.
    heard: Option<Instant>,
    /// Whether another instance could not reach it since.
    suspect: bool,
}

/// How sure a request must be that its connection still reaches the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A failure can be repaired: any kept connection will do.
    Any,
    /// A failure can't be repaired: the target must have been heard from just now, else a new connection is made.
    IfRecentlyActive,
}

/// Whether a connection was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It was made for this request.
    New,
    /// It has served another request, and its target may have closed it meanwhile.
    Reused,
}

impl Pool {
    /// Takes an idle connection or makes a new one.
    ///
    /// # Errors
    ///
    /// Returns the fault of a new connection.
    pub async fn take(
        &self,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<(Connection, Origin), Error> {
        if let Some(connection) = self.take_idle(address, reuse) {
            return Ok((connection, Origin::Reused));
        }
        let connection = Connection::open(address).await?;
        self.mark_alive(address);
        Ok((connection, Origin::New))
    }

    /// Notes that a target has answered.
    pub fn mark_alive(&self, address: SocketAddr) {
        let mut targets = self.lock();
        let kept = targets.entry(address).or_default();
        kept.heard = Some(Instant::now());
        kept.suspect = false;
    }

    /// Notes that another instance could not reach a target: the next request makes a new connection.
    pub fn mark_suspect(&self, address: SocketAddr) {
        self.lock().entry(address).or_default().suspect = true;
    }

    /// Keeps a connection for later once its answer is taken whole.
    pub fn put(&self, address: SocketAddr, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if time::timeout(SETTLE_LIMIT, connection.wait_until_ready()).await != Ok(true) {
                return;
            }
            let mut targets = pool.lock();
            let idle = &mut targets.entry(address).or_default().idle;
            if idle.len() < MAX_IDLE {
                idle.push(connection);
            }
        });
    }

    /// Closes what is kept for a target, after it broke off or went silent.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub fn evict_expired(&self) {
        let mut targets = self.lock();
        for kept in targets.values_mut() {
            kept.idle.retain(Connection::is_reusable);
        }
        targets.retain(|_, kept| !kept.idle.is_empty() || kept.is_proven());
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let mut targets = self.lock();
        let kept = targets.get_mut(&address)?;
        if kept.suspect || (reuse == Reuse::IfRecentlyActive && !kept.is_proven()) {
            return None;
        }
        while let Some(connection) = kept.idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Kept>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn is_proven(&self) -> bool {
        self.heard.is_some_and(|heard| heard.elapsed() < PROOF_LIFE)
    }
}
