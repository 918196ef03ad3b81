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
pub enum Fault {
    /// No key, or one that no service knows.
    #[display("the key is missing or unknown; send it as `authorization: Bearer KEY`")]
    Key,
    /// The path is not served.
    #[display("no such path")]
    Path,
    /// The body is larger than the service allows.
    #[display("the body is larger than {limit_kb} kilobytes")]
    Large {
        /// The service's limit.
        limit_kb: u64,
    },
    /// The body did not arrive in time.
    #[display("the body did not arrive within {limit_ms} ms")]
    Slow {
        /// The limit for the whole body.
        limit_ms: u64,
    },
    /// The request is not what the path takes.
    #[display("{problem}")]
    Invalid {
        /// What is wrong with it.
        problem: String,
    },
    /// The model is not one of the service's.
    #[display("the service has no model `{model}`")]
    Model {
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
    NoLog,
    /// The idempotency key was used for another call.
    #[display("the idempotency key was used for another call; use a new key")]
    KeyReused,
    /// The call runs already.
    #[display("a call with this idempotency key is in progress; ask again for its answer")]
    InProgress,
    /// Nobody can know whether the call ran.
    #[display(
        "whether the call with this idempotency key ran is unknown; look it up at the service before using a new key"
    )]
    Unknown,
    /// The call ran, but its answer was too large to be kept.
    #[display("the call with this idempotency key ran; its answer was too large to be kept")]
    NotKept,
    /// The target's answer is larger than the system holds.
    #[display("the call ran, but its answer is larger than the system holds")]
    Oversized,
    /// A target failed after the request was sent to it.
    #[display("the target failed: {problem}")]
    Target {
        /// What was seen.
        problem: String,
    },
    /// The deadline passed.
    #[display("the deadline passed")]
    Deadline {
        /// Whether the request was sent before.
        #[error(not(source))]
        word: outcome::Execution,
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

impl Fault {
    /// The router's thread is overloaded or ends.
    pub fn unavailable() -> Fault {
        let refusal = Refusal { reason: Reason::QueueFull, retry_after: DEFAULT_RETRY_AFTER };
        Fault::Refused { refusal }
    }

    /// Whether the request ran, as far as the system knows.
    pub fn word(&self) -> outcome::Execution {
        match self {
            Fault::NotKept | Fault::Oversized => outcome::Execution::Ran,
            Fault::Target { .. } | Fault::InProgress | Fault::Unknown => {
                outcome::Execution::MayHaveRun
            }
            Fault::Deadline { word } => *word,
            _ => outcome::Execution::NotRun,
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Fault::Key => StatusCode::UNAUTHORIZED,
            Fault::Path | Fault::Model { .. } => StatusCode::NOT_FOUND,
            Fault::Large { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::Slow { .. } => StatusCode::REQUEST_TIMEOUT,
            Fault::Invalid { .. } => StatusCode::BAD_REQUEST,
            Fault::Refused { refusal } => {
                StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
            }
            Fault::NoLog => StatusCode::SERVICE_UNAVAILABLE,
            Fault::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Fault::InProgress | Fault::Unknown | Fault::NotKept => StatusCode::CONFLICT,
            Fault::Target { .. } | Fault::Oversized => StatusCode::BAD_GATEWAY,
            Fault::Deadline { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When it is worth asking again, if at all.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Fault::Refused { refusal } => Some(refusal.retry_after),
            Fault::NoLog | Fault::InProgress => Some(DEFAULT_RETRY_AFTER),
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
            Fault::Key => "authentication_error",
            Fault::Refused { .. } | Fault::NoLog => "overloaded_error",
            Fault::Target { .. } | Fault::Deadline { .. } | Fault::Oversized => "api_error",
            _ => "invalid_request_error",
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Fault::Key => "invalid_api_key",
            Fault::Path => "not_found",
            Fault::Large { .. } => "body_too_large",
            Fault::Slow { .. } => "body_too_slow",
            Fault::Invalid { .. } => "invalid_request",
            Fault::Model { .. } => "model_not_found",
            Fault::Refused { .. } => "refused",
            Fault::NoLog => "log_unreachable",
            Fault::KeyReused => "idempotency_key_reused",
            Fault::InProgress => "in_progress",
            Fault::Unknown => "outcome_unknown",
            Fault::NotKept => "answer_not_kept",
            Fault::Oversized => "answer_too_large",
            Fault::Target { .. } => "target_failed",
            Fault::Deadline { .. } => "deadline_exceeded",
        }
    }
}

/// The answer for a fault.
pub fn fault(fault: &Fault) -> Response<Body> {
    let mut response = json(fault.status(), fault.json());
    mark(&mut response, fault.word());
    if let Some(retry_after) = fault.retry_after() {
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
pub fn mark(response: &mut Response<Body>, word: outcome::Execution) {
    let value = match word {
        outcome::Execution::NotRun => "not-run",
        outcome::Execution::MayHaveRun => "may-have-run",
        outcome::Execution::Ran => "ran",
    };
    response.headers_mut().insert(outcome::HEADER, HeaderValue::from_static(value));
}
