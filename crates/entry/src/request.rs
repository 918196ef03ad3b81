//! Reads a caller's request: its key, body and deadline, and whether it may be retried.

use std::time::Duration;

use bytes::Bytes;
use common::clock::Moment;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_LENGTH},
};
use route::request::Retry;
use settings::service;
use tokio::time;
use wire::completion;

use crate::{
    directory::{Binding, Directory},
    response,
};

/// Header with the time in which the caller wants the complete response, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-daisydrum-deadline-ms";
/// Longest time for a request's body to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const BYTES_PER_KB: u64 = 1_024;
const BEARER: &str = "Bearer ";

/// Looks up the service and organisation that a request's key belongs to.
///
/// # Errors
///
/// Returns [`response::Error::UnknownKey`] if the key is missing or unknown.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    directory: &'a Directory,
) -> Result<&'a Binding, response::Error> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(BEARER))
        .and_then(|key| directory.find(key.trim()))
        .ok_or(response::Error::UnknownKey)
}

/// Reads a body of at most `limit_kb` kilobytes.
///
/// # Errors
///
/// Returns an error if the body is larger than `limit_kb`, does not arrive within [`BODY_TIMEOUT`] or is incomplete.
pub async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    limit_kb: u64,
) -> Result<Bytes, response::Error> {
    let limit_bytes = limit_kb * BYTES_PER_KB;
    if declared_length(headers).is_some_and(|length| length > limit_bytes) {
        return Err(response::Error::BodyTooLarge { limit_kb });
    }
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let collected =
        time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await.map_err(
            |_elapsed| response::Error::BodyTooSlow { limit_ms: BODY_TIMEOUT.as_millis() as u64 },
        )?;
    collected.map(|body| body.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            return response::Error::BodyTooLarge { limit_kb };
        }
        response::Error::InvalidRequest { problem: format!("the body is incomplete: {error}") }
    })
}

/// Parses the body of a completion request.
///
/// # Errors
///
/// Returns an error that says what is wrong with the body.
pub fn parse_completion(body: &Bytes) -> Result<completion::Request, response::Error> {
    serde_json::from_slice(body).map_err(|error| response::Error::InvalidRequest {
        problem: format!("the body is not a valid completion request: {error}"),
    })
}

/// Returns when the response must be complete: after the time that the caller sets, but at most after the service's
/// limit.
///
/// # Errors
///
/// Returns an error if [`DEADLINE_HEADER`] is not a number of milliseconds.
pub fn deadline(
    headers: &HeaderMap,
    limits: &service::Limits,
    now: Moment,
) -> Result<Moment, response::Error> {
    let limit = Duration::from_millis(limits.deadline_ms);
    let Some(header) = headers.get(DEADLINE_HEADER) else {
        return Ok(now + limit);
    };
    let timeout =
        header.to_str().ok().and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let problem = format!("the header `{DEADLINE_HEADER}` is not a number of milliseconds");
    let timeout = timeout.ok_or(response::Error::InvalidRequest { problem })?;
    Ok(now + timeout.min(limit))
}

/// Returns whether calls of a path may be retried: not if one of the prefixes in `claims.paths` matches whole segments.
pub fn retry(path: &str, claims: &service::Claims) -> Retry {
    let matches = |prefix: &String| {
        path.strip_prefix(prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
    };
    if claims.paths.iter().any(matches) { Retry::Never } else { Retry::Allowed }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
