//! A runner starts again under its id with another version of its software; its first ping comes an interval later.

use std::{path::Path, thread, time::Duration};

use crate::{
    client,
    fleet::{Fleet, HOST_NAME, RunnerOptions},
};

const STREAMS: usize = 40;
/// A stream takes 100 ms for each event.
const EVENTS: u64 = 70;

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-summary\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/summary/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":1000,\"priority\":1,\
         \"service\":\"vent-llm\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true,\
         \"gap_target_ms\":250}}],\"services\":[{{\"name\":\"vent-llm\",\"health_path\":\"/health\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity_tokens\":505550,\"kv_token_bytes\":327680,\"link_mbps\":3800000.0,\"moves\":true,\
         \"backups\":true,\"stride\":10,\"most\":12,\"handle_ttl_s\":5.0,\"switch_s\":3.0,\"pin_ms\":4000.0,\
         \"hold_ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn options(id: &str, host: u8, stage: &'static str, version: &'static str) -> RunnerOptions {
    RunnerOptions {
        id: id.to_owned(),
        service: "vent-llm",
        version,
        stage,
        host,
        events: EVENTS,
        event_ms: 100,
        work_ms: 0,
        slots: 64,
        queue: 0,
        late_ms: 0,
    }
}

pub fn run(record: &Path, trouble: bool) -> u8 {
    let mut fleet = Fleet::new(record);
    fleet.start(1);
    if !fleet.put_config(&config()) {
        fleet.end();
        return 2;
    }
    let mut runners = Vec::new();
    for number in 1..=5 {
        let prefill = options(&format!("i-prefill-{number}"), 10 + number, "prefill", "v1");
        runners.push(fleet.runner(&prefill));
    }
    let decode = ["i-first", "i-second", "i-third"];
    let decode =
        [0, 1, 2].map(|number| options(decode[usize::from(number)], 20 + number, "decode", "v1"));
    for runner in &decode {
        runners.push(fleet.runner(runner));
    }
    let known = (1..=5)
        .all(|number| fleet.until_known("front-suva-1", &format!("i-prefill-{number}")))
        && decode.iter().all(|runner| fleet.until_known("front-suva-1", &runner.id));
    let ready = crate::fleet::until(Duration::from_secs(20), || fleet.is_ready(0));
    if !known || !ready {
        fleet.end();
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    if trouble {
        fleet.note("i-third crashes");
        runners[7].kill();
        thread::sleep(Duration::from_millis(2_000));
        let again = RunnerOptions { version: "v2", late_ms: 1_200, ..decode[2].clone() };
        runners[7] = fleet.runner(&again);
        thread::sleep(Duration::from_millis(100));
    }
    let callers = fleet.callers(0);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let id = format!("s{number:04}");
            let parts = format!("5c1e07a2:800,{:x}:200", 0x9100_0000 + number);
            let path = format!("/summary/{number}");
            let stream = thread::spawn(move || {
                let headers = [
                    ("X-Request-Id", id.as_str()),
                    ("X-Model", "m"),
                    ("X-Token-Count", "1000,700"),
                    ("X-Prompt-Prefix", parts.as_str()),
                ];
                let (limit, pause) = (Duration::from_secs(12), Duration::from_secs(4));
                client::send(callers, "POST", &path, &headers, "a prompt", limit, pause)
            });
            thread::sleep(Duration::from_millis(5));
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(350));
    if trouble {
        fleet.note("i-first crashes");
        runners[5].kill();
    }
    let answers: Vec<client::Answer> =
        streams.into_iter().map(|stream| stream.join().unwrap_or_default()).collect();
    let (mut mixed, mut whole) = (0, 0);
    for (number, answer) in answers.iter().enumerate() {
        let written = |version: &str| answer.body.contains(&format!("written by {version}"));
        let both = written("v1") && written("v2");
        mixed += usize::from(both);
        let complete = answer.whole && answer.event_ids() == (1..=EVENTS).collect::<Vec<_>>();
        whole += usize::from(complete);
        let ids = answer.event_ids();
        fleet.note(&format!(
            "consumer s{number:04}: status {}, {} events, whole {}, events of v1 and v2: {both}",
            answer.status,
            ids.len(),
            answer.whole
        ));
    }
    fleet.note(&format!(
        "{mixed} of {STREAMS} streams hold events of two versions, {whole} are whole"
    ));
    println!("{mixed} of {STREAMS} streams hold events of two versions, {whole} are whole");
    fleet.end();
    drop(runners);
    if trouble {
        u8::from(mixed > 2)
    } else if whole == STREAMS && mixed == 0 {
        0
    } else {
        2
    }
}
