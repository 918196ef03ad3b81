//! Errors of the request path, and the responses that callers get for them.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use entry::body::Body;
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
};
use memory::ledger::MIN_STALL;
use placement::balancer::selection;

/// Retry-After of responses before a configuration is in force.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Retry-After while a newer configuration is on its way.
const CONFIG_OUTDATED_RETRY: Duration = Duration::from_millis(250);

/// Why a caller gets a response that comes from no target.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// No configuration is in force yet; the request did not run.
    #[display("no configuration is in force yet")]
    NoConfig,
    /// The configuration here doesn't allow the request, but a newer one is in force, which may; the request did not run.
    #[display("a newer configuration is on its way; the request did not run")]
    ConfigOutdated,
    /// No route matches the host and path.
    #[display("no route matches the host and path")]
    NoRoute,
    /// The route needs an API key, and the request has none that an organisation holds.
    #[display("the request has no valid API key")]
    Unauthorized,
    /// The instance can't be sure that its API keys are current; the request did not run.
    #[display("the API keys may be outdated here; the request did not run")]
    KeysOutdated,
    /// The request is malformed, with the reason.
    #[display("{_0}")]
    Malformed(String),
    /// The body is larger than the configured limit.
    #[display("the request body is larger than the configured limit")]
    BodyTooLarge,
    /// Others hold all of the memory for requests; this one did not run and will not.
    #[display("no memory is left for the request, which did not run")]
    NoMemory,
    /// The request did not run and will not.
    #[display("the request did not run: {}", _0.reason)]
    Refused(selection::Refusal),
    /// The request may have run, but no target gave a response that can be forwarded.
    #[display("no target gave a complete response; the request may have run")]
    TargetFailed,
    /// The deadline has passed; the request may have run.
    #[display("the deadline has passed; the request may have run")]
    Timeout,
}

impl Error {
    /// The HTTP status. Callers take only 429 and 503 to mean that the request did not run.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::NoRoute => StatusCode::NOT_FOUND,
            Error::Unauthorized => StatusCode::UNAUTHORIZED,
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Error::NoConfig
            | Error::ConfigOutdated
            | Error::KeysOutdated
            | Error::NoMemory
            | Error::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Error::TargetFailed => StatusCode::BAD_GATEWAY,
            Error::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the request did not run since no target of its service can be reached from here.
    pub fn is_cut_off(&self) -> bool {
        matches!(self, Error::Refused(refusal) if refusal.reason == selection::Reason::CutOff)
    }

    /// Whether the request did not run since this instance stops.
    pub fn is_stopping(&self) -> bool {
        matches!(self, Error::Refused(refusal) if refusal.reason == selection::Reason::Stopping)
    }

    /// Time after which the caller may try again, for the Retry-After header.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::NoConfig | Error::KeysOutdated => Some(NO_CONFIG_RETRY),
            Error::ConfigOutdated => Some(CONFIG_OUTDATED_RETRY),
            Error::NoMemory => Some(MIN_STALL),
            Error::Refused(refusal) => Some(refusal.retry_after),
            Error::NoRoute
            | Error::Unauthorized
            | Error::Malformed(_)
            | Error::BodyTooLarge
            | Error::TargetFailed
            | Error::Timeout => None,
        }
    }

    /// Shortest predicted time to the first token of a refused request.
    pub fn expected_first_token(&self) -> Option<Duration> {
        match self {
            Error::Refused(refusal) => refusal.expected,
            _ => None,
        }
    }

    /// The response to the caller.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::whole(Bytes::from(format!("{self}\n"))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        // The rest of the body is not read.
        if matches!(self, Error::BodyTooLarge | Error::NoMemory) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(pause) = self.retry_after() {
            platform::response::set_retry_after(headers, pause);
        }
        response
    }
}
