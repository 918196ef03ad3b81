//! Answers that the system itself gives, in the shape that clients of these endpoints expect.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use wire::outcome;

use crate::body::Body;

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
    /// The body is not what the path takes.
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
    /// There is no target that could take the request now.
    #[display("no target can take the request now")]
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// A target failed after the request was sent to it.
    #[display("the target failed: {problem}")]
    Target {
        /// What was seen.
        problem: String,
    },
    /// The deadline passed after the request was sent to a target.
    #[display("the deadline passed")]
    Deadline,
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
    /// Whether the request ran, as far as the system knows.
    pub fn word(&self) -> outcome::Word {
        match self {
            Fault::Target { .. } | Fault::Deadline => outcome::Word::MayHaveRun,
            _ => outcome::Word::NotRun,
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
            Fault::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Fault::Target { .. } => StatusCode::BAD_GATEWAY,
            Fault::Deadline => StatusCode::GATEWAY_TIMEOUT,
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
            Fault::Unavailable { .. } => "overloaded_error",
            Fault::Target { .. } | Fault::Deadline => "api_error",
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
            Fault::Unavailable { .. } => "unavailable",
            Fault::Target { .. } => "target_failed",
            Fault::Deadline => "deadline_exceeded",
        }
    }
}

/// The answer for a fault.
pub fn fault(fault: &Fault) -> Response<Body> {
    let mut response = json(fault.status(), fault.json());
    mark(&mut response, fault.word());
    if let Fault::Unavailable { retry_after } = fault {
        let seconds = retry_after.as_secs().max(1);
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
pub fn mark(response: &mut Response<Body>, word: outcome::Word) {
    let value = match word {
        outcome::Word::NotRun => "not-run",
        outcome::Word::MayHaveRun => "may-have-run",
        outcome::Word::Ran => "ran",
    };
    response.headers_mut().insert(outcome::HEADER, HeaderValue::from_static(value));
}
