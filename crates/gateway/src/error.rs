//! The system's own answers to callers.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use entry::body::Body;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use placement::balancer::selection;

/// Pause that is asked for before any configuration is known.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// An answer that comes from no target.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// No configuration is known yet; the request did not run.
    #[display("no configuration is known yet")]
    NoConfig,
    /// No route fits.
    #[display("no route fits the host and path")]
    NoRoute,
    /// The request can't be served as it is.
    #[display("{_0}")]
    Malformed(String),
    /// The body is larger than the limit.
    #[display("the body is larger than the limit")]
    BodyTooLarge,
    /// The request did not run and will not.
    #[display("not run: {}", _0.reason)]
    Refused(selection::Refusal),
    /// The request may have run and gave no answer that can be passed on.
    #[display("the target gave no whole answer")]
    TargetFailed,
    /// The time of the request is over; it may have run.
    #[display("the time of the request is over")]
    Timeout,
}

impl Error {
    /// HTTP status; only 429 and 503 say that nothing ran.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::NoRoute => StatusCode::NOT_FOUND,
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Error::NoConfig | Error::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Error::TargetFailed => StatusCode::BAD_GATEWAY,
            Error::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When it is worth asking again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::NoConfig => Some(NO_CONFIG_RETRY),
            Error::Refused(refusal) => Some(refusal.retry_after),
            Error::NoRoute
            | Error::Malformed(_)
            | Error::BodyTooLarge
            | Error::TargetFailed
            | Error::Timeout => None,
        }
    }

    /// When the first token of a refused request would have been expected at best.
    pub fn expected_first_token(&self) -> Option<Duration> {
        match self {
            Error::Refused(refusal) => refusal.expected,
            _ => None,
        }
    }

    /// The answer.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::whole(Bytes::from(format!("{self}\n"))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(pause) = self.retry_after() {
            platform::response::set_retry_after(headers, pause);
        }
        response
    }
}
