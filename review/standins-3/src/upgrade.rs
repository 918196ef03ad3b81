//! The runners of a service are replaced by ones with other software, and a config shortens the timeouts meanwhile.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Answer},
    fleet::{self, Fleet, HOST_NAME, RunnerOptions},
    http,
};

const STREAMS: usize = 40;
/// A stream takes 100 ms for each event.
const EVENTS: u64 = 95;
/// Time budget of a consumer for all of its tries.
const BUDGET: Duration = Duration::from_secs(12);
/// Consumers give up after a gap of this length: four times the objective.
const GAP: Duration = Duration::from_secs(4);
const TRIES: usize = 2;

fn config(version: u64, timeout_ms: u64) -> String {
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

fn options(number: u8, version: &'static str) -> RunnerOptions {
    let host = if version == "v1" { 10 + number } else { 20 + number };
    RunnerOptions {
        id: format!("i-{version}-{number}"),
        service: "drafts",
        version,
        stage: "",
        host,
        events: EVENTS,
        event_ms: 100,
        work_ms: 0,
        slots: 64,
        queue: 0,
        late_ms: 0,
    }
}

/// One consumer: takes its stream up at another front each time, and returns what its tries brought.
fn consume(number: usize, fronts: &[SocketAddr]) -> Vec<(Duration, Answer)> {
    let start = Instant::now();
    let first = format!("s{number:04}");
    let mut tries: Vec<(Duration, Answer)> = Vec::new();
    let mut last = None;
    while tries.len() < TRIES {
        let left = BUDGET.saturating_sub(start.elapsed());
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
        let left = BUDGET.saturating_sub(start.elapsed());
        thread::sleep(pause.unwrap_or_default().min(left / 3));
    }
    tries
}

pub fn run(record: &Path, trouble: bool) -> u8 {
    let mut fleet = Fleet::new(record);
    fleet.start(2);
    if !fleet.put_config(&config(3, 12_000)) {
        fleet.end();
        return 2;
    }
    let mut old: Vec<_> = (1..=2).map(|number| fleet.runner(&options(number, "v1"))).collect();
    let known = |fleet: &Fleet, version: &str| {
        ["front-suva-1", "front-suva-2"].iter().all(|front| {
            (1..=2).all(|number| fleet.until_known(front, &format!("i-{version}-{number}")))
        })
    };
    let ready = fleet::until(Duration::from_secs(20), || fleet.is_ready(0) && fleet.is_ready(1));
    if !known(&fleet, "v1") || !ready {
        fleet.end();
        return 2;
    }
    // The service has had one version for longer than any request lasts.
    thread::sleep(Duration::from_secs(18));
    fleet.note("the streams begin");
    let start = Instant::now();
    let until = |at_ms: u64| {
        thread::sleep(Duration::from_millis(at_ms).saturating_sub(start.elapsed()));
    };
    let fronts = [fleet.callers(0), fleet.callers(1)];
    let consumers: Vec<_> =
        (0..STREAMS).map(|number| thread::spawn(move || consume(number, &fronts))).collect();
    let mut new = Vec::new();
    if trouble {
        for number in 1..=2_u8 {
            until(500 + 1_000 * u64::from(number - 1));
            new.push(fleet.runner(&options(number, "v2")));
            until(1_300 + 1_000 * u64::from(number - 1));
            let address = fleet.address(options(number, "v1").host, 8080);
            let limit = Duration::from_secs(4);
            let answer = http::call(address, "POST", "/script/leave", "", limit);
            let left = answer.is_ok_and(|answer| answer.status() == 200);
            fleet.note(&format!("runner i-v1-{number} leaves, acknowledged: {left}"));
        }
        until(2_600);
        fleet.note("the config shortens the timeout from 12 s to 3 s");
        if !fleet.put_config(&config(4, 3_000)) {
            return 2;
        }
        until(7_600);
        for (number, process) in old.iter_mut().enumerate() {
            fleet.note(&format!("runner i-v1-{} ends", number + 1));
            process.kill();
        }
    }
    let (mut mixed, mut whole) = (0, 0);
    for (number, consumer) in consumers.into_iter().enumerate() {
        let tries = consumer.join().unwrap_or_default();
        let written = |version: &str| {
            tries.iter().any(|(_, answer)| answer.body.contains(&format!("written by {version}")))
        };
        let both = written("v1") && written("v2");
        mixed += usize::from(both);
        let ids: Vec<u64> = tries.iter().flat_map(|(_, answer)| answer.event_ids()).collect();
        whole += usize::from(ids == (1..=EVENTS).collect::<Vec<_>>());
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
    fleet.end();
    drop(new);
    if trouble {
        u8::from(mixed > 2)
    } else if whole == STREAMS && mixed == 0 {
        0
    } else {
        2
    }
}
