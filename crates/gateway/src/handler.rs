//! Handles one request of a caller: matches a route, reads the body and returns the response.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use common::{clock::Moment, random};
use entry::body::Body;
use fleet::{
    config::{Config, Delivery, Route},
    relay,
};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{HOST, HeaderName, HeaderValue},
    http::request::Parts,
};
use memory::{
    budget::{Connection, Reservation},
    ledger::Class,
};
use placement::{
    balancer::selection::{Reason, Refusal},
    stop,
};
use platform::request::Metadata;
use slog::{Logger, debug, info};

use crate::{
    access::Permission,
    buffer, content,
    error::Error,
    progress::{Beginning, Progress, Shared},
    relay::decode_headers,
    request::{Held, Pending, Source},
    state::{Gateway, ms},
    stream, whole,
};

/// Retry-After of an instance that stops; others serve.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// Handles one request; errors become responses, too.
///
/// # Errors
///
/// Never fails.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Moment::now();
    let (head, body) = request.into_parts();
    let id = platform::request::id(&head.headers);
    let unanswered = Unanswered::new(&gateway, &id, arrived);
    let result = match prepare(&gateway, head, body, arrived).await {
        Ok(request) => serve(Arc::new(request)).await,
        Err(error) => {
            info!(gateway.log, "request_rejected"; "id" => id, "fault" => %error,
                "status" => error.status().as_u16(), "config" => gateway.config_version());
            Err(error)
        }
    };
    unanswered.record_answer();
    let response = result.unwrap_or_else(|error| error.response());
    let status = response.status().as_u16().to_string();
    metrics::counter!("daisydrum_requests_total", "status" => status).increment(1);
    Ok(response)
}

/// Logs a request whose connection ended before there was a response.
struct Unanswered {
    log: Logger,
    id: String,
    arrived: Moment,
    answered: bool,
}

impl Unanswered {
    fn new(gateway: &Gateway, id: &str, arrived: Moment) -> Unanswered {
        Unanswered { log: gateway.log.clone(), id: id.to_owned(), arrived, answered: false }
    }

    fn record_answer(mut self) {
        self.answered = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if !self.answered {
            metrics::counter!("daisydrum_requests_unanswered_total").increment(1);
            info!(self.log, "request_unanswered"; "id" => &self.id,
                "ms" => ms(Moment::now().since(self.arrived)));
        }
    }
}

async fn serve(request: Arc<Pending>) -> Result<Response<Body>, Error> {
    let answer = async {
        match request.route().delivery {
            Delivery::Stream { .. } => stream::run(Arc::clone(&request)).await,
            Delivery::Whole => whole::run(&request).await,
        }
    };
    let result = tokio::select! {
        biased;
        result = answer => result,
        () = request.gateway.given_up.cancelled() => Err(Error::Timeout),
    };
    let (gateway, metadata) = (&request.gateway, &request.metadata);
    match &result {
        Ok(response) => debug!(gateway.log, "request_answered"; "id" => &metadata.id,
            "route" => &request.route().name, "status" => response.status().as_u16(),
            "ms" => request.age_ms()),
        Err(error) => info!(gateway.log, "request_failed"; "id" => &metadata.id,
            "route" => &request.route().name, "status" => error.status().as_u16(),
            "fault" => %error, "ms" => request.age_ms(),
            "retry_after_ms" => error.retry_after().map_or(0, ms),
            "expected_ms" => error.expected_first_token().map_or(0, ms),
            "target_ms" => ms(request.route().target_latency),
            "prompt_tokens" => metadata.prompt_tokens, "left_ms" => ms(request.remaining()),
            "config" => request.config.version),
    }
    result
}

/// Serves a request that a peer has passed on.
///
/// # Errors
///
/// Returns an [`Error`] if no target's response can be forwarded.
pub(crate) async fn handle_relayed(
    gateway: &Arc<Gateway>,
    relayed: relay::Request,
    body: Bytes,
) -> Result<Response<Body>, Error> {
    let malformed = |what: &str| Error::Malformed(format!("the relayed {what} is not valid"));
    let mut request = Request::new(());
    *request.method_mut() = relayed.method.parse().map_err(|_error| malformed("method"))?;
    *request.uri_mut() = relayed.uri.parse().map_err(|_error| malformed("path"))?;
    *request.headers_mut() = decode_headers(&relayed.headers).ok_or_else(|| malformed("header"))?;
    let (head, ()) = request.into_parts();
    let arrived = Moment::now();
    let (config, route, mut metadata, permission) = find(gateway, &head)?;
    if relayed.resume_after.is_some() {
        metadata.resume_after = relayed.resume_after;
        // Its origin is recorded under the id of the request that began the stream.
        metadata.resumes = metadata.resumes.or_else(|| Some(metadata.id.clone()));
    }
    let timeout = config.routes[route].timeout.min(Duration::from_millis(relayed.remaining_ms));
    let began = relayed.began.map(Beginning::from);
    let deadline = deadline(gateway, &config.routes[route], arrived + timeout)?;
    let found = (config, route, metadata, permission);
    let mut request = assemble(gateway, found, head, body, (arrived, deadline));
    request.source = Source::Peer;
    // The peer counts attempts, and has further ones made elsewhere.
    request.max_attempts = relayed.used.runs + 1;
    request.progress = Shared::new(Progress::relayed(relayed.used, began));
    serve(Arc::new(request)).await
}

async fn prepare(
    gateway: &Arc<Gateway>,
    mut head: Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Pending, Error> {
    // The authority of an absolute path replaces the Host header (RFC 9112, section 3.2.2).
    if let Some(authority) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        head.headers.insert(HOST, host);
    }
    platform::request::protect_credentials(&mut head.headers);
    let (config, route, metadata, permission) = find(gateway, &head)?;
    let connection = head.extensions.remove::<Connection>();
    let held =
        read_body(gateway, &head, body, config.limits.body_bytes, connection.as_ref()).await?;
    let route_timeout = config.routes[route].timeout;
    let timeout = metadata.timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout));
    let deadline = deadline(gateway, &config.routes[route], arrived + timeout)?;
    let (body, reservation) = held;
    let found = (config, route, metadata, permission);
    let mut request = assemble(gateway, found, head, body, (arrived, deadline));
    request.held = Some(Held {
        _reservation: reservation,
        _running: connection.as_ref().map(Connection::run),
    });
    request.connection = connection;
    Ok(request)
}

/// The configuration in force, the index of the request's route in it, what the headers say, and who makes the request.
type Found = (Arc<Config>, usize, Metadata, Permission);

fn find(gateway: &Gateway, head: &Parts) -> Result<Found, Error> {
    let config = gateway.config().ok_or(Error::NoConfig)?;
    // A newer configuration may have the route, or the key.
    let denied = |error| if gateway.is_outdated(&config) { Error::ConfigOutdated } else { error };
    let route = find_route(&config, head).ok_or_else(|| denied(Error::NoRoute))?;
    let metadata = platform::request::decode(&head.headers)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let permission = gateway
        .keys
        .check(&config, &config.routes[route], &head.headers)
        .map_err(|error| if error == Error::Unauthorized { denied(error) } else { error })?;
    Ok((config, route, metadata, permission))
}

/// Puts together a request that arrived at a moment and has some time left.
/// When the response must be complete, at the latest before the instance has stopped.
///
/// # Errors
///
/// Returns a refusal if the request can't be repeated and may last longer than the instance runs.
fn deadline(gateway: &Gateway, route: &Route, deadline: Moment) -> Result<Moment, Error> {
    match stop::decide(deadline, gateway.end(), route.retry) {
        stop::Decision::Until(deadline) => Ok(deadline),
        stop::Decision::Refuse => Err(Error::Refused(Refusal {
            reason: Reason::Stopping,
            retry_after: STOPPING_RETRY,
            expected: None,
        })),
    }
}

fn assemble(
    gateway: &Arc<Gateway>,
    (config, route, metadata, permission): Found,
    head: Parts,
    body: Bytes,
    (arrived, deadline): (Moment, Moment),
) -> Pending {
    let stream = metadata.resumes.as_ref().unwrap_or(&metadata.id);
    let draw =
        random::mix(stream.bytes().fold(0, |hash, byte| random::mix(hash ^ u64::from(byte))));
    let shared_parts = metadata.shared_parts();
    let content = content::content(&head.method, &head.uri, &head.headers, &body, shared_parts);
    let max_attempts = config.routes[route].max_attempts;
    Pending {
        gateway: Arc::clone(gateway),
        config,
        route,
        metadata,
        content,
        method: head.method,
        uri: origin_form(head.uri),
        headers: head.headers,
        body,
        arrived,
        deadline,
        draw,
        source: Source::Caller,
        permission,
        max_attempts,
        progress: Shared::default(),
        connection: None,
        held: None,
    }
}

fn find_route(config: &Config, head: &Parts) -> Option<usize> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named)?;
    let host = host.split(':').next().unwrap_or(host);
    let found = config.route(host, head.uri.path())?;
    config.routes.iter().position(|route| std::ptr::eq(route, found))
}

/// The path and query alone (origin form, RFC 9112, section 3.2.1), as targets expect them.
fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or(uri, hyper::Uri::from)
}

/// Bytes that a header field takes in memory beside its text.
const FIELD_BYTES: usize = 64;

/// Reads the body of a request within the memory of the instance, which counts its head, too. Until it is complete its connection
/// may be closed to make room.
async fn read_body(
    gateway: &Gateway,
    head: &Parts,
    body: Incoming,
    limit: usize,
    connection: Option<&Connection>,
) -> Result<(Bytes, Reservation), Error> {
    let mut reservation = gateway.memory.reservation(Class::Requests);
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_BYTES
    };
    let head_bytes = head.headers.iter().map(field).sum();
    reservation.grow(head_bytes).await.map_err(|_exhausted| Error::NoMemory)?;
    reservation.set_sheddable(connection.cloned());
    let body = buffer::read(&mut reservation, body, limit).await.map_err(|error| match error {
        buffer::Error::TooLarge => Error::BodyTooLarge,
        buffer::Error::NoMemory => Error::NoMemory,
        buffer::Error::Truncated(error) => {
            Error::Malformed(format!("the request body ended early: {error}"))
        }
    })?;
    reservation.set_sheddable(None);
    Ok((body, reservation))
}
