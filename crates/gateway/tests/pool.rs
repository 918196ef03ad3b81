//! Which connection a request gets.

use std::{net::SocketAddr, time::Duration};

use gateway::pool::{Origin, Pool, Reuse};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Time after which a target counts no longer as heard from just now.
const STALE: Duration = Duration::from_millis(600);

/// A target that answers everything.
async fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = |_: Request<Incoming>| async {
                Ok::<_, std::convert::Infallible>(Response::new(Full::new(bytes::Bytes::from(
                    "done",
                ))))
            };
            tokio::spawn(
                http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)),
            );
        }
    });
    address
}

/// Makes a call and keeps its connection; whether that was new.
async fn call(pool: &Pool, address: SocketAddr, reuse: Reuse) -> Origin {
    let (mut connection, origin) = pool.take(address, reuse).await.expect("the target listens");
    let request =
        Request::builder().uri("/").header("host", "t").body(Full::default()).expect("sound");
    let response = connection.send(request).await.expect("an answer");
    pool.mark_alive(address);
    response.into_body().collect().await.expect("a body");
    pool.put(address, connection);
    tokio::time::sleep(Duration::from_millis(50)).await;
    origin
}

#[tokio::test]
async fn a_connection_is_kept_for_the_next_request() {
    let (pool, address) = (Pool::default(), target().await);
    assert_eq!(call(&pool, address, Reuse::Any).await, Origin::New);
    assert_eq!(call(&pool, address, Reuse::Any).await, Origin::Reused);
    assert_eq!(call(&pool, address, Reuse::IfRecentlyActive).await, Origin::Reused);
}

#[tokio::test]
async fn what_cannot_be_repaired_goes_over_a_new_connection_to_a_target_not_heard_from_just_now() {
    let (pool, address) = (Pool::default(), target().await);
    call(&pool, address, Reuse::Any).await;
    tokio::time::sleep(STALE).await;
    assert_eq!(call(&pool, address, Reuse::IfRecentlyActive).await, Origin::New);
    tokio::time::sleep(STALE).await;
    assert_eq!(call(&pool, address, Reuse::Any).await, Origin::Reused);
}

#[tokio::test]
async fn a_target_that_another_instance_could_not_reach_is_reached_over_a_new_connection() {
    let (pool, address) = (Pool::default(), target().await);
    call(&pool, address, Reuse::Any).await;
    pool.mark_suspect(address);
    assert_eq!(call(&pool, address, Reuse::Any).await, Origin::New);
    assert_eq!(call(&pool, address, Reuse::Any).await, Origin::Reused);
}

#[tokio::test]
async fn a_target_that_has_ended_is_not_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert!(Pool::default().take(address, Reuse::IfRecentlyActive).await.is_err());
}
