//! A caller's request: whose it is, what it asks for, and its body.

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

/// Header with the time that the caller gives the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-daisydrum-deadline-ms";
/// Longest time for a request's body to arrive.
pub const BODY_LIMIT: Duration = Duration::from_secs(10);
const BYTES_PER_KB: u64 = 1_024;
const BEARER: &str = "Bearer ";

/// Finds whom a request belongs to by its key.
///
/// # Errors
///
/// Returns [`response::Error::UnknownKey`] when the key is missing or unknown.
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
/// Returns a fault when the body is too large, too slow or broken off.
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
    let collected = time::timeout(BODY_LIMIT, Limited::new(body, limit).collect()).await.map_err(
        |_elapsed| response::Error::BodyTooSlow { limit_ms: BODY_LIMIT.as_millis() as u64 },
    )?;
    collected.map(|body| body.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            return response::Error::BodyTooLarge { limit_kb };
        }
        response::Error::InvalidRequest { problem: format!("the body broke off: {error}") }
    })
}

/// Reads the body of a completion.
///
/// # Errors
///
/// Returns a fault that says what is wrong with the body.
pub fn parse_completion(body: &Bytes) -> Result<completion::Request, response::Error> {
    serde_json::from_slice(body).map_err(|error| response::Error::InvalidRequest {
        problem: format!("the body is no completion request: {error}"),
    })
}

/// When the answer must have ended: the caller's wish, at most the service's limit.
///
/// # Errors
///
/// Returns a fault when the caller's wish is no number of milliseconds.
pub fn deadline(
    headers: &HeaderMap,
    limits: &service::Limits,
    now: Moment,
) -> Result<Moment, response::Error> {
    let limit = Duration::from_millis(limits.deadline_ms);
    let Some(header) = headers.get(DEADLINE_HEADER) else {
        return Ok(now + limit);
    };
    let wish = header.to_str().ok().and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let problem = format!("the header {DEADLINE_HEADER} is no number of milliseconds");
    let wish = wish.ok_or(response::Error::InvalidRequest { problem })?;
    Ok(now + wish.min(limit))
}

/// Whether a path belongs to calls that may not be repeated.
pub fn retry(path: &str, claims: &service::Claims) -> Retry {
    let claimed = |prefix: &String| {
        path.strip_prefix(prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
    };
    if claims.paths.iter().any(claimed) { Retry::Never } else { Retry::Allowed }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
