//! Open connections that go silent without a reset while new ones work.

use common::clock::Moment;
use standin::{engine::Engine, harness::wait, http, proxy::Proxy};
use tokio::net::TcpListener;

use crate::site::{Cluster, PROGRESS_MS, Stream, assert_whole, completion};

const TOKENS: usize = 200;

/// Returns a free address, on which an engine listens later.
async fn reserve() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Starts an engine that announces a proxy's address, so that its connections can be silenced.
async fn engine_behind_proxy(cluster: &Cluster) -> (Proxy, Engine) {
    let listen = reserve().await;
    let proxy = Proxy::start(listen).await.unwrap();
    let through = proxy.address();
    let engine = cluster
        .engine_with("one", |options| {
            options.listen = listen;
            options.announced_address = Some(through);
        })
        .await;
    cluster.until_targets(1).await;
    (proxy, engine)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_to_the_engine_goes_silent_goes_on_over_a_new_one() {
    let cluster = Cluster::start(1).await;
    let (proxy, _engine) = engine_behind_proxy(&cluster).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(5).await;
    let since = Moment::now();
    proxy.silence_open();
    assert_whole(&stream.read_all().await, TOKENS);
    let bound = std::time::Duration::from_millis(PROGRESS_MS * 20);
    assert!(Moment::now().since(since) < bound, "the stream took longer than {bound:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_connection_goes_silent_holds_an_engine_until_its_deadline_at_most() {
    let cluster = Cluster::start(1).await;
    let engine = cluster.engine("one").await;
    cluster.until_targets(1).await;
    let proxy = Proxy::start(cluster.daemons[0].callers()).await.unwrap();
    let mut request = completion(100_000);
    request.headers_mut().insert("x-daisydrum-deadline-ms", "5000".parse().unwrap());
    let mut stream = Stream::new(http::open(proxy.address(), request).await.unwrap());
    stream.read_tokens(3).await;
    proxy.silence_open();
    let again = Stream::open(proxy.address(), 5).await;
    assert_whole(&again.read_all().await, 5);
    wait::until("the engine is idle", async || engine.load().running == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_goes_silent_for_good_goes_on_at_another_engine() {
    let cluster = Cluster::start(1).await;
    let (proxy, silent) = engine_behind_proxy(&cluster).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(5).await;
    let _other = cluster.engine("two").await;
    cluster.until_targets(2).await;
    proxy.silence_open();
    silent.kill();
    assert_whole(&stream.read_all().await, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_goes_silent_goes_on_over_a_new_one_although_others_reject_it() {
    let cluster = Cluster::start(1).await;
    let (proxy, _engine) = engine_behind_proxy(&cluster).await;
    let mut stream = Stream::open(cluster.daemons[0].callers(), TOKENS).await;
    stream.read_tokens(5).await;
    let _full = cluster.engine_with("full", |options| options.rejects_all_as_full = true).await;
    cluster.until_targets(2).await;
    proxy.silence_open();
    let since = Moment::now();
    assert_whole(&stream.read_all().await, TOKENS);
    let bound = std::time::Duration::from_millis(PROGRESS_MS * 20);
    assert!(Moment::now().since(since) < bound, "the stream took longer than {bound:?}");
}
