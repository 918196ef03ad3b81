//! Reads of a request's path, deadline header and body.

use common::clock::Moment;
use entry::{
    request::{self, DEADLINE_HEADER},
    response::Error,
};
use hyper::{HeaderMap, header::HeaderValue};
use route::request::Retry;
use settings::service;

const NOW: Moment = Moment(1_000);

#[yare::parameterized(
    same = { "/certificates", Retry::Never },
    below = { "/certificates/7", Retry::Never },
    query = { "/certificates?draft=1", Retry::Never },
    longer_name = { "/certificates-archive", Retry::Allowed },
    other = { "/records", Retry::Allowed },
)]
fn calls_of_claimed_paths_are_not_retried(path: &str, expected: Retry) {
    let claims =
        service::Claims { paths: vec![String::from("/certificates")], ..Default::default() };
    assert_eq!(request::retry(path, &claims), expected);
}

#[yare::parameterized(
    shorter = { "250", Some(1_250) },
    at_most_the_limit = { "9999999", Some(6_000) },
    zero = { "0", Some(1_000) },
    not_a_number = { "soon", None },
    negative = { "-5", None },
)]
fn a_deadline_is_the_callers_but_at_most_the_limit(value: &'static str, expected_ms: Option<u64>) {
    let mut headers = HeaderMap::new();
    headers.insert(DEADLINE_HEADER, HeaderValue::from_static(value));
    let deadline = request::deadline(&headers, &limits(), NOW);
    assert_eq!(deadline.ok(), expected_ms.map(Moment));
}

#[test]
fn without_a_deadline_header_the_limit_applies() {
    assert_eq!(request::deadline(&HeaderMap::new(), &limits(), NOW), Ok(Moment(6_000)));
}

#[yare::parameterized(
    malformed_json = { "{\"model\"" },
    no_model = { "{\"prompt\": \"hello\"}" },
    wrong_type = { "{\"model\": 7}" },
)]
fn a_malformed_completion_is_refused(body: &str) {
    let parsed = request::parse_completion(&body.to_owned().into());
    assert!(matches!(parsed, Err(Error::InvalidRequest { .. })), "{parsed:?}");
}

fn limits() -> service::Limits {
    service::Limits { deadline_ms: 5_000, ..Default::default() }
}
