//! Consumers of streams, on a route that may be resumed.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{http, record::Record};

/// Events of a stream.
pub const EVENTS: u64 = 26;
/// Time from one event to the next, in milliseconds.
pub const EVENT_MS: u64 = 150;
/// Streams that may hold events of two software versions: the rule says «more than two».
pub const MOST_MIXED: usize = 2;
/// Longest pause of a stream that is in time.
const GAP_MS: u64 = 250;

/// A configuration with one route that streams and may be resumed.
pub fn config(timeout_ms: u64) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"path_prefix\":\"/s/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":1,\
         \"service\":\"stories\",\"max_attempts\":2,\"session_affinity\":false,\"resumable\":true,\
         \"gap_target_ms\":{GAP_MS}}}],\"services\":[{{\"name\":\"stories\",\"health_path\":\"/health\",\
         \"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The same, of a service of engines.
pub fn engine_config(timeout_ms: u64) -> String {
    config(timeout_ms).replace(
        "\"protocol\":\"h1\"",
        "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":509868,\"kv_token_bytes\":327680,\
         \"link_mbps\":3800000.0,\"moves\":true,\"backups\":true,\"stride\":10,\"most\":12,\"handle_ttl_s\":5.0,\
         \"switch_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]},\"protocol\":\"h1\"",
    )
}

/// Sends a request in a thread of its own, and records what it gets.
pub fn begin(
    to: SocketAddr,
    id: String,
    deadline_ms: u64,
    record: &Record,
) -> JoinHandle<http::Response> {
    send(to, id, None, deadline_ms, record)
}

/// Takes the stream `first` up after an event, with a new id.
pub fn take_up(
    to: SocketAddr,
    first: String,
    last_event: u64,
    deadline_ms: u64,
    record: &Record,
) -> JoinHandle<http::Response> {
    send(to, format!("{first}-again"), Some((first, last_event)), deadline_ms, record)
}

fn send(
    to: SocketAddr,
    id: String,
    from: Option<(String, u64)>,
    deadline_ms: u64,
    record: &Record,
) -> JoinHandle<http::Response> {
    let record = record.clone();
    thread::spawn(move || {
        let deadline = deadline_ms.to_string();
        let mut headers = vec![
            ("Host", "ficu95.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", deadline.as_str()),
            ("Content-Type", "application/json"),
        ];
        // A prompt that no other request shares; it says nothing to runners that aren't engines.
        let story = from.as_ref().map_or(id.as_str(), |(first, _)| first);
        let own = story.bytes().fold(7_u32, |hash, byte| hash.wrapping_mul(31) ^ u32::from(byte));
        let parts = format!("{:x}:800,{own:x}:410", own ^ 0x5a5a_0000);
        headers.extend([
            ("X-Model", "m"),
            ("X-Token-Count", "1210,80"),
            ("X-Prompt-Prefix", &parts),
        ]);
        let last = from.as_ref().map(|(_, last)| last.to_string()).unwrap_or_default();
        if let Some((first, _)) = &from {
            headers.push(("Resumes", first));
            headers.push(("Last-Event-Id", &last));
            record.line(format!(
                "consumer: {id} is sent to {to}, takes {first} up after event {last}"
            ));
        } else {
            record.line(format!("consumer: {id} is sent to {to}"));
        }
        let path = format!("/s/{story}");
        let limit = Duration::from_millis(deadline_ms + 1_000);
        let answer = http::request(to, "POST", &path, &headers, &format!("story {story}"), limit);
        record.line(format!(
            "consumer: {id} gets {} {} after {} ms, stamp {}, events {}",
            answer.status,
            if answer.whole { "whole" } else { "cut" },
            answer.took.as_millis(),
            answer.head.get("x-server-stamp").unwrap_or("-"),
            events(&answer.body),
        ));
        answer
    })
}

/// Waits for the answers.
pub fn join(threads: Vec<JoinHandle<http::Response>>) -> Vec<http::Response> {
    threads.into_iter().map(|thread| thread.join().expect("a consumer ends")).collect()
}

/// Number of the last whole event of a body; 0 for none.
pub fn last_event(body: &str) -> u64 {
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    whole
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .next_back()
        .unwrap_or(0)
}

/// Software versions of the runners that made the events of a body.
pub fn versions(body: &str) -> BTreeSet<String> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| data.split(' ').nth(1).map(str::to_owned)).collect()
}

/// The events in their order, as RUNNER/VERSION:FIRST-LAST.
fn events(body: &str) -> String {
    let mut parts: Vec<(String, u64, u64)> = Vec::new();
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let fields: Vec<&str> = data.split(' ').collect();
        let [runner, version, event] = fields[..] else { continue };
        let (name, event) = (format!("{runner}/{version}"), event.parse().unwrap_or(0));
        match parts.last_mut() {
            Some((last, _, to)) if *last == name => *to = event,
            _ => parts.push((name, event, event)),
        }
    }
    let parts: Vec<String> =
        parts.iter().map(|(name, from, to)| format!("{name}:{from}-{to}")).collect();
    parts.join(",")
}
