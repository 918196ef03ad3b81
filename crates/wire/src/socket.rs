//! TCP options by kind of connection, which bound how long a dead one stays undetected.
//!
//! `TCP_USER_TIMEOUT` ends a connection whose sent data is unacknowledged, but also one whose other end is alive and
//! reads nothing, and it replaces the count of keepalive probes. It is set only where that is wanted.

use std::{io, time::Duration};

use control::lease;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A connection that carries an order is closed once the order has been unacknowledged for this time.
///
/// A new holder of an order lease waits longer than this, so that no order in the send buffer of its predecessor can
/// arrive after that.
pub const ORDER_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without traffic after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// No shorter than the probes take, or a single lost one would end the connection. Calls have timeouts of their own.
const PEER_USER_TIMEOUT: Duration = Duration::from_secs(5);

const _: () = assert!(ORDER_USER_TIMEOUT.as_millis() < lease::MARGIN_MS as u128);
const _: () = assert!(
    PEER_USER_TIMEOUT.as_secs()
        >= KEEPALIVE_IDLE.as_secs() + KEEPALIVE_INTERVAL.as_secs() * KEEPALIVE_PROBES as u64,
    "the user timeout would end a connection before its last probe"
);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Accepted from a caller, an operator, or a target that announces itself. One that reads nothing is alive;
    /// [`unread`](crate::unread) bounds that time.
    Caller,
    /// Opened to a target. One that is slow to read a request or to respond is alive; the request's deadline bounds both.
    Target,
    /// To or from another instance.
    Peer,
    /// Opened to a target for an order.
    Order,
}

impl Kind {
    /// Time after which unacknowledged or unsent data closes the connection.
    fn user_timeout(self) -> Option<Duration> {
        match self {
            Kind::Caller | Kind::Target => None,
            Kind::Peer => Some(PEER_USER_TIMEOUT),
            Kind::Order => Some(ORDER_USER_TIMEOUT),
        }
    }
}

/// Sets `TCP_NODELAY`, keepalive and, if `kind` has one, `TCP_USER_TIMEOUT`.
///
/// # Errors
///
/// Returns the operating system's error, for example if the connection is already closed.
pub fn configure(stream: &TcpStream, kind: Kind) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(kind.user_timeout())
}
