//! Consumers of resumable streams that take them up at another front, and the check of what they received.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{self, Answer},
    fleet::{Fleet, HOST_NAME, RunnerOptions},
};

pub const STREAMS: usize = 40;
/// Consumers give up after a gap of this length: four times the objective.
const GAP: Duration = Duration::from_secs(4);
const TRIES: usize = 2;

/// What a consumer received: its tries and when they began.
pub type Tries = Vec<(Duration, Answer)>;

pub fn config(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-draft\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/draft/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":1,\
         \"service\":\"drafts\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true,\
         \"gap_target_ms\":250}}],\"services\":[{{\"name\":\"drafts\",\"health_path\":\"/health\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A runner without a stage that writes an event each 100 ms.
pub fn options(id: String, host: u8, version: &'static str, events: u64) -> RunnerOptions {
    RunnerOptions {
        id,
        service: "drafts",
        version,
        stage: "",
        host,
        events,
        event_ms: 100,
        work_ms: 0,
        slots: 64,
        queue: 0,
        late_ms: 0,
    }
}

/// Starts the consumers, which have this time for all of their tries.
pub fn start(fronts: [SocketAddr; 2], budget: Duration) -> Vec<JoinHandle<Tries>> {
    start_from(0, fronts, budget)
}

/// The same with streams of higher numbers.
pub fn start_from(
    first: usize,
    fronts: [SocketAddr; 2],
    budget: Duration,
) -> Vec<JoinHandle<Tries>> {
    let numbers = first..first + STREAMS;
    numbers.map(|number| thread::spawn(move || consume(number, fronts, budget))).collect()
}

/// One consumer: takes its stream up at another front each time, and returns what its tries brought.
fn consume(number: usize, fronts: [SocketAddr; 2], budget: Duration) -> Tries {
    let start = Instant::now();
    let first = format!("s{number:04}");
    let mut tries: Tries = Vec::new();
    let mut last = None;
    while tries.len() < TRIES {
        let left = budget.saturating_sub(start.elapsed());
        if left < Duration::from_millis(100) {
            break;
        }
        let index = tries.len();
        let id = if index == 0 { first.clone() } else { format!("{first}.{index}") };
        let event = last.map(|event: u64| event.to_string());
        let mut headers = vec![("X-Request-Id", id.as_str())];
        if let Some(event) = &event {
            headers.extend([("Last-Event-Id", event.as_str()), ("Resumes", first.as_str())]);
        }
        let at = start.elapsed();
        let path = format!("/draft/{number}");
        let front = fronts[index % fronts.len()];
        let answer = client::send(front, "POST", &path, &headers, "a prompt", left, GAP);
        last = answer.event_ids().last().copied().or(last);
        let (is_whole, pause) = (answer.whole && answer.status == 200, answer.retry_after);
        tries.push((at, answer));
        if is_whole {
            break;
        }
        let left = budget.saturating_sub(start.elapsed());
        thread::sleep(pause.unwrap_or_default().min(left / 3));
    }
    tries
}

/// Waits for the consumers; returns how many hold events of two versions, and how many hold all events once.
pub fn judge(fleet: &mut Fleet, consumers: Vec<JoinHandle<Tries>>, events: u64) -> (usize, usize) {
    let (mut mixed, mut whole) = (0, 0);
    for (number, consumer) in consumers.into_iter().enumerate() {
        let tries = consumer.join().unwrap_or_default();
        let written = |version: &str| {
            tries.iter().any(|(_, answer)| answer.body.contains(&format!("written by {version}")))
        };
        let both = written("v1") && written("v2");
        mixed += usize::from(both);
        let ids: Vec<u64> = tries.iter().flat_map(|(_, answer)| answer.event_ids()).collect();
        whole += usize::from(ids == (1..=events).collect::<Vec<_>>());
        for (at, answer) in &tries {
            let ids = answer.event_ids();
            fleet.note(&format!(
                "consumer s{number:04} at {} ms: status {}, events {:?} to {:?}, whole {}, v1 {}, v2 {}",
                at.as_millis(),
                answer.status,
                ids.first(),
                ids.last(),
                answer.whole,
                answer.body.contains("written by v1"),
                answer.body.contains("written by v2")
            ));
        }
    }
    let text =
        format!("{mixed} of {STREAMS} streams hold events of two versions, {whole} are complete");
    fleet.note(&text);
    println!("{text}");
    (mixed, whole)
}
