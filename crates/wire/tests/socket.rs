//! Limits of connections by kind.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use wire::socket::{self, Kind, ORDER_USER_TIMEOUT};
use yare::parameterized;

#[derive(Debug, PartialEq)]
struct Limits {
    user_timeout: Option<Duration>,
    /// Time without traffic until a dead connection is closed.
    keepalive: Duration,
}

async fn limits(kind: Kind) -> Limits {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    socket::configure(&stream, kind).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let probes = socket.tcp_keepalive_interval().unwrap() * socket.tcp_keepalive_retries().unwrap();
    Limits {
        user_timeout: socket.tcp_user_timeout().unwrap().filter(|timeout| !timeout.is_zero()),
        keepalive: socket.tcp_keepalive_time().unwrap() + probes,
    }
}

#[parameterized(
    caller = { Kind::Caller },
    target = { Kind::Target },
)]
#[test_macro(tokio::test)]
async fn no_limit_of_the_kernel_ends_a_connection_whose_other_end_reads_slowly(kind: Kind) {
    assert_eq!(limits(kind).await.user_timeout, None);
}

#[parameterized(
    caller = { Kind::Caller },
    target = { Kind::Target },
    peer = { Kind::Peer },
)]
#[test_macro(tokio::test)]
async fn a_lost_probe_does_not_end_an_idle_connection(kind: Kind) {
    let limits = limits(kind).await;
    assert_eq!(limits.keepalive, Duration::from_secs(5));
    assert!(limits.user_timeout.is_none_or(|timeout| timeout >= limits.keepalive), "{limits:?}");
}

#[tokio::test]
async fn an_order_is_delivered_within_the_time_for_which_a_new_holder_of_the_lease_waits() {
    assert_eq!(limits(Kind::Order).await.user_timeout, Some(ORDER_USER_TIMEOUT));
    assert!(ORDER_USER_TIMEOUT < Duration::from_millis(control::lease::MARGIN_MS));
}
