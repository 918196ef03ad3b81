//! Responses that don't come from a target, in the format of the OpenAI API.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use route::request::{Reason, Refusal};
use serde::Serialize;
use wire::outcome;

use crate::body::Body;

const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MS_PER_SECOND: u128 = 1_000;

/// Why a request was refused or failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The request has no key, or one that belongs to no service.
    #[display("the key is missing or unknown; send it as `authorization: Bearer KEY`")]
    UnknownKey,
    /// The service has no such path or method.
    #[display("no such path, or the method is not allowed")]
    UnknownPath,
    /// The body is larger than the service allows.
    #[display("the body is larger than {limit_kb} kilobytes")]
    BodyTooLarge {
        /// The service's limit.
        limit_kb: u64,
    },
    /// The body did not arrive in time.
    #[display("the body did not arrive within {limit_ms} ms")]
    BodyTooSlow {
        /// The limit for the whole body.
        limit_ms: u64,
    },
    /// A header or the body of the request is invalid.
    #[display("{problem}")]
    InvalidRequest {
        /// What is wrong with it.
        problem: String,
    },
    /// The service has no such model.
    #[display("the service has no model `{model}`")]
    UnknownModel {
        /// The requested model.
        model: String,
    },
    /// The router refused the request.
    #[display("{}", refusal.reason)]
    Refused {
        /// The reason and when to retry.
        #[error(not(source))]
        refusal: Refusal,
    },
    /// The call must run at most once, and the log that stores its claim can't be reached.
    #[display(
        "calls that must run at most once can't be accepted now: the partner's log can't be reached"
    )]
    LogUnreachable,
    /// The idempotency key was used for another call.
    #[display("the idempotency key was used for another call; use a new key")]
    IdempotencyKeyReused,
    /// The call is already running.
    #[display("a call with this idempotency key is in progress; retry to get its response")]
    InProgress,
    /// It can't be known whether the call ran.
    #[display(
        "whether the call with this idempotency key ran is unknown; look it up at the service before using a new key"
    )]
    OutcomeUnknown,
    /// The call ran, but its response was too large to be stored.
    #[display("the call with this idempotency key ran; its response was too large to be stored")]
    ResponseNotStored,
    /// The target's response is too large to be buffered.
    #[display("the call ran, but its response is too large to be buffered")]
    ResponseTooLarge,
    /// A target failed after the request was sent to it.
    #[display("the target failed: {problem}")]
    TargetFailed {
        /// How it failed.
        problem: String,
    },
    /// The deadline passed.
    #[display("the deadline passed")]
    DeadlineExceeded {
        /// Whether an attempt had been sent.
        #[error(not(source))]
        execution: outcome::Execution,
    },
}

/// Body of an error response.
#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

/// The error in the body of an error response.
#[derive(Serialize)]
struct Detail<'a> {
    message: String,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
}

impl Error {
    /// Returns the error for a request that the router no longer knows, or whose attempts can't have run.
    pub fn unavailable() -> Error {
        let refusal = Refusal { reason: Reason::QueueFull, retry_after: DEFAULT_RETRY_AFTER };
        Error::Refused { refusal }
    }

    /// Returns whether the request ran, as far as is known.
    pub fn execution(&self) -> outcome::Execution {
        match self {
            Error::ResponseNotStored | Error::ResponseTooLarge => outcome::Execution::Ran,
            Error::TargetFailed { .. } | Error::InProgress | Error::OutcomeUnknown => {
                outcome::Execution::MayHaveRun
            }
            Error::DeadlineExceeded { execution } => *execution,
            _ => outcome::Execution::NotRun,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::UnknownKey => StatusCode::UNAUTHORIZED,
            Error::UnknownPath | Error::UnknownModel { .. } => StatusCode::NOT_FOUND,
            Error::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Error::BodyTooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Error::InvalidRequest { .. } => StatusCode::BAD_REQUEST,
            Error::Refused { refusal } => {
                StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
            }
            Error::LogUnreachable => StatusCode::SERVICE_UNAVAILABLE,
            Error::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Error::InProgress | Error::OutcomeUnknown | Error::ResponseNotStored => {
                StatusCode::CONFLICT
            }
            Error::TargetFailed { .. } | Error::ResponseTooLarge => StatusCode::BAD_GATEWAY,
            Error::DeadlineExceeded { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the time after which a retry may succeed, if any.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { refusal } => Some(refusal.retry_after),
            Error::LogUnreachable | Error::InProgress => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the body of the response, in the format of the OpenAI API.
    pub fn json(&self) -> String {
        let detail = Detail { message: self.to_string(), kind: self.kind(), code: self.code() };
        serde_json::to_string(&Envelope { error: detail })
            .expect("invariant: values whose map keys are strings serialise to JSON")
    }

    fn kind(&self) -> &'static str {
        match self {
            Error::UnknownKey => "authentication_error",
            Error::Refused { .. } | Error::LogUnreachable => "overloaded_error",
            Error::TargetFailed { .. }
            | Error::DeadlineExceeded { .. }
            | Error::ResponseTooLarge => "api_error",
            _ => "invalid_request_error",
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Error::UnknownKey => "invalid_api_key",
            Error::UnknownPath => "not_found",
            Error::BodyTooLarge { .. } => "body_too_large",
            Error::BodyTooSlow { .. } => "body_too_slow",
            Error::InvalidRequest { .. } => "invalid_request",
            Error::UnknownModel { .. } => "model_not_found",
            Error::Refused { .. } => "refused",
            Error::LogUnreachable => "log_unreachable",
            Error::IdempotencyKeyReused => "idempotency_key_reused",
            Error::InProgress => "in_progress",
            Error::OutcomeUnknown => "outcome_unknown",
            Error::ResponseNotStored => "answer_not_kept",
            Error::ResponseTooLarge => "answer_too_large",
            Error::TargetFailed { .. } => "target_failed",
            Error::DeadlineExceeded { .. } => "deadline_exceeded",
        }
    }
}

/// Returns the response for an error.
pub fn error(error: &Error) -> Response<Body> {
    let mut response = json(error.status(), error.json());
    set_execution(&mut response, error.execution());
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after.as_millis().div_ceil(MS_PER_SECOND).max(1);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns a JSON response.
pub fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Sets the header that says whether the request ran.
pub fn set_execution(response: &mut Response<Body>, execution: outcome::Execution) {
    let value = match execution {
        outcome::Execution::NotRun => "not-run",
        outcome::Execution::MayHaveRun => "may-have-run",
        outcome::Execution::Ran => "ran",
    };
    response.headers_mut().insert(outcome::HEADER, HeaderValue::from_static(value));
}
