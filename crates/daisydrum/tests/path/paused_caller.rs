//! Callers that send a whole request and read its response late.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use standin::{engine::Engine, http};
use tokio::time;
use yare::parameterized;

use crate::site::{Cluster, MODEL, PROMPT, Stream, assert_whole, completion, with_body};

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_secs(5);
const TOKENS: usize = 4_000;
/// Receive buffer of callers, in bytes.
const RECEIVE_BUFFER: u32 = 4_096;

async fn start(data_centres: &[&str]) -> (Cluster, Engine) {
    let cluster = Cluster::start_in(data_centres).await;
    let engine = cluster.engine_with("one", |options| options.speed.scale = 0.02).await;
    cluster.until_targets(1).await;
    (cluster, engine)
}

/// A completion request whose response is sent whole.
fn whole_completion() -> Request<Full<Bytes>> {
    let body = serde_json::json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": TOKENS });
    with_body(body.to_string())
}

#[parameterized(
    one_instance = { 1 },
    seven_instances = { 7 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_caller_that_reads_nothing_for_five_seconds_gets_the_whole_stream(instances: usize) {
    let (cluster, _engine) = start(&vec!["suva"; instances]).await;
    let mut streams = Vec::new();
    for daemon in &cluster.daemons {
        let open =
            http::open_with_receive_buffer(daemon.callers(), completion(TOKENS), RECEIVE_BUFFER);
        let mut stream = Stream::new(open.await.unwrap());
        stream.read_tokens(3).await;
        streams.push(stream);
    }
    time::sleep(PAUSE).await;
    for stream in streams {
        assert_whole(&stream.read_all().await, TOKENS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_for_five_seconds_gets_the_whole_response() {
    let (cluster, _engine) = start(&["suva"]).await;
    let to = cluster.daemons[0].callers();
    let response =
        http::open_with_receive_buffer(to, whole_completion(), RECEIVE_BUFFER).await.unwrap();
    time::sleep(PAUSE).await;
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_whole(body["choices"][0]["text"].as_str().unwrap(), TOKENS);
}
