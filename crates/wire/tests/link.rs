//! Calls to peers end in time.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use socket2::{Domain, Socket, Type};
use tarpc::client::RpcError;
use tokio::{
    net::{TcpListener, TcpStream},
    task::LocalSet,
};
use wire::link::{Error, Link};

#[tokio::test]
async fn a_call_that_is_never_sent_ends_after_its_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::new(listener.local_addr().unwrap());
    let began = Instant::now();
    let call = link.call(Duration::from_millis(100), async |_client, _context| {
        std::future::pending::<Result<(), RpcError>>().await
    });
    let ended = tokio::time::timeout(Duration::from_secs(10), call).await;
    assert!(matches!(ended, Ok(Err(Error::Call(RpcError::DeadlineExceeded)))), "{ended:?}");
    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[tokio::test]
async fn calls_to_a_peer_that_accepts_no_connection_do_not_wait_for_each_other() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let _fills_the_queue = TcpStream::connect(address).await.unwrap();
    let link = Rc::new(Link::new(address));
    let began = Instant::now();
    let calls = LocalSet::new();
    let calling: Vec<_> = (0..20)
        .map(|_| {
            let link = Rc::clone(&link);
            calls.spawn_local(async move {
                link.call(Duration::from_millis(100), async |_client, _context| {
                    std::future::pending::<Result<(), RpcError>>().await
                })
                .await
            })
        })
        .collect();
    calls.await;
    for call in calling {
        let ended = call.await.unwrap();
        assert!(matches!(ended, Err(Error::Connect(_))), "{ended:?}");
    }
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_call_that_the_client_lost_ends_when_its_connection_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::new(listener.local_addr().unwrap());
    // Stands for a call that was queued while the client ended, and that the client never answers.
    let call = link.call(Duration::from_mins(1), async |_client, _context| {
        std::future::pending::<Result<(), RpcError>>().await
    });
    let close = async { drop(listener.accept().await.unwrap()) };
    let (ended, ()) = tokio::join!(tokio::time::timeout(Duration::from_secs(10), call), close);
    assert!(matches!(ended, Ok(Err(Error::Call(RpcError::Shutdown)))), "{ended:?}");
}
