//! Requests that are forwarded to another data centre because the local one has no target.

use std::net::SocketAddr;

use common::name;
use standin::{engine, harness::wait, http};

use crate::site::{Cluster, Stream, assert_whole, completion};

const TOKENS: usize = 100;

/// Starts an engine that announces itself in the data centre of one daemon only.
async fn engine_at(cluster: &Cluster, daemon: usize) -> engine::Engine {
    let settings = cluster.daemons[daemon].settings().clone();
    cluster
        .engine_with(&format!("engine-{}", settings.data_centre), |options| {
            options.data_centre = name::DataCentre(settings.data_centre);
            options.announcements.control = vec![settings.control];
        })
        .await
}

async fn until_forwarded(address: SocketAddr) {
    wait::until("requests are forwarded to another data centre", async || {
        http::open(address, completion(1)).await.is_ok_and(|response| response.status() == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_without_targets_forwards_requests_to_another() {
    let cluster = Cluster::start_in(&["suva", "nadi"]).await;
    let engine = engine_at(&cluster, 1).await;
    until_forwarded(cluster.daemons[0].callers()).await;
    let stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    assert_whole(&stream.read_all().await, TOKENS);
    assert!(engine.totals().accepted >= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_goes_on_when_the_data_centre_that_serves_it_is_lost() {
    let mut cluster = Cluster::start_in(&["suva", "nadi", "lautoka"]).await;
    let nadi = engine_at(&cluster, 1).await;
    until_forwarded(cluster.daemons[0].callers()).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(10).await;
    let lautoka = engine_at(&cluster, 2).await;
    cluster.daemons[2].until_targets(1).await;
    cluster.daemons[1].kill();
    nadi.kill();
    assert_whole(&stream.read_all().await, TOKENS);
    assert!(lautoka.totals().accepted >= 1);
}
