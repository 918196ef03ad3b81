//! Case: a stream that a peer served for a cut-off instance goes on at another software version.

use std::path::Path;

use review::{
    case,
    fleet::{Fleet, Net},
    gate::Gate,
    record::Record,
    runner::{Options, Runner, rotated},
    sleep_ms,
    story::{self, EVENT_MS, EVENTS, MOST_MIXED, versions},
    trouble,
};

const STREAMS: usize = 40;

fn main() {
    case::main(run);
}

fn run(temporary: &Path, record: &Record) -> bool {
    let net = Net::find();
    let fleet = Fleet::start(&net, temporary, record, 2);
    fleet.declare(&story::config(8_000));
    let log = temporary.join("runners.log");
    let mut gates = Vec::new();
    let mut runners = Vec::new();
    for number in 0..4_u8 {
        let (listen, announced) = (net.server(41 + number), net.server(61 + number));
        gates.push(Gate::start(announced, listen));
        let options = Options {
            id: format!("i-{number}"),
            service: String::from("stories"),
            version: format!("v{}", 1 + number % 2),
            listen,
            announced,
            control: rotated(fleet.control_addresses(), number),
            events: EVENTS,
            work_ms: EVENT_MS,
            first_ping_ms: 0,
            poison: String::new(),
            stage: String::new(),
        };
        runners.push(Runner::start(options, &log, record));
    }
    fleet.until_ready();
    fleet.end_bootstrap();
    // All machines are in touch from contact_ms (3 s) after their start on.
    sleep_ms(6_000);
    let first = &fleet.entries[0];
    let callers = first.callers();
    if trouble() {
        record.line(format!("cut: {} is partitioned from all runners", first.name));
        gates.iter().for_each(|gate| gate.cut(net.host(first.host)));
    }
    // Consumers go on; these show the machine that it is cut off.
    let early: Vec<_> =
        (0..4).map(|number| story::begin(callers, format!("e{number}"), 8_000, record)).collect();
    sleep_ms(3_500);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| story::begin(callers, format!("s{number}"), 8_000, record))
        .collect();
    sleep_ms(1_000);
    if trouble() {
        record.line("heal: the partition ends");
        gates.iter().for_each(Gate::heal);
    }
    sleep_ms(1_200);
    if trouble() {
        // Runners of version v1 fall silent for a second or so, and go on.
        runners
            .iter()
            .filter(|runner| runner.options.version == "v1")
            .for_each(|runner| runner.signal("STOP"));
        sleep_ms(1_400);
        runners
            .iter()
            .filter(|runner| runner.options.version == "v1")
            .for_each(|runner| runner.signal("CONT"));
    }
    let _early = story::join(early);
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
