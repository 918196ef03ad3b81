//! Streams whose engine dies, callers that disconnect, and announcements of targets.

use standin::harness::wait;

use crate::site::{Cluster, Stream, assert_whole};

const TOKENS: usize = 120;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_is_whole_with_each_token_once() {
    let cluster = Cluster::start(1).await;
    let engines = [cluster.engine("one").await, cluster.engine("two").await];
    cluster.until_targets(2).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(10).await;
    let busy = engines.iter().find(|engine| engine.load().running > 0).unwrap();
    busy.kill();
    assert_whole(&stream.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_loss_of_two_engines_in_turn() {
    let cluster = Cluster::start(1).await;
    let mut engines = Vec::new();
    for name in ["one", "two", "three"] {
        engines.push(cluster.engine(name).await);
    }
    cluster.until_targets(3).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    for tokens in [10, 40] {
        stream.read_tokens(tokens).await;
        let busy = engines.iter().position(|engine| engine.load().running > 0).unwrap();
        engines.swap_remove(busy).kill();
    }
    assert_whole(&stream.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_request_of_a_caller_that_disconnects_is_cancelled_at_the_engine() {
    let cluster = Cluster::start(1).await;
    let engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), 10_000).await;
    stream.read_tokens(3).await;
    drop(stream);
    wait::until("the engine is idle", async || engine.load().running == 0).await;
    assert_eq!(engine.totals().interrupted, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_announces_itself_to_one_instance_serves_callers_of_all() {
    let cluster = Cluster::start(3).await;
    let first = cluster.daemons[0].control();
    let _engine =
        cluster.engine_with("one", |options| options.announcements.control = vec![first]).await;
    cluster.until_targets(1).await;
    for daemon in &cluster.daemons {
        let stream = Stream::open(daemon.callers(), 5).await;
        assert_whole(&stream.read_all().await, 5);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_stops_announcing_itself_is_removed_by_all_instances() {
    let cluster = Cluster::start(2).await;
    let engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    engine.kill();
    cluster.until_targets(0).await;
}
