//! The callers' listener and its runtime.

use std::{
    io,
    net::SocketAddr,
    thread::{self, JoinHandle},
};

use common::cancel;
use entry::{listener, server};
use tokio::{net::TcpListener, runtime};

use crate::error::Fault;

/// Starts to serve callers; the thread ends once `stop` is cancelled and all answers are given.
///
/// # Errors
///
/// Returns a [`Fault`] when the address can't be listened on.
pub fn start(
    address: SocketAddr,
    server: server::Server,
    stop: cancel::Token,
) -> Result<JoinHandle<()>, Fault> {
    let runtime =
        runtime::Builder::new_multi_thread().thread_name("callers").enable_all().build()?;
    let listener = runtime.block_on(TcpListener::bind(address)).map_err(|cause| Fault::Listen {
        address,
        purpose: "callers",
        cause,
    })?;
    let thread = thread::Builder::new().name(String::from("callers")).spawn(move || {
        let result: io::Result<()> = runtime.block_on(listener::run(listener, server, stop));
        result.expect("invariant: the listener is open while it is served");
    })?;
    Ok(thread)
}
