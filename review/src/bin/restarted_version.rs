//! Case: a stream goes on at a runner that has started again, under its id, with other software, before its first ping.

use std::path::Path;

use review::{
    case,
    fleet::{Fleet, Net},
    record::Record,
    runner::{Options, Runner, rotated},
    sleep_ms,
    story::{self, EVENT_MS, EVENTS, MOST_MIXED, versions},
    trouble,
};

/// Two of them end, one after the other: a share of 0.25 together.
const RUNNERS: u8 = 8;
const STREAMS: usize = 80;

fn main() {
    case::main(run);
}

fn run(temporary: &Path, record: &Record) -> bool {
    let net = Net::find();
    let fleet = Fleet::start(&net, temporary, record, 2);
    fleet.declare(&story::config(8_000));
    let log = temporary.join("runners.log");
    let options = |number: u8, version: &str, first_ping_ms: u64| Options {
        id: format!("i-{number}"),
        service: String::from("stories"),
        version: version.to_owned(),
        listen: net.server(41 + number),
        announced: net.server(41 + number),
        control: rotated(fleet.control_addresses(), number),
        events: EVENTS,
        work_ms: EVENT_MS,
        first_ping_ms,
        poison: String::new(),
        stage: String::new(),
    };
    let mut runners: Vec<Runner> =
        (0..RUNNERS).map(|number| Runner::start(options(number, "v1", 0), &log, record)).collect();
    fleet.until_ready();
    fleet.end_bootstrap();
    // All machines are in touch from contact_ms (3 s) after their start on.
    sleep_ms(6_000);
    let callers: Vec<_> = fleet.entries.iter().map(|entry| entry.callers()).collect();
    if trouble() {
        runners[0].kill();
    }
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            story::begin(callers[number % callers.len()], format!("s{number}"), 8_000, record)
        })
        .collect();
    sleep_ms(300);
    if trouble() {
        // Back with the next version of its software; its pings come at their interval, 1.2 s.
        runners[0] = Runner::start(options(0, "v2", 1_200), &log, record);
    }
    sleep_ms(700);
    if trouble() {
        runners[1].kill();
        sleep_ms(300);
        runners[1] = Runner::start(options(1, "v2", 1_200), &log, record);
    }
    let answers = story::join(streams);
    runners[0].record_log();
    let served = answers.iter().filter(|answer| answer.whole).count();
    let mixed = answers.iter().filter(|answer| versions(&answer.body).len() > 1).count();
    record.line(format!(
        "{served} of {STREAMS} streams are whole; {mixed} hold events of two software versions"
    ));
    fleet.require(served * 2 > STREAMS, "most streams are served");
    mixed <= MOST_MIXED
}
