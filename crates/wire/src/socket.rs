//! TCP options that bound how long a silent connection goes unnoticed.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Unacknowledged data older than this closes the connection.
///
/// Order leases add it to the time that a successor waits, so that no buffered order arrives later.
pub const USER_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;

/// Sets `TCP_NODELAY`, keepalive and `TCP_USER_TIMEOUT`.
///
/// # Errors
///
/// Returns the operating system's error, for example when the connection is closed already.
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
