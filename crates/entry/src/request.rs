//! A caller's request: whose it is, what it asks for, and its body.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_LENGTH},
};
use serde::Deserialize;
use tokio::time;

use crate::{
    answer,
    directory::{Binding, Directory},
};

/// Longest time for a request's body to arrive.
pub const BODY_LIMIT: Duration = Duration::from_secs(10);
const BYTES_PER_KB: u64 = 1_024;
const BEARER: &str = "Bearer ";

/// The part of a completion's body that the system looks at.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// The model that the caller names.
    pub model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Output tokens at most.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// Finds whom a request belongs to by its key.
///
/// # Errors
///
/// Returns [`answer::Fault::Key`] when the key is missing or unknown.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    directory: &'a Directory,
) -> Result<&'a Binding, answer::Fault> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(BEARER))
        .and_then(|key| directory.find(key.trim()))
        .ok_or(answer::Fault::Key)
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
) -> Result<Bytes, answer::Fault> {
    let limit_bytes = limit_kb * BYTES_PER_KB;
    if declared_length(headers).is_some_and(|length| length > limit_bytes) {
        return Err(answer::Fault::Large { limit_kb });
    }
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let collected = time::timeout(BODY_LIMIT, Limited::new(body, limit).collect())
        .await
        .map_err(|_elapsed| answer::Fault::Slow { limit_ms: BODY_LIMIT.as_millis() as u64 })?;
    collected.map(|body| body.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            return answer::Fault::Large { limit_kb };
        }
        answer::Fault::Invalid { problem: format!("the body broke off: {error}") }
    })
}

/// Reads the body of a completion.
///
/// # Errors
///
/// Returns a fault that says what is wrong with the body.
pub fn parse_completion(body: &Bytes) -> Result<Completion, answer::Fault> {
    serde_json::from_slice(body).map_err(|error| answer::Fault::Invalid {
        problem: format!("the body is no completion request: {error}"),
    })
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
