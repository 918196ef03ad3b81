//! Idle connections of callers.

use std::time::{Duration, Instant};

use hyper::Method;
use platform_standin::{client, runner::Runner};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use yare::parameterized;

use crate::fleet::{self, Fleet};

/// Longest wait for a connection to be closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(30);

/// Starts a fleet with a plain target and a configuration with this idle time.
async fn start(name: &str, idle_timeout_ms: u64) -> (Fleet, Runner) {
    let fleet = fleet::start(name);
    declare(&fleet, 3, idle_timeout_ms).await;
    let runner = Runner::start("portal", "portal", None, 0, fleet.control_addresses()).await;
    fleet.until_ready().await;
    (fleet, runner)
}

async fn declare(fleet: &Fleet, version: u64, idle_timeout_ms: u64) {
    let mut config = client::config(version);
    config["limits"]["idle_timeout_ms"] = json!(idle_timeout_ms);
    config["limits"]["header_timeout_ms"] = json!(500);
    fleet.declare_config(&config).await;
    let in_force = format!("version={version}");
    let entry = &fleet.entries[0];
    fleet::until("it is in force", async || entry.log().contains(&in_force)).await;
}

#[tokio::test]
async fn a_kept_connection_serves_a_caller_that_keeps_to_a_later_longer_idle_time() {
    let (fleet, _portal) = start("seeded-idle-longer", 2_000).await;
    let mut connection = client::Connection::open(fleet.entries[0].callers()).await.unwrap();
    let headers = client::plain_headers("first");
    let first = connection.request(Method::POST, "/lookup/1", &headers, "body").await;
    assert_eq!(first.status, Some(200));
    declare(&fleet, 5, 15_000).await;
    time::sleep(Duration::from_millis(3_500)).await;
    let headers = client::plain_headers("second");
    let second = connection.request(Method::POST, "/lookup/1", &headers, "body").await;
    assert_eq!(second.status, Some(200), "the connection was closed");
}

#[tokio::test]
async fn a_kept_connection_serves_a_caller_that_keeps_to_the_idle_time_before_a_shorter_one() {
    let (fleet, _portal) = start("seeded-idle-shorter", 8_000).await;
    let mut connection = client::Connection::open(fleet.entries[0].callers()).await.unwrap();
    let headers = client::plain_headers("first");
    let first = connection.request(Method::POST, "/lookup/1", &headers, "body").await;
    assert_eq!(first.status, Some(200));
    declare(&fleet, 5, 1_000).await;
    time::sleep(Duration::from_millis(2_500)).await;
    let headers = client::plain_headers("second");
    let second = connection.request(Method::POST, "/lookup/1", &headers, "body").await;
    assert_eq!(second.status, Some(200), "the connection was closed");
}

#[parameterized(
    nothing = { "nothing", "" },
    half_a_head = { "head", "POST /lookup/1 HTTP/1.1\r\nhost: vents" },
    after_a_request = { "request", "GET /nothing/ HTTP/1.1\r\nhost: vents.example\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_connection_is_closed_after_the_idle_time_when_its_caller_has_sent(
    name: &str,
    sent: &str,
) {
    let (fleet, _portal) = start(&format!("seeded-idle-{name}"), 1_000).await;
    let opened = Instant::now();
    let mut stream = TcpStream::connect(fleet.entries[0].callers()).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let closed = time::timeout(CLOSE_LIMIT, stream.read_to_end(&mut received)).await;
    assert!(closed.is_ok(), "the connection is open after {CLOSE_LIMIT:?}");
    assert!(opened.elapsed() >= Duration::from_secs(1), "the connection was closed too early");
}
