//! Sound targets that send nothing for a time and go on, and limits on silence that are shorter than that.

use std::time::Duration;

use common::cancel;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use standin::{
    engine::{self, Engine, Fault},
    harness::{daemon::Daemon, wait},
    http,
    pause::{Pause, Point},
    plain,
};
use tokio::{task::JoinHandle, time};

use crate::site::{
    Cluster, MODEL, PLAIN_KEY, PROMPT, Stream, assert_whole, completion, pause, with_body,
};

/// Limit on the silence of targets, in milliseconds.
const PROGRESS_MS: u64 = 300;
/// Longer than two limits on silence.
const RESPONSE_PAUSE: Duration = Duration::from_millis(1_300);
/// Longer than a limit on silence and an unanswered probe.
const PROCESS_PAUSE: Duration = Duration::from_millis(2_000);
/// Longer than the start of further targets and two limits on silence.
const HEAD_PAUSE: Duration = Duration::from_millis(4_000);
const TOKENS: usize = 120;

async fn cluster() -> Cluster {
    Cluster::start_with(&["suva"], PROGRESS_MS).await
}

async fn pausing_engine(cluster: &Cluster, point: Point, length: Duration) -> Engine {
    let engine = cluster
        .engine_with("pausing", |options| options.pauses = vec![Pause { point, length }])
        .await;
    cluster.until_targets(1).await;
    engine
}

/// Starts two more engines that serve no request.
async fn useless_engines(cluster: &Cluster, modify: fn(&mut engine::Options)) -> [Engine; 2] {
    let engines = [
        cluster.engine_with("useless-1", modify).await,
        cluster.engine_with("useless-2", modify).await,
    ];
    cluster.until_targets(3).await;
    engines
}

/// A completion request whose response is sent whole.
fn whole_completion(tokens: usize) -> Request<Full<bytes::Bytes>> {
    let body = serde_json::json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": tokens });
    with_body(body.to_string())
}

fn send(
    cluster: &Cluster,
    request: Request<Full<bytes::Bytes>>,
) -> JoinHandle<Result<http::Response, http::Error>> {
    let address = cluster.daemons[0].callers();
    tokio::spawn(async move { http::call(address, request, wait::LIMIT).await })
}

fn assert_whole_response(response: &http::Response, tokens: usize) {
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    let body: serde_json::Value = response.json().unwrap();
    assert_whole(body["choices"][0]["text"].as_str().unwrap(), tokens);
}

async fn assert_stream_is_whole_beside(modify: fn(&mut engine::Options)) {
    let cluster = cluster().await;
    let pausing = cluster.engine("pausing").await;
    cluster.until_targets(1).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(5).await;
    let _useless = useless_engines(&cluster, modify).await;
    pausing.pause_for(PROCESS_PAUSE);
    assert_whole(&stream.read_all().await, TOKENS);
}

async fn assert_response_arrives_beside(modify: fn(&mut engine::Options)) {
    let cluster = cluster().await;
    let pausing = pausing_engine(&cluster, Point::Head, HEAD_PAUSE).await;
    let response = send(&cluster, whole_completion(5));
    wait::until("the request runs", async || pausing.load().running > 0).await;
    let _useless = useless_engines(&cluster, modify).await;
    assert_whole_response(&response.await.unwrap().unwrap(), 5);
}

fn rejects(options: &mut engine::Options) {
    options.rejects_all_as_full = true;
}

fn fails(options: &mut engine::Options) {
    options.fault = Some(Fault::Error);
}

fn breaks_off(options: &mut engine::Options) {
    options.fault = Some(Fault::BreakOff);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_only_target_pauses_at_any_point_is_whole() {
    for point in [Point::Head, Point::FirstEvent, Point::Event(3), Point::End] {
        let cluster = cluster().await;
        let _engine = pausing_engine(&cluster, point, RESPONSE_PAUSE).await;
        let response = http::open(cluster.daemons[0].callers(), completion(20)).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK, "{point:?}");
        assert_whole(&Stream::new(response).read_all().await, 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_target_pauses_is_whole_although_the_others_reject_it() {
    assert_stream_is_whole_beside(rejects).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_target_pauses_is_whole_although_the_others_fail_it() {
    assert_stream_is_whole_beside(fails).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_target_pauses_is_whole_although_the_others_break_it_off() {
    assert_stream_is_whole_beside(breaks_off).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_response_whose_only_target_pauses_before_it_arrives() {
    let cluster = cluster().await;
    let _engine = pausing_engine(&cluster, Point::Head, RESPONSE_PAUSE).await;
    let response = send(&cluster, whole_completion(5)).await.unwrap().unwrap();
    assert_whole_response(&response, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_response_whose_target_pauses_arrives_although_the_others_reject_it() {
    assert_response_arrives_beside(rejects).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_response_whose_target_pauses_arrives_although_the_others_fail_it() {
    assert_response_arrives_beside(fails).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_response_whose_target_pauses_arrives_although_the_others_break_it_off() {
    assert_response_arrives_beside(breaks_off).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_response_whose_only_target_pauses_arrives() {
    for point in [Point::Head, Point::End] {
        let cluster = cluster().await;
        let pauses = vec![Pause { point, length: RESPONSE_PAUSE }];
        let _plain = plain_service(&cluster, pauses).await;
        assert_plain_response_arrives(&cluster).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_response_whose_only_target_pauses_as_a_whole_arrives() {
    let cluster = cluster().await;
    let plain = plain_service(&cluster, Vec::new()).await;
    plain.pause_for(PROCESS_PAUSE);
    assert_plain_response_arrives(&cluster).await;
}

async fn plain_service(cluster: &Cluster, pauses: Vec<Pause>) -> plain::Service {
    let options =
        plain::Options::new("plain", "association", "vent-log", "suva", cluster.controls());
    let options = plain::Options { pauses, ..options };
    let plain = plain::Service::start(options, cancel::Token::new()).await.unwrap();
    cluster.until_targets(1).await;
    plain
}

async fn assert_plain_response_arrives(cluster: &Cluster) {
    let request = Request::get("/log")
        .header("host", "daisydrum")
        .header("authorization", format!("Bearer {PLAIN_KEY}"))
        .body(Full::new(bytes::Bytes::from("entry")))
        .unwrap();
    let response = send(cluster, request).await.unwrap().unwrap();
    assert_eq!((response.status, response.body.as_ref()), (StatusCode::OK, &b"entry"[..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_moves_on_when_its_target_pauses_and_another_is_sound() {
    let cluster = cluster().await;
    let pausing = cluster.engine("pausing").await;
    cluster.until_targets(1).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(5).await;
    let other = cluster.engine("other").await;
    cluster.until_targets(2).await;
    pausing.pause_for(wait::LIMIT);
    assert_whole(&stream.read_all().await, TOKENS);
    assert_eq!(other.totals().accepted, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_and_none_is_refused_while_all_targets_pause() {
    let cluster = cluster().await;
    let mut engines = Vec::new();
    for name in ["one", "two", "three"] {
        engines.push(cluster.engine(name).await);
    }
    cluster.until_targets(3).await;
    let mut streams = Vec::new();
    for _ in 0..9 {
        let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
        stream.read_tokens(2).await;
        streams.push(stream);
    }
    for engine in &engines {
        engine.pause_for(PROCESS_PAUSE);
    }
    let mut responses = Vec::new();
    for _ in 0..9 {
        responses.push(send(&cluster, whole_completion(5)));
        time::sleep(PROCESS_PAUSE / 10).await;
    }
    for stream in streams {
        assert_whole(&stream.read_all().await, TOKENS);
    }
    for response in responses {
        assert_whole_response(&response.await.unwrap().unwrap(), 5);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_stream_whose_target_pauses() {
    let mut cluster = cluster().await;
    let pausing = cluster.engine("pausing").await;
    cluster.until_targets(1).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(5).await;
    pausing.pause_for(PROCESS_PAUSE);
    cluster.daemons[0].terminate();
    assert_whole(&stream.read_all().await, TOKENS);
    until_ended(&mut cluster.daemons[0]).await;
}

async fn until_ended(daemon: &mut Daemon) {
    while !daemon.has_ended() {
        pause().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_the_silent_attempt_and_the_one_beside_it() {
    let cluster = cluster().await;
    let first = cluster.engine("first").await;
    cluster.until_targets(1).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), 10_000).await;
    stream.read_tokens(5).await;
    let second = cluster
        .engine_with("second", |options| {
            options.pauses = vec![Pause { point: Point::FirstEvent, length: wait::LIMIT }];
        })
        .await;
    cluster.until_targets(2).await;
    first.pause_for(HEAD_PAUSE);
    wait::until("both run", async || second.load().running > 0).await;
    assert_eq!(first.load().running, 1, "the silent attempt is kept");
    drop(stream);
    wait::until("both are idle", async || first.load().running + second.load().running == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_forwarded_to_another_data_centre_is_whole_although_its_only_target_pauses() {
    let cluster = Cluster::start_with(&["suva", "nadi"], PROGRESS_MS).await;
    let nadi = cluster.daemons[1].settings().clone();
    let engine = cluster
        .engine_with("nadi", |options| {
            options.data_centre = nadi.data_centre.as_str().into();
            options.announcements.control = vec![nadi.control];
        })
        .await;
    let callers = cluster.daemons[0].callers();
    wait::until("requests are forwarded", async || {
        http::open(callers, completion(1)).await.is_ok_and(|response| response.status() == 200)
    })
    .await;
    let mut stream = Stream::open(callers, TOKENS).await;
    stream.read_tokens(5).await;
    engine.pause_for(PROCESS_PAUSE);
    assert_whole(&stream.read_all().await, TOKENS);
}
