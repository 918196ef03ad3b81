//! The listener for callers: accepts connections, and lets open ones finish at shutdown.

use std::{convert::Infallible, sync::Arc, time::Duration};

use common::{cancel, clock::Moment};
use entry::flush;
use fleet::config::Limits;
use hyper::{
    Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use memory::budget::Connection;
use slog::{debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::task::TaskTracker;
use wire::{socket, unread};

use crate::{
    activity::{Activity, Stream, Tracked},
    handler,
    state::Gateway,
};

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
                let limit = gateway.memory.machine().connections();
                // Dropping the stream closes it.
                if let Some(connection) = gateway.memory.connect("callers", limit) {
                    let (gateway, shutdown) = (Arc::clone(&gateway), shutdown.clone());
                    connections.spawn(serve_connection(stream, connection, gateway, shutdown));
                }
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

async fn serve_connection(
    stream: TcpStream,
    accepted: Connection,
    gateway: Arc<Gateway>,
    shutdown: Shutdown,
) {
    if let Err(error) = socket::configure(&stream, socket::Kind::Caller) {
        debug!(gateway.log, "connection_failed"; "error" => %error);
        return;
    }
    let limits = gateway.config().map_or_else(Limits::default, |config| config.limits);
    let activity = Activity::new(idle_limit(&gateway), Moment::now(), accepted);
    let log = gateway.log.clone();
    let inner = unread::Stream::new(stream, unread::LIMIT);
    let flushes = inner.flushes();
    let service = {
        let (gateway, drain) = (Arc::clone(&gateway), shutdown.drain.clone());
        let activity = activity.clone();
        service_fn(move |mut request: Request<Incoming>| {
            let in_progress = activity.begin_request();
            request.extensions_mut().insert(activity.connection().clone());
            let response = handler::handle(Arc::clone(&gateway), request);
            let (gateway, drain) = (Arc::clone(&gateway), drain.clone());
            let (activity, flushes) = (activity.clone(), flushes.clone());
            async move {
                let response = response.await?;
                let mut response =
                    gateway.deliveries.admit(response, &activity, &gateway.log).await;
                if drain.is_cancelled() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                activity.set_limit(idle_limit(&gateway));
                Ok::<_, Infallible>(response.map(|body| {
                    let body = flush::Body::new(body, flushes);
                    Tracked { body, _in_progress: in_progress }
                }))
            }
        })
    };
    let stream = Stream { inner, activity: activity.clone() };
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = loop {
        let idle = activity.time_left(idle_limit(&gateway), Moment::now());
        if idle.is_zero() {
            debug!(log, "connection_idle");
            return;
        }
        tokio::select! {
            biased;
            ended = connection.as_mut() => break ended,
            () = activity.disconnected() => {
                let bytes = activity.connection().sheddable();
                info!(log, "connection_shed"; "listener" => "callers", "bytes" => bytes);
                return;
            }
            () = shutdown.close.cancelled() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    ended = connection.as_mut() => break ended,
                    () = activity.disconnected() => return,
                }
            }
            () = time::sleep(idle) => {}
        }
    };
    if let Err(error) = ended {
        let reason = if error.is_user() { "response ended early" } else { "caller or network" };
        debug!(log, "connection_failed"; "reason" => reason, "error" => %error);
    }
}

/// Time after which an idle connection may be closed, by the configuration in force. A request that is not read
/// completely counts as idle, too.
fn idle_limit(gateway: &Gateway) -> Duration {
    let limits = gateway.config().map_or_else(Limits::default, |config| config.limits);
    limits.idle_time.max(limits.head_time)
}
