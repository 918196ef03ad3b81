//! Engines that die, callers that go and announcements that reach one instance.

use standin::harness::wait;

use crate::site::{Site, Stream, check};

const TOKENS: usize = 120;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_is_whole_with_each_token_once() {
    let site = Site::start(1).await;
    let engines = [site.engine("one").await, site.engine("two").await];
    site.until_targets(2).await;
    let mut stream = Stream::open(site.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(10).await;
    let busy = engines.iter().find(|engine| engine.load().running > 0).unwrap();
    busy.kill();
    check(&stream.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_two_engines_in_turn() {
    let site = Site::start(1).await;
    let mut engines = Vec::new();
    for name in ["one", "two", "three"] {
        engines.push(site.engine(name).await);
    }
    site.until_targets(3).await;
    let mut stream = Stream::open(site.daemons[0].callers(), TOKENS).await;
    for tokens in [10, 40] {
        stream.read_tokens(tokens).await;
        let busy = engines.iter().position(|engine| engine.load().running > 0).unwrap();
        engines.swap_remove(busy).kill();
    }
    check(&stream.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_is_cancelled_at_the_engine() {
    let site = Site::start(1).await;
    let engine = site.engine("one").await;
    site.until_targets(1).await;
    let mut stream = Stream::open(site.daemons[0].callers(), 10_000).await;
    stream.read_tokens(3).await;
    drop(stream);
    wait::until("the engine is idle", async || engine.load().running == 0).await;
    assert_eq!(engine.totals().interrupted, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_reaches_one_instance_serves_callers_of_all() {
    let site = Site::start(3).await;
    let first = site.daemons[0].control();
    let _engine =
        site.engine_with("one", |options| options.announcements.control = vec![first]).await;
    site.until_targets(1).await;
    for daemon in &site.daemons {
        let stream = Stream::open(daemon.callers(), 5).await;
        check(&stream.read_all().await, 5);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_falls_silent_is_forgotten_by_all() {
    let site = Site::start(2).await;
    let engine = site.engine("one").await;
    site.until_targets(1).await;
    engine.kill();
    site.until_targets(0).await;
}
