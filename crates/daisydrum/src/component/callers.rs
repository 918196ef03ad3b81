//! Serves callers on a runtime of its own.

use std::thread::{self, JoinHandle};

use entry::{claim::Store, listener, protocol::Protocol, server};
use slog::warn;
use tokio::{net::TcpListener, runtime};

use crate::{context::Context, error::Error};

/// Starts the callers' listener. The thread ends after `context.stop` is cancelled, once all connections are closed.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the address can't be listened on.
pub fn start<P: Protocol, C: Store>(
    context: &Context,
    server: server::Server<P, C>,
) -> Result<JoinHandle<()>, Error> {
    let address = context.settings.callers;
    let runtime =
        runtime::Builder::new_multi_thread().thread_name("callers").enable_all().build()?;
    let listener = runtime.block_on(TcpListener::bind(address)).map_err(|cause| Error::Listen {
        address,
        purpose: "callers",
        cause,
    })?;
    let limits =
        listener::Limits { stop: context.stop.clone(), cut: context.abort_connections.clone() };
    let (log, connections_closed) = (context.log.clone(), context.connections_closed.clone());
    let thread = thread::Builder::new().name(String::from("callers")).spawn(move || {
        let aborted = runtime.block_on(listener::run(listener, server, limits));
        if aborted > 0 {
            warn!(log, "connections_cut"; "count" => aborted);
        }
        connections_closed.cancel();
    })?;
    Ok(thread)
}
