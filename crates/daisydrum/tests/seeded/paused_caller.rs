//! Callers that send a whole request and read its answer late, never, or not at all.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, header::HOST};
use platform_standin::{
    client,
    raw::{Script, Server},
    runner::{Options, Runner},
};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::http;
use tokio::{net::TcpListener, time};
use yare::parameterized;

use crate::{
    endless,
    fleet::{self, Fleet},
};

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_secs(5);
/// Time for which routes allow an answer, in milliseconds.
const TIMEOUT_MS: u64 = 20_000;
const EVENTS: u64 = 4_000;
const STREAM: Script = Script::Events { events: EVENTS, event_bytes: 500 };
const WHOLE_BYTES: usize = 6 * 1024 * 1024;
const WHOLE: Script = Script::Whole { bytes: WHOLE_BYTES };
const CALLERS_THAT_NEVER_READ: usize = 100;
/// Receive buffer of callers, in bytes.
const RECEIVE_BUFFER: u32 = 4_096;

/// A fleet with one target of a service, which follows a script.
struct Scripted {
    fleet: Fleet,
    server: Server,
    _announcer: Runner,
}

async fn start(name: &str, entries: usize, script: Script) -> Scripted {
    let mut fleet = fleet::start(name);
    for _ in 1..entries {
        fleet.add_entry();
    }
    declare(&fleet, 3, TIMEOUT_MS).await;
    let server = Server::start(script).await;
    let is_stream = matches!(script, Script::Events { .. });
    // The runner only announces the address of the scripted server.
    let announcer = Runner::start_with(Options {
        name: String::from("scripted"),
        service: String::from(if is_stream { "engines" } else { "portal" }),
        stage: is_stream.then_some("decode"),
        software: String::from("v1"),
        data_centre: String::from("suva"),
        events: u64::from(is_stream),
        control: fleet.control_addresses(),
        listener: TcpListener::bind("127.0.0.1:0").await.unwrap(),
        announced_address: server.address,
    });
    fleet.until_ready().await;
    fleet::until_known(&fleet, std::slice::from_ref(&announcer)).await;
    Scripted { fleet, server, _announcer: announcer }
}

async fn declare(fleet: &Fleet, version: u64, timeout_ms: u64) {
    fleet.declare_config(&config(version, timeout_ms)).await;
}

fn config(version: u64, timeout_ms: u64) -> Value {
    let mut config = client::config(version);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(timeout_ms);
    }
    config
}

/// Sends a request as a caller with a small receive buffer; returns the response once its head has arrived.
async fn send(to: SocketAddr, script: Script, id: &str) -> Response<Incoming> {
    send_with_deadline(to, script, id, TIMEOUT_MS).await
}

async fn send_with_deadline(
    to: SocketAddr,
    script: Script,
    id: &str,
    deadline_ms: u64,
) -> Response<Incoming> {
    let deadline_ms = deadline_ms.to_string();
    let is_stream = matches!(script, Script::Events { .. });
    let path = if is_stream { "/summary/1" } else { "/lookup/1" };
    let mut request = Request::post(path).header(HOST, client::HOST_NAME);
    let mut headers = client::stream_headers(id);
    headers[1].1 = &deadline_ms;
    // A plain request has an id alone.
    let sent = if is_stream { headers.len() } else { 1 };
    for (name, value) in &headers[..sent] {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from_static(b"prompt"))).unwrap();
    http::open_with_receive_buffer(to, request, RECEIVE_BUFFER).await.unwrap()
}

/// Reads a response and checks that it is whole, with each event once.
async fn assert_is_whole(response: Response<Incoming>, script: Script) {
    assert_eq!(response.status(), 200);
    let mut body = response.into_body();
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.unwrap_or_else(|error| panic!("{error} after {} bytes", received.len()));
        received.extend_from_slice(&frame.into_data().unwrap());
    }
    match script {
        Script::Events { events, .. } => {
            let ids = client::event_ids(std::str::from_utf8(&received).unwrap());
            assert!(ids.iter().copied().eq(1..=events), "{} events", ids.len());
        }
        _ => assert_eq!(received.len(), WHOLE_BYTES),
    }
}

/// What happens to the fleet while callers read nothing.
#[derive(Clone, Copy, Debug)]
enum Work {
    Nothing,
    Configuration,
    Hangup,
    Stop,
}

#[parameterized(
    stream = { "stream", 1, STREAM, Work::Nothing },
    whole = { "whole", 1, WHOLE, Work::Nothing },
    stream_beside_configurations = { "stream-config", 1, STREAM, Work::Configuration },
    whole_beside_configurations = { "whole-config", 1, WHOLE, Work::Configuration },
    stream_beside_hangup = { "stream-hangup", 1, STREAM, Work::Hangup },
    whole_beside_hangup = { "whole-hangup", 1, WHOLE, Work::Hangup },
    stream_beside_stop = { "stream-stop", 1, STREAM, Work::Stop },
    whole_beside_stop = { "whole-stop", 1, WHOLE, Work::Stop },
    stream_at_seven_instances = { "stream-seven", 7, STREAM, Work::Configuration },
    whole_at_seven_instances = { "whole-seven", 7, WHOLE, Work::Configuration },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_caller_that_reads_nothing_for_five_seconds_gets_the_whole_answer(
    name: &str,
    entries: usize,
    script: Script,
    work: Work,
) {
    let scripted = start(&format!("seeded-paused-{name}"), entries, script).await;
    let mut responses = Vec::new();
    for (number, entry) in scripted.fleet.entries.iter().enumerate() {
        responses.push(send(entry.callers(), script, &format!("p{number}")).await);
    }
    let resumed_at = Instant::now() + PAUSE;
    match work {
        Work::Nothing => {}
        Work::Configuration => {
            for version in [4, 5, 6] {
                declare(&scripted.fleet, version, TIMEOUT_MS + version).await;
                time::sleep(Duration::from_millis(300)).await;
            }
        }
        Work::Hangup => scripted.fleet.entries.iter().for_each(|entry| entry.signal(Signal::HUP)),
        Work::Stop => scripted.fleet.entries.iter().for_each(|entry| entry.signal(Signal::TERM)),
    }
    time::sleep(resumed_at.saturating_duration_since(Instant::now())).await;
    for response in responses {
        assert_is_whole(response, script).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_sent_completely_outlasts_the_idle_time() {
    let scripted = start("seeded-paused-idle", 1, WHOLE).await;
    let mut config = config(4, TIMEOUT_MS);
    // The limit of heads is also that of the answer's bytes that are buffered for the caller.
    config["limits"]["max_header_bytes"] = json!(2 * WHOLE_BYTES);
    config["limits"]["header_timeout_ms"] = json!(500);
    config["limits"]["idle_timeout_ms"] = json!(1_000);
    scripted.fleet.declare_config(&config).await;
    let entry = &scripted.fleet.entries[0];
    fleet::until("it is in force", async || entry.log().contains("version=4")).await;
    let response = send(entry.callers(), WHOLE, "i").await;
    time::sleep(PAUSE).await;
    assert_is_whole(response, WHOLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_left_soon_after_a_caller_with_unread_events_has_closed_its_connection() {
    let script = Script::Events { events: u64::MAX, event_bytes: 500 };
    let scripted = start("seeded-paused-gone", 1, script).await;
    let response = send(scripted.fleet.entries[0].callers(), script, "g").await;
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(scripted.server.open_connections(), 1);
    let closed_at = Instant::now();
    drop(response);
    fleet::until("the target is left", async || scripted.server.open_connections() == 0).await;
    assert!(closed_at.elapsed() < Duration::from_secs(5), "{:?}", closed_at.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_never_reads_occupies_its_target_until_its_deadline_at_most() {
    let script = Script::Events { events: u64::MAX, event_bytes: 500 };
    let scripted = start("seeded-paused-never", 1, script).await;
    let (to, began) = (scripted.fleet.entries[0].callers(), Instant::now());
    let _unread = send_with_deadline(to, script, "n", 3_000).await;
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(scripted.server.open_connections(), 1);
    fleet::until("the target is left", async || scripted.server.open_connections() == 0).await;
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

#[parameterized(
    streams = { "streams", STREAM },
    whole_responses = { "whole", WHOLE },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn callers_that_never_read_cost_bounded_memory(name: &str, script: Script) {
    let scripted = start(&format!("seeded-unread-{name}"), 1, script).await;
    let entry = &scripted.fleet.entries[0];
    let mut unread = Vec::new();
    for number in 0..CALLERS_THAT_NEVER_READ {
        unread.push(send(entry.callers(), script, &format!("u{number}")).await);
    }
    time::sleep(Duration::from_secs(2)).await;
    let memory = endless::peak_memory_kb(entry);
    assert!(memory < endless::MEMORY_LIMIT_KB, "{memory} KB");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_never_read_whole_responses_cost_bounded_memory_and_cut_nobody_who_reads() {
    let scripted = start("seeded-unread-wholes", 1, WHOLE).await;
    let entry = &scripted.fleet.entries[0];
    let mut unread = Vec::new();
    for number in 0..CALLERS_THAT_NEVER_READ {
        unread.push(send(entry.callers(), WHOLE, &format!("u{number}")).await);
        if number % 10 == 9 {
            assert_is_whole(send(entry.callers(), WHOLE, &format!("r{number}")).await, WHOLE).await;
        }
    }
    time::sleep(Duration::from_secs(2)).await;
    let memory = endless::peak_memory_kb(entry);
    assert!(memory < endless::MEMORY_LIMIT_KB, "{memory} KB");
}
