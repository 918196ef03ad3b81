//! Case: control instances that are killed right after a runner has left take it for ready again.

use std::{path::Path, time::Duration};

use review::{
    case,
    fleet::{Fleet, Net},
    http,
    record::Record,
    runner::{Options, Runner, read_log, rotated},
    sleep_ms, trouble, unix_ms, until,
};

const RUNNERS: u8 = 3;
/// `drain_timeout_ms`.
const DRAIN_MS: u64 = 2_000;
/// Time for which the runner that leaves serves on after its DELETE.
const LINGER_MS: u64 = 11_500;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/q/","route_type":"unsafe","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"records","max_attempts":2,"session_affinity":false,"resumable":false,"gap_target_ms":250}],"services":[{"name":"records","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn main() {
    case::main(run);
}

fn run(temporary: &Path, record: &Record) -> bool {
    let net = Net::find();
    let mut fleet = Fleet::start(&net, temporary, record, 3);
    fleet.declare(CONFIG);
    let log = temporary.join("runners.log");
    let control = fleet.control_addresses();
    let options = |number: u8| Options {
        id: format!("i-{number}"),
        service: String::from("records"),
        version: String::from("v1"),
        listen: net.server(41 + number),
        announced: net.server(41 + number),
        control: rotated(control.clone(), number),
        events: 0,
        work_ms: 300,
        first_ping_ms: 0,
        poison: String::new(),
        stage: String::new(),
    };
    let mut runners: Vec<Runner> =
        (0..RUNNERS).map(|number| Runner::start(options(number), &log, record)).collect();
    fleet.until_ready();
    fleet.end_bootstrap();
    sleep_ms(6_000);
    record.line(
        "runner i-0 leaves: it sends DELETE, serves on for some seconds and sends no more pings",
    );
    runners[0].leave();
    let left = || read_log(&log).into_iter().find(|line| line.what == "left").map(|line| line.at);
    let acknowledged = until(Duration::from_secs(4), || left().is_some());
    fleet.require(acknowledged, "DELETE is acknowledged");
    let left_at = left().unwrap_or_default();
    if trouble() {
        fleet.control.iter_mut().for_each(|control| control.kill());
        sleep_ms(500);
        fleet.control.iter_mut().for_each(|control| control.start());
    }
    sleep_ms(4_000);
    record.line("a machine is added");
    fleet.add_entry(false);
    fleet.until_ready();
    // It is in touch from contact_ms (3 s) after its start on.
    sleep_ms(4_000);
    let to = fleet.entries.last().expect("an entry").callers();
    let mut consumers = Vec::new();
    let mut number = 0;
    let mut has_exited = false;
    while unix_ms() < left_at + LINGER_MS + 2_000 {
        if !has_exited && unix_ms() >= left_at + LINGER_MS {
            has_exited = true;
            record.line("runner i-0 exits");
            runners[0].kill();
        }
        number += 1;
        let (id, consumer) = (format!("n{number}"), record.clone());
        consumers.push(std::thread::spawn(move || {
            let answer = send(to, &id);
            consumer.line(format!(
                "consumer: {id} to {to} gets {} after {} ms",
                answer.status,
                answer.took.as_millis()
            ));
            answer.status
        }));
        sleep_ms(100);
    }
    let answers: Vec<u16> =
        consumers.into_iter().map(|consumer| consumer.join().expect("a consumer")).collect();
    let lines = read_log(&log);
    for line in &lines {
        record.line_at(line.at, format!("runner: {} {} {}", line.what, line.id, line.rest));
    }
    let late = lines.iter().filter(|line| {
        line.what == "run" && line.rest.starts_with("i-0 ") && line.at > left_at + DRAIN_MS
    });
    let late = late.count();
    let served = answers.iter().filter(|status| **status == 200).count();
    record.line(format!(
        "{late} requests reached runner i-0 later than {DRAIN_MS} ms after its DELETE was acknowledged; {served} of {} \
         requests were served, {} failed with 502",
        answers.len(),
        answers.iter().filter(|status| **status == 502).count()
    ));
    fleet.require(served * 2 > answers.len(), "most requests are served");
    late == 0
}

fn send(to: std::net::SocketAddr, id: &str) -> http::Response {
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
        ("Content-Type", "application/json"),
    ];
    http::request(to, "POST", "/q/lodge", &headers, "a certificate", Duration::from_secs(3))
}
