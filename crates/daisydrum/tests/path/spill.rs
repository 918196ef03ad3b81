//! Requests that another data centre takes, since there is no target here.

use std::net::SocketAddr;

use common::name;
use standin::{engine, harness::wait, http};

use crate::site::{Site, Stream, check, completion};

const TOKENS: usize = 100;

/// Starts an engine that announces itself in the data centre of one daemon only.
async fn engine_at(site: &Site, daemon: usize) -> engine::Engine {
    let settings = site.daemons[daemon].settings().clone();
    site.engine_with(&format!("engine-{}", settings.data_centre), |options| {
        options.data_centre = name::DataCentre(settings.data_centre);
        options.announcements.control = vec![settings.control];
    })
    .await
}

async fn until_answered(address: SocketAddr) {
    wait::until("another data centre takes requests", async || {
        http::open(address, completion(1)).await.is_ok_and(|response| response.status() == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_without_targets_hands_requests_over() {
    let site = Site::start_in(&["suva", "nadi"]).await;
    let engine = engine_at(&site, 1).await;
    until_answered(site.daemons[0].callers()).await;
    let stream = Stream::open(site.daemons[0].callers(), TOKENS).await;
    check(&stream.read_all().await, TOKENS);
    assert!(engine.totals().accepted >= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_the_data_centre_that_took_it_is_lost() {
    let mut site = Site::start_in(&["suva", "nadi", "lautoka"]).await;
    let nadi = engine_at(&site, 1).await;
    until_answered(site.daemons[0].callers()).await;
    let mut stream = Stream::open(site.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(10).await;
    let lautoka = engine_at(&site, 2).await;
    site.daemons[2].until_targets(1).await;
    site.daemons[1].kill();
    nadi.kill();
    check(&stream.read_all().await, TOKENS);
    assert!(lautoka.totals().accepted >= 1);
}
