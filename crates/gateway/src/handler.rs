//! Handles one request of a caller: matches a route, reads the body and returns the response.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use common::{clock::Moment, random};
use entry::body::Body;
use fleet::config::{Config, Delivery};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::HOST,
    http::request::Parts,
};
use slog::{Logger, debug, info};

use crate::{
    content,
    error::Error,
    progress::Shared,
    request::Pending,
    state::{Gateway, ms},
    stream, whole,
};

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
    let result = match request.route().delivery {
        Delivery::Stream { .. } => stream::run(Arc::clone(&request)).await,
        Delivery::Whole => whole::run(&request).await,
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

async fn prepare(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Pending, Error> {
    let config = gateway.config().ok_or(Error::NoConfig)?;
    let route = find_route(&config, &head).ok_or(Error::NoRoute)?;
    let metadata = platform::request::decode(&head.headers)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let body = read_body(body, config.limits.body_bytes).await?;
    let route_timeout = config.routes[route].timeout;
    let timeout = metadata.timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout));
    let stream = metadata.resumes.as_ref().unwrap_or(&metadata.id);
    let draw =
        random::mix(stream.bytes().fold(0, |hash, byte| random::mix(hash ^ u64::from(byte))));
    let shared_parts = metadata.shared_parts();
    let content = content::content(&head.method, &head.uri, &head.headers, &body, shared_parts);
    Ok(Pending {
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
        deadline: arrived + timeout,
        draw,
        progress: Shared::default(),
    })
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

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Error> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Error::BodyTooLarge),
        Err(error) => Err(Error::Malformed(format!("the request body ended early: {error}"))),
    }
}
