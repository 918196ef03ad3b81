//! The callers' listener: accepts connections, and at a stop lets them end.

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
/// Smallest buffer that hyper takes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// When a listener ends.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Cancelled when connections end with their next answer; new ones are still taken.
    pub drain: cancel::Token,
    /// Cancelled when no new connection is taken and idle ones are closed.
    pub close: cancel::Token,
}

/// Serves callers until `shutdown.close` is cancelled, then waits until all connections have ended.
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
        let answer = handler::handle(Arc::clone(&gateway), request);
        let drain = drain.clone();
        async move {
            let mut answer = answer.await?;
            if drain.is_cancelled() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
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
        debug!(log, "connection_failed"; "error" => %error);
    }
}
