//! Free loopback addresses that differ between test processes.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port; the ports that are used lie below those that the kernel gives to outgoing connections.
const FIRST_PORT: u16 = 12_000;
static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A free address on a loopback IP address that is derived from this process's id.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free() -> SocketAddr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 100 + high % 100, middle, low.max(1));
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(port >= FIRST_PORT, "no loopback port is free");
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
