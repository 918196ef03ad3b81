//! Both runners of a service have a full queue of new channels for a while; they report that they are draining meanwhile,
//! and end a little later than they have to.

use std::{
    net::Ipv4Addr,
    thread,
    time::{Duration, Instant},
};

use review_standins_2::{
    Outcome,
    fleet::{Fleet, case_folder, sleep_ms},
    has_trouble,
    http::{self, Connection},
    operator,
    record::Record,
    runner::Runner,
};

/// `drain_timeout_ms` of the sheet.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long the runner that leaves serves on after the acknowledgement: `drain_timeout_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_000);
/// How long the queues are full, in milliseconds.
const FULL_MS: u128 = 2_400;
/// Time budget of the consumers, and `timeout_ms` of the route.
const TIMEOUT_MS: u64 = 5_000;

fn main() {
    std::process::exit(run().unwrap_or(Outcome::NotRun).code());
}

fn run() -> Option<Outcome> {
    let record = Record::create(&case_folder().join("record.txt")).ok()?;
    record.line(format!("trouble {}", has_trouble()));
    let mut fleet = Fleet::new(7, 3, 1, 1).ok()?;
    fleet.start_all().ok()?;
    let controls = fleet.controls();
    let config = operator::config(1, &[operator::unsafe_route(TIMEOUT_MS)]);
    if operator::put(&controls, 0, &config, Duration::from_secs(10), &record) != 200 {
        return Some(Outcome::NotRun);
    }
    let work = Duration::from_millis(300);
    let runner = |name: &str, number: u8| {
        let ip = Ipv4Addr::new(127, 82, 7, 200 + number);
        Runner::start(name, "portal", ip, controls.clone(), work, &record).ok()
    };
    let runners = [runner("i-1", 1)?, runner("i-2", 2)?];
    let front = fleet.front(3);
    let until = Instant::now() + Duration::from_secs(15);
    let is_ready = || {
        let limit = Duration::from_millis(500);
        http::request(fleet.ready(3), "GET", "/-/ready", &[], &[], limit).status == 200
    };
    while !is_ready() {
        if Instant::now() > until {
            return Some(Outcome::NotRun);
        }
        sleep_ms(100);
    }
    sleep_ms(3_000);
    for number in 0..8 {
        let status = send(front, &format!("before-{number}"), &record);
        if status != 200 {
            return Some(Outcome::NotRun);
        }
    }
    // Kept channels to the runners grow too old to be used.
    sleep_ms(4_000);
    let fillers =
        if has_trouble() { runners.iter().map(Runner::fill_queue).collect() } else { Vec::new() };
    let started = Instant::now();
    let consumers: Vec<_> = (0..8)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || send(front, &format!("during-{number}"), &record))
        })
        .collect();
    sleep_ms(400);
    let mut drained = Vec::new();
    for runner in &runners {
        drained.push(runner.drain(controls[0])?);
    }
    if has_trouble() {
        sleep_ms(u64::try_from(FULL_MS.saturating_sub(started.elapsed().as_millis())).ok()?);
        runners.iter().for_each(Runner::accept_again);
        drop(fillers);
    }
    for (runner, drained) in runners.iter().zip(&drained) {
        thread::sleep((*drained + SERVES_ON).saturating_duration_since(Instant::now()));
        runner.exit(controls[0]);
    }
    let _successor = runner("i-3", 3)?;
    for consumer in consumers {
        let _status = consumer.join();
    }
    let mut is_broken = false;
    for (runner, drained) in runners.iter().zip(&drained) {
        for run in runner.runs().into_iter().filter(|run| run.at > *drained + DRAIN_TIMEOUT) {
            is_broken = true;
            record.line(format!(
                "{} reached {} {} ms after it was acknowledged that {} is draining",
                run.id,
                runner.name(),
                run.at.duration_since(*drained).as_millis(),
                runner.name(),
            ));
        }
    }
    Some(if is_broken { Outcome::Broken } else { Outcome::Held })
}

fn send(front: std::net::SocketAddr, id: &str, record: &Record) -> u16 {
    let deadline = TIMEOUT_MS.to_string();
    let fields =
        [("Host", "vents.example"), ("X-Request-Id", id), ("X-Deadline-Ms", deadline.as_str())];
    let request = http::encode("POST", "/lodge/1", "vents.example", &fields, b"certificate");
    let until = Instant::now() + Duration::from_millis(TIMEOUT_MS + 1_000);
    let Ok(mut connection) = Connection::open(front, Duration::from_secs(1)) else {
        return 0;
    };
    record.line(format!("consumer: sends {id}"));
    let response = connection.exchange(&request, until);
    record.line(format!("consumer: {id} is answered {}", response.status));
    response.status
}
