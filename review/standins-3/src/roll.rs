//! All daemons of the front start again one after the other while a service takes longer than its route aims at.

use std::{
    collections::HashSet,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    fleet::{self, Fleet, HOST_NAME, RunnerOptions, signal},
    runner::unix_ms,
};

const FRONTS: u8 = 2;
const RUNNERS: u8 = 4;
const REQUESTS_A_SECOND: u64 = 20;
const REQUESTS: u64 = 20 * REQUESTS_A_SECOND;
/// Time from the first request to the first SIGTERM.
const BEFORE: Duration = Duration::from_secs(3);
/// Time between the SIGTERMs.
const GAP: Duration = Duration::from_secs(1);
const LIMIT: Duration = Duration::from_secs(3);

// The bound of the rule, with the figures of the settings.
const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-lookup\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/lookup/\",\
         \"route_type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":150,\"priority\":1,\
         \"service\":\"portal\",\"max_attempts\":2,\"session_affinity\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A request: when it was sent, to which front, and what came back.
struct Sent {
    at: u64,
    id: String,
    front: usize,
    answer: client::Answer,
}

/// Sends the requests to the fronts that take connections.
fn send_all(fronts: &[std::net::SocketAddr], open: &[AtomicBool]) -> Vec<Sent> {
    let start = Instant::now();
    let (mut tasks, mut front) = (Vec::new(), 0);
    for number in 0..REQUESTS {
        let at = Duration::from_millis(1_000 * number / REQUESTS_A_SECOND);
        thread::sleep(at.saturating_sub(start.elapsed()));
        for _ in 0..open.len() {
            front = (front + 1) % open.len();
            if open[front].load(Ordering::Relaxed) {
                break;
            }
        }
        let address = fronts[front];
        let (at, id) = (unix_ms(), format!("q{number:05}"));
        tasks.push(thread::spawn(move || {
            let headers = [("X-Request-Id", id.as_str())];
            let path = format!("/lookup/{number}");
            let answer = client::send(address, "GET", &path, &headers, "", LIMIT, LIMIT);
            Sent { at, id, front: front + 1, answer }
        }));
    }
    tasks.into_iter().filter_map(|task| task.join().ok()).collect()
}

/// Tells the fronts to stop one after the other, and starts each again when it has ended.
fn roll(fleet: &mut Fleet, open: &[AtomicBool]) {
    for index in 0..FRONTS {
        let process = fleet.fronts[usize::from(index)].id().unwrap_or_default();
        fleet.note(&format!("front {} gets SIGTERM", index + 1));
        signal(process, "TERM");
        thread::sleep(GAP);
    }
    let (mut running, mut starting): (Vec<u8>, Vec<u8>) = ((0..FRONTS).collect(), Vec::new());
    let end = Instant::now() + Duration::from_secs(20);
    while !(running.is_empty() && starting.is_empty()) && Instant::now() < end {
        running.retain(|number| {
            let index = usize::from(*number);
            if fleet.fronts[index].is_running() {
                return true;
            }
            open[index].store(false, Ordering::Relaxed);
            fleet.note(&format!("front {} has ended", number + 1));
            fleet.fronts[index] = fleet.front(*number);
            starting.push(*number);
            false
        });
        starting.retain(|number| {
            let is_ready = fleet.is_ready(*number);
            if is_ready {
                fleet.note(&format!("front {} is ready", number + 1));
                open[usize::from(*number)].store(true, Ordering::Relaxed);
            }
            !is_ready
        });
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(record: &Path, trouble: bool) -> u8 {
    let mut fleet = Fleet::new(record);
    fleet.start(FRONTS);
    if !fleet.put_config(&config()) {
        fleet.end();
        return 2;
    }
    let ids: Vec<String> = (1..=RUNNERS).map(|number| format!("i-portal-{number}")).collect();
    let mut runners = Vec::new();
    for (id, host) in ids.iter().zip(11..) {
        runners.push(fleet.runner(&RunnerOptions {
            id: id.clone(),
            service: "portal",
            version: "v1",
            stage: "",
            host,
            events: 0,
            event_ms: 0,
            work_ms: 500,
            slots: 6,
            queue: 6,
            late_ms: 0,
        }));
    }
    let known = (1..=FRONTS)
        .all(|front| ids.iter().all(|id| fleet.until_known(&format!("front-suva-{front}"), id)));
    let ready =
        fleet::until(Duration::from_secs(20), || (0..FRONTS).all(|front| fleet.is_ready(front)));
    if !known || !ready {
        fleet.end();
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    let fronts: Vec<_> = (0..FRONTS).map(|front| fleet.callers(front)).collect();
    let open: Arc<Vec<AtomicBool>> = Arc::new(fronts.iter().map(|_| true.into()).collect());
    let sending = Arc::clone(&open);
    let sender = thread::spawn(move || send_all(&fronts, &sending));
    thread::sleep(BEFORE);
    if trouble {
        roll(&mut fleet, &open);
    }
    let sent = sender.join().unwrap();
    for Sent { at, id, front, answer } in &sent {
        let client::Answer { status, stamp, .. } = answer;
        fleet.note(&format!("{id} sent at {at} to front {front}: status {status}, stamp {stamp}"));
    }
    let times: Vec<u64> = sent.iter().map(|request| request.at).collect();
    let served = sent.iter().filter(|request| request.answer.status == 200).count();
    let lines = fleet.runs();
    let mut arrivals: Vec<(u64, &str)> = Vec::new();
    for line in &lines {
        let words: Vec<&str> = line.split(' ').collect();
        if let [at, "runner", _, _, "run", id, ..] = words[..] {
            arrivals.push((at.parse().unwrap_or_default(), id));
        }
    }
    arrivals.sort_unstable();
    let mut seen = HashSet::new();
    let repeats: Vec<u64> =
        arrivals.iter().filter(|(_, id)| !seen.insert(*id)).map(|(at, _)| *at).collect();
    let within = |times: &[u64], end: u64| {
        times.iter().filter(|at| **at > end - WINDOW_MS && **at <= end).count()
    };
    let mut worst: Option<(f64, usize, usize)> = None;
    for end in &repeats {
        let count = within(&repeats, *end);
        let requests = [0, WINDOW_MS / 2, WINDOW_MS]
            .map(|before| within(&times, end - before))
            .into_iter()
            .max()
            .unwrap_or_default();
        let over = count as f64 - (RATIO * requests as f64 + SLACK);
        if worst.is_none_or(|(most, ..)| over > most) {
            worst = Some((over, count, requests));
        }
    }
    let (over, count, requests) = worst.unwrap_or_default();
    let text = format!(
        "{REQUESTS} requests sent, {served} served, {} arrivals; worst window: {count} arrivals beyond the first for \
         {requests} requests, {:.1} allowed",
        arrivals.len(),
        RATIO * requests as f64 + SLACK
    );
    fleet.note(&text);
    println!("{text}");
    fleet.end();
    drop(runners);
    if served < 100 { 2 } else { u8::from(over > 0.0) }
}
