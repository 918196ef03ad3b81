//! Malformed, oversized, slow and half-sent requests.

use bytes::Bytes;
use hyper::StatusCode;
use standin::{harness::wait, http};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::site::{BODY_KB, KEY, MODEL, Site, Stream, check, with_body};

async fn status(site: &Site, body: impl Into<Bytes>) -> (StatusCode, String) {
    let request = with_body(body);
    let answer = http::call(site.daemons[0].callers(), request, wait::LIMIT).await.unwrap();
    assert_eq!(answer.header("x-daisydrum-outcome"), "not-run");
    let error: serde_json::Value = answer.json().unwrap();
    (answer.status, String::from(error["error"]["code"].as_str().unwrap()))
}

/// Sends raw bytes and returns the first line of the answer, or nothing where the connection is closed.
async fn raw(site: &Site, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(site.daemons[0].callers()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut text = Vec::new();
    let read = time::timeout(wait::LIMIT, stream.read_to_end(&mut text)).await;
    read.expect("the daemon ends the connection").unwrap();
    String::from_utf8_lossy(&text).lines().next().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_gets_a_clear_answer_and_the_daemon_lives() {
    let site = Site::start(1).await;
    let _engine = site.engine("one").await;
    site.until_targets(1).await;
    let unknown = format!(r#"{{"model": "other than {MODEL}", "prompt": "x"}}"#);
    let large = vec![b'x'; usize::try_from(BODY_KB * 1_024 + 1).unwrap()];
    assert_eq!(status(&site, "no json").await.0, StatusCode::BAD_REQUEST);
    assert_eq!(status(&site, r#"{"prompt": "x"}"#).await.0, StatusCode::BAD_REQUEST);
    assert_eq!(status(&site, unknown).await, (StatusCode::NOT_FOUND, "model_not_found".into()));
    assert_eq!(status(&site, large).await.0, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(raw(&site, b"nonsense\r\n\r\n").await, "HTTP/1.1 400 Bad Request");
    let stream = Stream::open(site.daemons[0].callers(), 5).await;
    check(&stream.read_all().await, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_half_way_is_answered_with_408() {
    let site = Site::start(1).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: d\r\nauthorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\n{{"
    );
    assert_eq!(raw(&site, head.as_bytes()).await, "HTTP/1.1 408 Request Timeout");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_never_ends_is_cut_and_holds_nobody_up() {
    let site = Site::start(1).await;
    let _engine = site.engine("one").await;
    site.until_targets(1).await;
    let slow = raw(&site, b"POST /v1/completions HTTP/1.1\r\nhost: d\r\nx-half");
    let served = async {
        let stream = Stream::open(site.daemons[0].callers(), 5).await;
        check(&stream.read_all().await, 5);
    };
    let (slow, ()) = tokio::join!(slow, served);
    assert!(slow.is_empty() || slow.contains("408"), "{slow}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_deadline_is_refused() {
    let site = Site::start(1).await;
    let mut request = with_body(format!(r#"{{"model": "{MODEL}", "prompt": "x"}}"#));
    request.headers_mut().insert("x-daisydrum-deadline-ms", "soon".parse().unwrap());
    let answer = http::call(site.daemons[0].callers(), request, wait::LIMIT).await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
}
