//! Targets that drain and daemons that stop.

use std::time::Duration;

use common::clock::Moment;
use hyper::StatusCode;
use rustix::process::Signal;
use standin::{engine::Engine, harness::wait, http};
use tokio::time;
use wire::target::{self, Action, Order, Phase};

use crate::site::{Site, Stream, check, completion, pause};

const TOKENS: usize = 150;
/// Time after which no instance may send new work to a target that drains.
const NO_NEW_WORK: Duration = Duration::from_secs(2);

async fn drain(engine: &Engine) {
    let order = Order { id: String::from("drain"), fencing: 1, action: Action::Drain };
    let request = http::post(target::ORDERS_PATH, &order).unwrap();
    let answer = http::call(engine.address(), request, wait::LIMIT).await.unwrap();
    assert!(answer.status.is_success(), "{answer:?}");
    wait::until("the engine drains", async || engine.state().phase == Phase::Draining).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work_after_two_seconds_and_cuts_nothing() {
    let site = Site::start(2).await;
    let leaving = site.engine("leaving").await;
    site.until_targets(1).await;
    let running = Stream::open(site.daemons[0].callers(), TOKENS).await;
    let _staying = site.engine("staying").await;
    site.until_targets(2).await;
    drain(&leaving).await;
    time::sleep(NO_NEW_WORK).await;
    let before = leaving.totals();
    for at in 0..20 {
        let stream = Stream::open(site.daemons[at % 2].callers(), 3).await;
        check(&stream.read_all().await, 3);
    }
    let after = leaving.totals();
    assert_eq!(
        (after.accepted, after.refused),
        (before.accepted, before.refused),
        "nothing was tried"
    );
    check(&running.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_stream_and_takes_no_new_one() {
    let mut site = Site::start(1).await;
    let _engine = site.engine("one").await;
    site.until_targets(1).await;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = Stream::open(site.daemons[0].callers(), TOKENS).await;
        stream.read_tokens(2).await;
        streams.push(stream);
    }
    site.daemons[0].terminate();
    wait::until("it takes no new callers", async || !site.daemons[0].is_ready().await).await;
    for stream in streams {
        check(&stream.read_all().await, TOKENS);
    }
    let daemon = &mut site.daemons[0];
    while !daemon.has_ended() {
        pause().await;
    }
    assert!(daemon.log().contains("event=\"stopped\""), "{}", daemon.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_stops_at_once_and_says_what_it_cut() {
    let mut site = Site::start(1).await;
    let _engine = site.engine("one").await;
    site.until_targets(1).await;
    let mut stream = Stream::open(site.daemons[0].callers(), 100_000).await;
    stream.read_tokens(2).await;
    let daemon = &mut site.daemons[0];
    daemon.terminate();
    wait::until("it stops", async || !daemon.is_ready().await).await;
    let since = Moment::now();
    daemon.signal(Signal::TERM);
    wait::until("it has ended", async || daemon.has_ended()).await;
    assert!(Moment::now().since(since) < Duration::from_secs(20));
    assert!(daemon.log().contains("cut"), "{}", daemon.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn no_target_is_a_refusal_that_says_when_to_return() {
    let site = Site::start(1).await;
    let answer = http::call(site.daemons[0].callers(), completion(3), wait::LIMIT).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header("x-daisydrum-outcome"), "not-run");
    assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
}
