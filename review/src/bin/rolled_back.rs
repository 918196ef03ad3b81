//! Case: after a release was taken back, streams that began before are taken for streams of the earlier version.

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

/// Time from the end of the earlier version until streams begin, in milliseconds.
const PAUSE_MS: u64 = 16_000;
const STREAMS: usize = 40;
/// One of them is killed: a share of 0.17.
const ENTRIES: u8 = 6;
/// Runners of the service; each release replaces one of them: a share of 0.33.
const RUNNERS: u8 = 3;

fn main() {
    case::main(run);
}

fn run(temporary: &Path, record: &Record) -> bool {
    let net = Net::find();
    let mut fleet = Fleet::start(&net, temporary, record, ENTRIES);
    fleet.declare(&story::config(5_000));
    let log = temporary.join("runners.log");
    let options = |number: u8, version: &str| Options {
        id: format!("i-{number}"),
        service: String::from("stories"),
        version: version.to_owned(),
        listen: net.server(41 + number),
        announced: net.server(41 + number),
        control: rotated(fleet.control_addresses(), number),
        events: EVENTS,
        work_ms: EVENT_MS,
        first_ping_ms: 0,
        poison: String::new(),
        stage: String::new(),
    };
    let mut earlier: Vec<Runner> =
        (0..RUNNERS).map(|number| Runner::start(options(number, "v1"), &log, record)).collect();
    fleet.until_ready();
    fleet.end_bootstrap();
    sleep_ms(6_000);
    let mut runners = Vec::new();
    for (number, old) in earlier.iter_mut().enumerate() {
        record.line("release: a runner of v2 starts, then one of v1 leaves");
        runners.push(Runner::start(options(RUNNERS + number as u8, "v2"), &log, record));
        sleep_ms(2_000);
        old.leave();
        // It serves for drain_timeout_ms (2 s) and a little longer.
        sleep_ms(3_500);
        old.kill();
    }
    sleep_ms(PAUSE_MS);
    let callers: Vec<_> = fleet.entries.iter().map(|entry| entry.callers()).collect();
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| story::begin(callers[0], format!("s{number}"), 5_000, record))
        .collect();
    sleep_ms(700);
    let mut returned = Vec::new();
    if std::env::var("TAKEN_BACK").map_or(true, |value| value != "0") {
        record.line("the releases are taken back: a first runner of v1 starts again");
        returned.push(Runner::start(options(2 * RUNNERS, "v1"), &log, record));
    }
    sleep_ms(800);
    if trouble() {
        fleet.entries[0].kill();
    }
    let begun = story::join(begun);
    sleep_ms(300);
    // Consumers take the streams that broke off up at the other machines.
    let again =
        begun.iter().enumerate().filter(|(_, answer)| !answer.whole).map(|(number, answer)| {
            story::take_up(
                callers[1 + number % (callers.len() - 1)],
                format!("s{number}"),
                story::last_event(&answer.body),
                3_000,
                record,
            )
        });
    let again = story::join(again.collect());
    drop(returned);
    runners[0].record_log();
    let mixed = begun
        .iter()
        .filter(|answer| !answer.whole)
        .zip(&again)
        .filter(|(before, after)| versions(&format!("{}{}", before.body, after.body)).len() > 1)
        .count();
    let began = begun.iter().filter(|answer| !answer.body.is_empty()).count();
    let went_on = again.iter().filter(|answer| answer.whole && answer.status == 200).count();
    record.line(format!(
        "{began} of {STREAMS} streams began, {} broke off, {went_on} of these went on; {mixed} hold events of two software \
         versions over a consumer's tries",
        again.len()
    ));
    fleet.require(began * 2 > STREAMS, "most streams began");
    mixed <= MOST_MIXED
}
