//! Malformed, oversized, slow and half-sent requests.

use bytes::Bytes;
use hyper::StatusCode;
use standin::{harness::wait, http};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::site::{BODY_KB, Cluster, KEY, MODEL, Stream, assert_whole, with_body};

/// Sends a completion request that must not run; returns the status and the error code of the response.
async fn status(cluster: &Cluster, body: impl Into<Bytes>) -> (StatusCode, String) {
    let request = with_body(body);
    let response = http::call(cluster.daemons[0].callers(), request, wait::LIMIT).await.unwrap();
    assert_eq!(response.header("x-daisydrum-outcome"), "not-run");
    let error: serde_json::Value = response.json().unwrap();
    (response.status, String::from(error["error"]["code"].as_str().unwrap()))
}

/// Sends raw bytes and returns the response's status line, or an empty text if the connection is closed without one.
async fn send_raw(cluster: &Cluster, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.daemons[0].callers()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut text = Vec::new();
    let read = time::timeout(wait::LIMIT, stream.read_to_end(&mut text)).await;
    read.expect("the daemon ends the connection").unwrap();
    String::from_utf8_lossy(&text).lines().next().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_malformed_request_gets_its_own_status_and_the_daemon_keeps_serving() {
    let cluster = Cluster::start(1).await;
    let _engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    let unknown = format!(r#"{{"model": "other than {MODEL}", "prompt": "x"}}"#);
    let large = vec![b'x'; usize::try_from(BODY_KB * 1_024 + 1).unwrap()];
    assert_eq!(status(&cluster, "no json").await.0, StatusCode::BAD_REQUEST);
    assert_eq!(status(&cluster, r#"{"prompt": "x"}"#).await.0, StatusCode::BAD_REQUEST);
    assert_eq!(status(&cluster, unknown).await, (StatusCode::NOT_FOUND, "model_not_found".into()));
    assert_eq!(status(&cluster, large).await.0, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(send_raw(&cluster, b"nonsense\r\n\r\n").await, "HTTP/1.1 400 Bad Request");
    let stream = Stream::open(cluster.daemons[0].callers(), 5).await;
    assert_whole(&stream.read_all().await, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_body_is_answered_with_408() {
    let cluster = Cluster::start(1).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: d\r\nauthorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\n{{"
    );
    assert_eq!(send_raw(&cluster, head.as_bytes()).await, "HTTP/1.1 408 Request Timeout");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_head_is_cut_off_and_delays_no_other_caller() {
    let cluster = Cluster::start(1).await;
    let _engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    let slow = send_raw(&cluster, b"POST /v1/completions HTTP/1.1\r\nhost: d\r\nx-half");
    let served = async {
        let stream = Stream::open(cluster.daemons[0].callers(), 5).await;
        assert_whole(&stream.read_all().await, 5);
    };
    let (slow, ()) = tokio::join!(slow, served);
    assert!(slow.is_empty() || slow.contains("408"), "{slow}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_deadline_is_refused() {
    let cluster = Cluster::start(1).await;
    let mut request = with_body(format!(r#"{{"model": "{MODEL}", "prompt": "x"}}"#));
    request.headers_mut().insert("x-daisydrum-deadline-ms", "soon".parse().unwrap());
    let response = http::call(cluster.daemons[0].callers(), request, wait::LIMIT).await.unwrap();
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
}
