//! Answers that the system itself gives, in the shape that clients of these endpoints expect.

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

/// Why the system refused or failed a request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No key, or one that no service knows.
    #[display("the key is missing or unknown; send it as `authorization: Bearer KEY`")]
    UnknownKey,
    /// The path is not served.
    #[display("no such path")]
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
    /// The request is not what the path takes.
    #[display("{problem}")]
    InvalidRequest {
        /// What is wrong with it.
        problem: String,
    },
    /// The model is not one of the service's.
    #[display("the service has no model `{model}`")]
    UnknownModel {
        /// The model that was asked for.
        model: String,
    },
    /// The router refused the request.
    #[display("{}", refusal.reason)]
    Refused {
        /// Why, and when to come back.
        #[error(not(source))]
        refusal: Refusal,
    },
    /// The log that calls which may not be repeated are claimed in can't be reached.
    #[display(
        "calls that may not be repeated can't be taken now: the partner's log can't be reached"
    )]
    LogUnreachable,
    /// The idempotency key was used for another call.
    #[display("the idempotency key was used for another call; use a new key")]
    IdempotencyKeyReused,
    /// The call runs already.
    #[display("a call with this idempotency key is in progress; ask again for its answer")]
    InProgress,
    /// Nobody can know whether the call ran.
    #[display(
        "whether the call with this idempotency key ran is unknown; look it up at the service before using a new key"
    )]
    OutcomeUnknown,
    /// The call ran, but its answer was too large to be kept.
    #[display("the call with this idempotency key ran; its answer was too large to be kept")]
    ResponseNotStored,
    /// The target's answer is larger than the system holds.
    #[display("the call ran, but its answer is larger than the system holds")]
    ResponseTooLarge,
    /// A target failed after the request was sent to it.
    #[display("the target failed: {problem}")]
    TargetFailed {
        /// What was seen.
        problem: String,
    },
    /// The deadline passed.
    #[display("the deadline passed")]
    DeadlineExceeded {
        /// Whether the request was sent before.
        #[error(not(source))]
        execution: outcome::Execution,
    },
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    message: String,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
}

impl Error {
    /// The router's thread is overloaded or ends.
    pub fn unavailable() -> Error {
        let refusal = Refusal { reason: Reason::QueueFull, retry_after: DEFAULT_RETRY_AFTER };
        Error::Refused { refusal }
    }

    /// Whether the request ran, as far as the system knows.
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

    /// The HTTP status.
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

    /// When it is worth asking again, if at all.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { refusal } => Some(refusal.retry_after),
            Error::LogUnreachable | Error::InProgress => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// The body of the answer, in the shape of the OpenAI endpoints.
    pub fn json(&self) -> String {
        let detail = Detail { message: self.to_string(), kind: self.kind(), code: self.code() };
        serde_json::to_string(&Envelope { error: detail })
            .expect("invariant: the fault has only text")
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

/// The response for an error.
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

/// An answer of JSON.
pub fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Writes into an answer whether the request ran.
pub fn set_execution(response: &mut Response<Body>, execution: outcome::Execution) {
    let value = match execution {
        outcome::Execution::NotRun => "not-run",
        outcome::Execution::MayHaveRun => "may-have-run",
        outcome::Execution::Ran => "ran",
    };
    response.headers_mut().insert(outcome::HEADER, HeaderValue::from_static(value));
}
