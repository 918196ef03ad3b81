//! Idle connections to targets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::collections::Map;
use tokio::time;

use crate::connection::{Connection, Fault};

/// Idle connections that are kept for each target; more requests at once are rare.
const MAX_IDLE: usize = 8;
/// Longest time for a target to be ready again after an answer.
const SETTLE_LIMIT: Duration = Duration::from_millis(500);

/// Idle connections by address; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<Map<SocketAddr, Vec<Connection>>>>,
}

/// Whether a connection was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It was made for this request.
    New,
    /// It has served another request, and its target may have closed it meanwhile.
    Kept,
}

impl Pool {
    /// Takes an idle connection or makes a new one.
    ///
    /// # Errors
    ///
    /// Returns the fault of a new connection.
    pub async fn take(&self, address: SocketAddr) -> Result<(Connection, Origin), Fault> {
        if let Some(connection) = self.take_idle(address) {
            return Ok((connection, Origin::Kept));
        }
        Ok((Connection::open(address).await?, Origin::New))
    }

    /// Keeps a connection for later once its answer is taken whole.
    pub fn put(&self, address: SocketAddr, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if time::timeout(SETTLE_LIMIT, connection.settle()).await != Ok(true) {
                return;
            }
            let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let kept = idle.entry(address).or_default();
            if kept.len() < MAX_IDLE {
                kept.push(connection);
            }
        });
    }

    /// Closes what is kept for a target, after it broke off or went silent.
    pub fn clear(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub fn trim(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for kept in idle.values_mut() {
            kept.retain(Connection::is_fresh);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.is_fresh() {
                return Some(connection);
            }
        }
        None
    }
}
