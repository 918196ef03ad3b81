//! HTTP listeners for the balancer's readiness checks, targets, operators and metrics.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::state::Gateway;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::endpoint::{self, Endpoint};
use slog::{debug, warn};
use telemetry::metric;
use tokio::{net::TcpListener, time};
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
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Serves a listener's connections until `context.end` is cancelled.
pub(crate) fn serve<H: Handler>(context: &Context, listener: TcpListener, handler: H) {
    let log = context.log.clone();
    entry::spawn(context, async move {
        loop {
            match listener.accept().await {
                Ok((stream, _address)) => {
                    if socket::configure(&stream, socket::Kind::Caller).is_err() {
                        continue;
                    }
                    let stream = unread::Stream::new(stream, unread::LIMIT);
                    let handler = handler.clone();
                    let log = log.clone();
                    let service = service_fn(move |request| {
                        let handler = handler.clone();
                        async move { Ok::<_, Infallible>(handler.handle(request).await) }
                    });
                    tokio::spawn(async move {
                        let connection = http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(IDLE_TIMEOUT)
                            .serve_connection(TokioIo::new(stream), service);
                        if let Err(error) = connection.await {
                            debug!(log, "connection_failed"; "error" => %error);
                        }
                    });
                }
                Err(error) => {
                    warn!(log, "accept_failed"; "error" => %error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
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
    serve(context, listener, Readiness { context: context.clone(), gateway, metrics });
    Ok(())
}
