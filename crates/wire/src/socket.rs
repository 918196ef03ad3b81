//! TCP options that bound how long a dead connection stays undetected.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A connection is closed once sent data has been unacknowledged for this time.
///
/// A new holder of an order lease waits this much longer, so that no order in the send buffer of its predecessor can
/// arrive after that.
pub const USER_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;

/// Sets `TCP_NODELAY`, keepalive and `TCP_USER_TIMEOUT`.
///
/// # Errors
///
/// Returns the operating system's error, for example if the connection is already closed.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
