//! The response for each error.

use std::time::Duration;

use entry::response::{self, Error};
use expect_test::expect;
use route::request::{Reason, Refusal};
use wire::outcome;

#[test]
fn each_error_has_its_status_outcome_retry_time_and_message() {
    let refusal = |reason| Refusal { reason, retry_after: Duration::from_millis(1_200) };
    let errors = [
        Error::UnknownKey,
        Error::UnknownPath,
        Error::BodyTooLarge { limit_kb: 64 },
        Error::BodyTooSlow { limit_ms: 10_000 },
        Error::InvalidRequest { problem: String::from("no number") },
        Error::UnknownModel { model: String::from("small") },
        Error::Refused { refusal: refusal(Reason::QueueFull) },
        Error::Refused { refusal: refusal(Reason::TooLate) },
        Error::Refused { refusal: refusal(Reason::NoTarget) },
        Error::Refused { refusal: refusal(Reason::TargetsFull) },
        Error::LogUnreachable,
        Error::IdempotencyKeyReused,
        Error::InProgress,
        Error::OutcomeUnknown,
        Error::ResponseNotStored,
        Error::ResponseTooLarge,
        Error::TargetFailed { problem: String::from("closed") },
        Error::DeadlineExceeded { execution: outcome::Execution::NotRun },
        Error::DeadlineExceeded { execution: outcome::Execution::MayHaveRun },
    ];
    let lines: Vec<String> = errors.iter().map(line).collect();
    expect![[r#"
        401 not-run - the key is missing or unknown; send it as `authorization: Bearer KEY`
        404 not-run - no such path, or the method is not allowed
        413 not-run - the body is larger than 64 kilobytes
        408 not-run - the body did not arrive within 10000 ms
        400 not-run - no number
        404 not-run - the service has no model `small`
        429 not-run 2 the queue of the service is full
        429 not-run 2 the wait is too long to answer the request in time
        503 not-run 2 no target serves the requested model or service
        503 not-run 2 the last target that was tried is full, unavailable or unreachable
        503 not-run 1 calls that must run at most once can't be accepted now: the partner's log can't be reached
        422 not-run - the idempotency key was used for another call; use a new key
        409 may-have-run 1 a call with this idempotency key is in progress; retry to get its response
        409 may-have-run - whether the call with this idempotency key ran is unknown; look it up at the service before using a new key
        409 ran - the call with this idempotency key ran; its response was too large to be stored
        502 ran - the call ran, but its response is too large to be buffered
        502 may-have-run - the target failed: closed
        504 not-run - the deadline passed
        504 may-have-run - the deadline passed"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn an_error_has_the_json_format_of_the_openai_api() {
    expect![[
        r#"{"error":{"message":"the service has no model `small`","type":"invalid_request_error","code":"model_not_found"}}"#
    ]]
    .assert_eq(&Error::UnknownModel { model: String::from("small") }.json());
}

fn line(error: &Error) -> String {
    let response = response::error(error);
    let header = |name: &str| {
        response.headers().get(name).map(|value| String::from_utf8_lossy(value.as_bytes()))
    };
    let outcome = header(outcome::HEADER).unwrap_or_default();
    let retry_after = header("retry-after").unwrap_or("-".into());
    format!("{} {outcome} {retry_after} {error}", response.status().as_u16())
}
