//! What requests have in common that a caller sends in place of each other.

use fleet::exchange::Part;
use gateway::content::content;
use hyper::{HeaderMap, Method, Uri, header::HeaderName};
use placement::quarantine::request::Content;
use platform_standin::client;
use yare::parameterized;

/// Content of a request with the usual headers and these ones.
fn of(path: &str, headers: &[(&str, &str)], body: &str, parts: &[u64]) -> Content {
    let mut map = HeaderMap::new();
    let usual = client::stream_headers("1");
    for (name, value) in [("host", client::HOST_NAME)].iter().chain(&usual).chain(headers) {
        map.insert(HeaderName::try_from(*name).unwrap(), value.parse().unwrap());
    }
    let parts: Vec<Part> = parts.iter().map(|id| Part { id: *id, tokens: 100 }).collect();
    let uri: Uri = path.parse().unwrap();
    content(&Method::POST, &uri, &map, body.as_bytes(), &parts)
}

#[parameterized(
    a_new_id = { &client::stream_headers("2") },
    less_time = { &client::plain_headers("1") },
    a_stream_taken_up = { &[("last-event-id", "3"), ("resumes", "1")] },
    a_hint = { &[("x-length-hint", "40")] },
)]
fn a_request_that_is_sent_again_has_the_same_content(headers: &[(&str, &str)]) {
    assert_eq!(
        of("/lookup/7?page=1", headers, "body", &[]),
        of("/lookup/7?page=1", &[], "body", &[])
    );
}

#[parameterized(
    path = { "/lookup/8?page=1", &[], "body" },
    query = { "/lookup/7?page=2", &[], "body" },
    host = { "/lookup/7?page=1", &[("host", "other.example")], "body" },
    caller = { "/lookup/7?page=1", &[("authorization", "Bearer 2")], "body" },
    body = { "/lookup/7?page=1", &[], "bodies" },
    boundary = { "/lookup/7?page=1b", &[], "ody" },
)]
fn another_request_has_other_content(path: &str, headers: &[(&str, &str)], body: &str) {
    assert_ne!(of(path, headers, body, &[]), of("/lookup/7?page=1", &[], "body", &[]));
}

#[test]
fn content_without_the_shared_parts_of_the_prompt_is_told_apart() {
    let (first, second) = (of("/a/1", &[], "body", &[1, 2]), of("/a/1", &[], "body", &[1, 3]));
    assert_ne!(first.whole, second.whole);
    assert_eq!(first.without_parts, second.without_parts);
    assert_eq!(first.without_parts, Some(of("/a/1", &[], "body", &[]).whole));
}
