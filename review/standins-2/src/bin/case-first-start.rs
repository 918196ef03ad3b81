//! One of five control machines is lost when the whole system starts for the first time.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use review_standins_2::{
    Outcome,
    fleet::{Fleet, case_folder, sleep_ms},
    has_trouble, http, operator,
    record::Record,
    runner::Runner,
};

/// The machine that is lost; it is one of the three seeds.
const LOST: usize = 1;
/// How long the operator repeats the first config.
const LIMIT: Duration = Duration::from_secs(45);

fn main() {
    std::process::exit(run().unwrap_or(Outcome::NotRun).code());
}

fn run() -> Option<Outcome> {
    let record = Record::create(&case_folder().join("record.txt")).ok()?;
    record.line(format!("trouble {}", has_trouble()));
    let mut fleet = Fleet::new(10, 5, 1, 2).ok()?;
    for index in 0..fleet.daemons.len() {
        if has_trouble() && index == LOST {
            record.line("core-2 is down, and stays so");
        } else {
            fleet.start(index, true).ok()?;
        }
    }
    let controls = fleet.controls();
    let work = Duration::from_millis(30);
    let ip = Ipv4Addr::new(127, 82, 10, 201);
    let _runner = Runner::start("i-1", "portal", ip, controls.clone(), work, &record).ok()?;
    let config = operator::config(1, &[operator::unsafe_route(800)]);
    let is_accepted = operator::put(&controls, 0, &config, LIMIT, &record) == 200;
    record.line(format!("the first config is acknowledged: {is_accepted}"));
    sleep_ms(5_000);
    let mut served = 0;
    for number in 0..10 {
        let id = format!("r-{number}");
        let fields =
            [("Host", "vents.example"), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
        let limit = Duration::from_secs(2);
        let sent = Instant::now();
        let response = http::request(fleet.front(5), "POST", "/lodge/1", &fields, b"x", limit);
        record.line(format!(
            "consumer: {id} is answered {} after {} ms",
            response.status,
            sent.elapsed().as_millis()
        ));
        served += u32::from(response.status == 200);
        sleep_ms(100);
    }
    Some(if is_accepted && served > 0 { Outcome::Held } else { Outcome::Broken })
}
