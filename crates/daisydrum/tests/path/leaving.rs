//! Targets that drain and daemons that stop.

use std::time::Duration;

use common::clock::Moment;
use hyper::StatusCode;
use rustix::process::Signal;
use standin::{engine::Engine, harness::wait, http};
use tokio::time;
use wire::target::{self, Action, Order, Phase};

use crate::site::{Cluster, Stream, assert_whole, completion, pause};

const TOKENS: usize = 150;
/// Time after the start of a drain from which no instance may send new work to the target.
const NO_NEW_WORK: Duration = Duration::from_secs(2);

async fn drain(engine: &Engine) {
    let order = Order { id: String::from("drain"), fencing: 1, action: Action::Drain };
    let request = http::post(target::ORDERS_PATH, &order).unwrap();
    let response = http::call(engine.address(), request, wait::LIMIT).await.unwrap();
    assert!(response.status.is_success(), "{response:?}");
    wait::until("the engine drains", async || engine.state().phase == Phase::Draining).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work_after_two_seconds_and_cuts_no_stream() {
    let cluster = Cluster::start(2).await;
    let leaving = cluster.engine("leaving").await;
    cluster.until_targets(1).await;
    let running = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    let _staying = cluster.engine("staying").await;
    cluster.until_targets(2).await;
    drain(&leaving).await;
    time::sleep(NO_NEW_WORK).await;
    let before = leaving.totals();
    for number in 0..20 {
        let stream = Stream::open(cluster.daemons[number % 2].callers(), 3).await;
        assert_whole(&stream.read_all().await, 3);
    }
    let after = leaving.totals();
    assert_eq!(
        (after.accepted, after.refused),
        (before.accepted, before.refused),
        "the draining engine got new requests"
    );
    assert_whole(&running.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_stream_and_accepts_no_new_one() {
    let mut cluster = Cluster::start(1).await;
    let _engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
        stream.read_tokens(2).await;
        streams.push(stream);
    }
    cluster.daemons[0].terminate();
    wait::until("the daemon is no longer ready", async || !cluster.daemons[0].is_ready().await)
        .await;
    for stream in streams {
        assert_whole(&stream.read_all().await, TOKENS);
    }
    let daemon = &mut cluster.daemons[0];
    while !daemon.has_ended() {
        pause().await;
    }
    assert!(daemon.log().contains("event=\"stopped\""), "{}", daemon.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_stops_at_once_and_logs_what_it_cut() {
    let mut cluster = Cluster::start(1).await;
    let _engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), 100_000).await;
    stream.read_tokens(2).await;
    let daemon = &mut cluster.daemons[0];
    daemon.terminate();
    wait::until("the daemon is no longer ready", async || !daemon.is_ready().await).await;
    let since = Moment::now();
    daemon.signal(Signal::TERM);
    wait::until("the daemon has exited", async || daemon.has_ended()).await;
    assert!(Moment::now().since(since) < Duration::from_secs(20));
    assert!(daemon.log().contains("cut"), "{}", daemon.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_target_a_request_is_refused_with_a_time_to_retry() {
    let cluster = Cluster::start(1).await;
    let response =
        http::call(cluster.daemons[0].callers(), completion(3), wait::LIMIT).await.unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.header("x-daisydrum-outcome"), "not-run");
    assert!(response.header("retry-after").parse::<u64>().unwrap() >= 1);
}
