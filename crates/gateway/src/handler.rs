//! Routes one request and answers it.

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
use slog::{debug, info};

use crate::{
    error::Error,
    job::Job,
    state::{Gateway, ms},
    stream, whole,
};

/// Answers one request; faults are answers, too.
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
    let answer = match prepare(&gateway, head, body, arrived).await {
        Ok(job) => carry_out(Arc::new(job)).await,
        Err(fault) => {
            info!(gateway.log, "request_rejected"; "id" => id, "fault" => %fault,
                "status" => fault.status().as_u16(), "config" => gateway.config_version());
            Err(fault)
        }
    };
    let response = answer.unwrap_or_else(|fault| fault.response());
    let status = response.status().as_u16().to_string();
    metrics::counter!("daisydrum_requests_total", "status" => status).increment(1);
    Ok(response)
}

async fn carry_out(job: Arc<Job>) -> Result<Response<Body>, Error> {
    let answer = match job.route().delivery {
        Delivery::Stream { .. } => stream::run(Arc::clone(&job)).await,
        Delivery::Whole => whole::run(&job).await,
    };
    let (gateway, metadata) = (&job.gateway, &job.metadata);
    match &answer {
        Ok(response) => debug!(gateway.log, "request_answered"; "id" => &metadata.id,
            "route" => &job.route().name, "status" => response.status().as_u16(),
            "ms" => job.age_ms()),
        Err(fault) => info!(gateway.log, "request_failed"; "id" => &metadata.id,
            "route" => &job.route().name, "status" => fault.status().as_u16(), "fault" => %fault,
            "ms" => job.age_ms(), "retry_after_ms" => fault.retry_after().map_or(0, ms),
            "expected_ms" => fault.expected_first_token().map_or(0, ms),
            "target_ms" => ms(job.route().target_latency),
            "prompt_tokens" => metadata.prompt_tokens, "left_ms" => ms(job.remaining()),
            "config" => job.config.version),
    }
    answer
}

async fn prepare(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Job, Error> {
    let config = gateway.config().ok_or(Error::NoConfig)?;
    let route = find_route(&config, &head).ok_or(Error::NoRoute)?;
    let metadata = platform::request::decode(&head.headers)
        .map_err(|fault| Error::Malformed(fault.to_string()))?;
    let body = read_body(body, config.limits.body_bytes).await?;
    let route_timeout = config.routes[route].timeout;
    let timeout = metadata.timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout));
    let draw =
        random::mix(metadata.id.bytes().fold(0, |hash, byte| random::mix(hash ^ u64::from(byte))));
    Ok(Job {
        gateway: Arc::clone(gateway),
        config,
        route,
        metadata,
        method: head.method,
        uri: origin_form(head.uri),
        headers: head.headers,
        body,
        arrived,
        deadline: arrived + timeout,
        draw,
    })
}

fn find_route(config: &Config, head: &Parts) -> Option<usize> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named)?;
    let host = host.split(':').next().unwrap_or(host);
    let found = config.route(host, head.uri.path())?;
    config.routes.iter().position(|route| std::ptr::eq(route, found))
}

/// The path and query alone, as targets expect them.
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
        Err(error) => Err(Error::Malformed(format!("the body broke off: {error}"))),
    }
}
