//! HTTP listeners for the balancer's readiness checks, targets, operators and metrics.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::FutureExt;
use gateway::{buffer, state::Gateway};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use memory::{
    budget::{Budget, Connection, Reservation},
    ledger::Class,
};
use platform::endpoint::{self, Endpoint};
use slog::{Logger, debug, info, warn};
use telemetry::metric;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use wire::{socket, unread};

use crate::{
    error::Error,
    seeded::{context::Context, entry},
};

/// Path of the metrics on each of these listeners.
pub(crate) const METRICS_PATH: &str = "/metrics";
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time without a request on a connection; clients of these listeners keep connections open for seconds
/// between calls.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest head of a request, and size of a connection's buffers.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Smaller responses are not counted until they are taken: all connections together hold little with them.
const MIN_COUNTED_BYTES: usize = 8 * 1024;

/// HTTP response of a listener.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Handles the requests of a listener; clones share the state.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HttpResponse> + Send;
}

/// Builds a response with a text body.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response of status 200 with a JSON body.
pub(crate) fn json(body: impl Into<Bytes>) -> HttpResponse {
    let mut response = text(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Serves a listener's connections until `context.end` is cancelled.
pub(crate) fn serve<H: Handler>(
    context: &Context,
    name: &'static str,
    listener: TcpListener,
    handler: H,
) {
    let (log, memory) = (context.log.clone(), context.memory.clone());
    entry::spawn(context, async move {
        loop {
            match listener.accept().await {
                Ok((stream, _address)) => {
                    if socket::configure(&stream, socket::Kind::Caller).is_err() {
                        continue;
                    }
                    // Dropping the stream closes it.
                    if let Some(accepted) = memory.connect(name, memory.machine().connections()) {
                        let handler = handler.clone();
                        tokio::spawn(serve_connection(stream, accepted, handler, log.clone()));
                    }
                }
                Err(error) => {
                    warn!(log, "accept_failed"; "error" => %error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    accepted: Connection,
    handler: H,
    log: Logger,
) {
    let stream = unread::Stream::new(stream, unread::LIMIT);
    let stream = memory::stream::Stream::new(stream, accepted.clone());
    let service = {
        let accepted = accepted.clone();
        service_fn(move |mut request: Request<Incoming>| {
            let (handler, accepted) = (handler.clone(), accepted.clone());
            accepted.record_turn();
            request.extensions_mut().insert(accepted.clone());
            async move {
                let response = handler.handle(request).await;
                accepted.record_turn();
                Ok::<_, Infallible>(count_unread(response, accepted))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        ended = connection => {
            if let Err(error) = ended {
                debug!(log, "connection_failed"; "error" => %error);
            }
        }
        () = accepted.closed() => {
            info!(log, "connection_shed"; "bytes" => accepted.sheddable());
        }
    }
}

/// Counts a response in the memory of the instance until it is taken. One that finds no room is replaced by a refusal: it may
/// be asked for again once stalled readers have been disconnected.
fn count_unread(response: HttpResponse, accepted: Connection) -> HttpResponse {
    let bytes = response.body().size_hint().exact().unwrap_or_default();
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    if bytes < MIN_COUNTED_BYTES {
        return response;
    }
    let mut reservation = accepted.budget().reservation(Class::Unread);
    if !reservation.resize(bytes) {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no memory is left for the response\n");
    }
    reservation.set_sheddable(Some(accepted));
    response.map(|body| Full::new(reservation.attach(whole(body))))
}

/// The bytes of a body that has not been polled yet.
fn whole(body: Full<Bytes>) -> Bytes {
    body.collect()
        .now_or_never()
        .and_then(Result::ok)
        .map(|body| body.to_bytes())
        .unwrap_or_default()
}

/// Reads the body of a request of at most `limit` bytes, and what holds its memory; the response to the sender if that fails.
///
/// # Errors
///
/// Returns the response: 503 if there is no memory, 400 for a body that is too large or ended early.
pub(crate) async fn read_body(
    request: Request<Incoming>,
    limit: usize,
    memory: &Budget,
) -> Result<(Bytes, Reservation), HttpResponse> {
    let accepted = request.extensions().get::<Connection>().cloned();
    let mut reservation = memory.reservation(Class::Requests);
    reservation.set_sheddable(accepted);
    match buffer::read(&mut reservation, request.into_body(), limit).await {
        Ok(body) => {
            reservation.set_sheddable(None);
            Ok((body, reservation))
        }
        Err(error) => {
            let status = match error {
                buffer::Error::Truncated(_) | buffer::Error::TooLarge => StatusCode::BAD_REQUEST,
                buffer::Error::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            };
            let mut response = text(status, format!("{error}; the limit is {limit} bytes\n"));
            // The rest of the body is not read.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            Err(response)
        }
    }
}

/// Handler of the balancer's readiness checks and of metrics.
#[derive(Clone)]
struct Readiness {
    context: Context,
    gateway: Arc<Gateway>,
    metrics: metric::Renderer,
}

impl Readiness {
    /// Whether a configuration is in force and the engines' cached parts are known, which needs a known target. An
    /// instance that was told to stop isn't ready.
    fn is_ready(&self) -> bool {
        let stopping = self.context.stop.is_cancelled();
        !stopping && self.gateway.config_version() > 0 && self.gateway.are_holdings_known()
    }
}

impl Handler for Readiness {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        if request.uri().path() == METRICS_PATH {
            return text(StatusCode::OK, self.metrics.render());
        }
        match endpoint::decode(request.method(), request.uri().path()) {
            Some(Endpoint::Readiness) if self.is_ready() => text(StatusCode::OK, "ready\n"),
            Some(Endpoint::Readiness) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => text(StatusCode::NOT_FOUND, "unknown call\n"),
        }
    }
}

/// Starts the listener for the balancer's readiness checks.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the address can't be listened on.
pub(crate) async fn start_readiness(
    context: &Context,
    address: SocketAddr,
    gateway: Arc<Gateway>,
) -> Result<(), Error> {
    let listener = entry::bind(address, "the balancer").await?;
    let metrics = metric::install();
    serve(context, "readiness", listener, Readiness { context: context.clone(), gateway, metrics });
    Ok(())
}
