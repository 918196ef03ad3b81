//! The listener for callers: accepts connections, and lets open ones finish at shutdown.

use std::{convert::Infallible, sync::Arc, time::Duration};

use common::cancel;
use fleet::config::Limits;
use hyper::{
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::task::TaskTracker;
use wire::socket;

use crate::{handler, state::Gateway};

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Signals for the stages of a listener's shutdown.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Cancelled when each connection closes after its next response; new ones are still accepted.
    pub drain: cancel::Token,
    /// Cancelled when no more connections are accepted and idle ones close.
    pub close: cancel::Token,
}

/// Serves callers until `shutdown.close` is cancelled, then waits until all connections have closed.
pub async fn run(listener: TcpListener, gateway: Arc<Gateway>, shutdown: Shutdown) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.close.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _address)) => {
                connections.spawn(serve_connection(stream, Arc::clone(&gateway), shutdown.clone()));
            }
            Err(error) => {
                warn!(gateway.log, "accept_failed"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(stream: TcpStream, gateway: Arc<Gateway>, shutdown: Shutdown) {
    if let Err(error) = socket::configure(&stream) {
        debug!(gateway.log, "connection_failed"; "error" => %error);
        return;
    }
    let limits = gateway.config().map_or_else(Limits::default, |config| config.limits);
    let log = gateway.log.clone();
    let drain = shutdown.drain.clone();
    let service = service_fn(move |request| {
        let response = handler::handle(Arc::clone(&gateway), request);
        let drain = drain.clone();
        async move {
            let mut response = response.await?;
            if drain.is_cancelled() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = shutdown.close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        let reason = if error.is_timeout() {
            "idle"
        } else if error.is_user() {
            "response ended early"
        } else {
            "caller or network"
        };
        debug!(log, "connection_failed"; "reason" => reason, "error" => %error);
    }
}
