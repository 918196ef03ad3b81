//! The listener for callers: accepts connections until it is stopped, then lets open connections end.

use std::{convert::Infallible, time::Duration};

use common::cancel;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::task::TaskTracker;
use wire::{socket, unread};

use crate::{claim::Store, flush, protocol::Protocol, server::Server};

/// Longest time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Tokens that stop a listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Once cancelled, no new connection is accepted, and each open connection ends after its current response.
    pub stop: cancel::Token,
    /// Once cancelled, the listener no longer waits for open connections.
    pub cut: cancel::Token,
}

/// Serves callers until `limits.stop` is cancelled, then waits until all connections have ended or `limits.cut` is
/// cancelled.
///
/// Returns the number of connections that are still open then.
pub async fn run<P: Protocol, C: Store>(
    listener: TcpListener,
    server: Server<P, C>,
    limits: Limits,
) -> usize {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = limits.stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _address)) => {
                connections.spawn(serve(stream, server.clone(), limits.stop.clone()));
            }
            Err(error) => {
                warn!(server.log, "accept_failed"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    tokio::select! {
        () = connections.wait() => 0,
        () = limits.cut.cancelled() => connections.len(),
    }
}

async fn serve<P: Protocol, C: Store>(
    stream: TcpStream,
    server: Server<P, C>,
    stop: cancel::Token,
) {
    if socket::configure(&stream, socket::Kind::Caller).is_err() {
        return;
    }
    let stream = unread::Stream::new(stream, unread::LIMIT);
    let (log, flushes) = (server.log.clone(), stream.flushes());
    let service = service_fn(move |request| {
        let (response, flushes) = (server.clone().serve(request), flushes.clone());
        async move { Ok::<_, Infallible>(response.await?.map(|body| flush::Body::new(body, flushes))) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(log, "connection_failed"; "error" => %error);
    }
}
