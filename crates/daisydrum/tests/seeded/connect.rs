//! Targets that accept connections slowly.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use platform_standin::{
    client,
    runner::{Options, Runner},
};
use tokio::{
    io,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time,
};
use yare::parameterized;

use crate::fleet::{self, Fleet, until};

/// Time for which the queue stays full after a request was sent. The next packet of its connection comes after a second.
const FULL_TIME: Duration = Duration::from_millis(500);

/// Time after which a target whose queue stays full counts as absent, and longest time until a request is refused then.
const LONG_TIME: Duration = Duration::from_millis(2_500);
const LONGEST_REFUSAL: Duration = Duration::from_millis(1_000);

/// Listener in front of a target whose queue is full until it is opened.
struct Front {
    address: SocketAddr,
    open: Arc<Notify>,
}

impl Front {
    async fn start(upstream: SocketAddr) -> Front {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        let wait = Duration::from_millis(100);
        while let Ok(connected) = time::timeout(wait, TcpStream::connect(address)).await {
            queued.push(connected.unwrap());
        }
        let open = Arc::new(Notify::new());
        let opened = Arc::clone(&open);
        tokio::spawn(async move {
            opened.notified().await;
            drop(queued);
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut target = TcpStream::connect(upstream).await.unwrap();
                    // Either side may end the connection.
                    let _ended = io::copy_bidirectional(&mut stream, &mut target).await;
                });
            }
        });
        Front { address, open }
    }
}

/// Starts a fleet with one target, which is behind a front.
async fn start(name: &str, service: &str) -> (Fleet, Runner, Front) {
    let fleet = fleet::start(name);
    fleet.declare(3).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = Front::start(listener.local_addr().unwrap()).await;
    let is_engine = service == "engines";
    let runner = Runner::start_with(Options {
        name: String::from("slow"),
        service: service.to_owned(),
        stage: is_engine.then_some("decode"),
        software: String::from("v1"),
        data_centre: String::from("suva"),
        events: if is_engine { 8 } else { 0 },
        control: fleet.control_addresses(),
        listener,
        announced_address: front.address,
    });
    fleet.until_ready().await;
    until("the target is known", async || fleet.entries[0].log().contains("target=slow")).await;
    (fleet, runner, front)
}

#[parameterized(
    idempotent = { "portal", "/lookup/1" },
    at_most_once = { "portal", "/lodge/1" },
    stream = { "engines", "/summary/1" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_is_served_by_the_only_target_though_that_accepts_its_connection_slowly(
    service: &str,
    path: &str,
) {
    let (fleet, runner, front) =
        start(&format!("seeded-connect{}", path.replace('/', "-")), service).await;
    let mut headers = client::plain_headers("slow-1").to_vec();
    if service == "engines" {
        headers = client::stream_headers("slow-1").to_vec();
    }
    let opening = async {
        time::sleep(FULL_TIME).await;
        front.open.notify_one();
    };
    let callers = fleet.entries[0].callers();
    let request = client::request(callers, Method::POST, path, &headers, "body");
    let (response, ()) = futures::future::join(request, opening).await;
    assert_eq!((response.status, response.whole), (Some(200), true));
    assert_eq!(runner.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_held_for_a_target_that_has_accepted_nothing_for_long() {
    let (fleet, _runner, _front) = start("seeded-connect-absent", "portal").await;
    let callers = fleet.entries[0].callers();
    let first = client::plain_headers("slow-1").to_vec();
    let first = client::request(callers, Method::POST, "/lookup/1", &first, "body");
    let second = async {
        time::sleep(LONG_TIME).await;
        let begin = Instant::now();
        let headers = client::plain_headers("slow-2").to_vec();
        let response = client::request(callers, Method::POST, "/lookup/2", &headers, "body").await;
        (response.status, begin.elapsed())
    };
    let (_first, (status, took)) = futures::future::join(first, second).await;
    assert_eq!(status, Some(503));
    assert!(took < LONGEST_REFUSAL, "{took:?}");
}

/// Guards against requests to a target that has long been draining: its state wasn't checked after the wait for a connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_a_connection_does_not_reach_a_target_that_leaves_meanwhile() {
    let (fleet, runner, front) = start("seeded-connect-leaving", "portal").await;
    let callers = fleet.entries[0].callers();
    let headers = client::plain_headers("slow-1").to_vec();
    let request = client::request(callers, Method::POST, "/lodge/1", &headers, "body");
    let leaving = async {
        time::sleep(FULL_TIME).await;
        assert!(runner.drain(fleet.control[0].control()).await);
        front.open.notify_one();
    };
    let (response, ()) = futures::future::join(request, leaving).await;
    assert_eq!(response.status, Some(503));
    assert_eq!(runner.runs().len(), 0);
}
