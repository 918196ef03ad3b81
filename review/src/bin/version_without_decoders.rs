//! Case: streams of a version whose engines that generate have ended are refused when consumers take them up.

use std::path::Path;

use review::{
    case,
    fleet::{Fleet, Net},
    record::Record,
    runner::{Options, Runner, rotated},
    sleep_ms,
    story::{self, EVENT_MS, EVENTS, versions},
    trouble,
};

const STREAMS: usize = 90;
/// Engines of each version: the first two generate, the others compute prompts.
const ENGINES: u8 = 6;
/// Time for which the engines that end are away.
const AWAY_MS: u64 = 3_000;

fn main() {
    case::main(run);
}

fn run(temporary: &Path, record: &Record) -> bool {
    let net = Net::find();
    let fleet = Fleet::start(&net, temporary, record, 3);
    fleet.declare(&story::engine_config(5_000));
    let log = temporary.join("runners.log");
    let control = fleet.control_addresses();
    let options = |number: u8, boot: u8| Options {
        id: format!("i-{number}-{boot}"),
        service: String::from("stories"),
        version: format!("v{}", 1 + number / ENGINES),
        listen: net.server(41 + number),
        announced: net.server(41 + number),
        control: rotated(control.clone(), number),
        events: EVENTS,
        work_ms: EVENT_MS,
        first_ping_ms: 0,
        poison: String::new(),
        stage: String::from(if number % ENGINES < 2 { "decode" } else { "prefill" }),
    };
    let mut engines: Vec<Runner> =
        (0..2 * ENGINES).map(|number| Runner::start(options(number, 0), &log, record)).collect();
    fleet.until_ready();
    fleet.end_bootstrap();
    sleep_ms(6_000);
    let callers: Vec<_> = fleet.entries.iter().map(|entry| entry.callers()).collect();
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| story::begin(callers[number % 3], format!("s{number}"), 5_000, record))
        .collect();
    sleep_ms(1_000);
    if trouble() {
        engines[..2].iter_mut().for_each(Runner::kill);
    }
    // New streams begin meanwhile.
    sleep_ms(200);
    let new: Vec<_> = (0..STREAMS)
        .map(|number| story::begin(callers[number % 3], format!("n{number}"), 5_000, record))
        .collect();
    sleep_ms(100);
    // Consumers whose streams broke off take them up at another machine.
    let mut again = Vec::new();
    let mut finished = Vec::new();
    for (number, thread) in begun.into_iter().enumerate() {
        if trouble() && !thread.is_finished() {
            finished.push((number, thread));
            continue;
        }
        let answer = thread.join().expect("a consumer ends");
        if !answer.whole && !answer.body.is_empty() {
            let last = story::last_event(&answer.body);
            let to = callers[(number + 1) % 3];
            let version = versions(&answer.body);
            let thread = story::take_up(to, format!("s{number}"), last, 3_500, record);
            again.push((version, thread));
        }
    }
    sleep_ms(AWAY_MS - 300);
    if trouble() {
        for number in 0..2 {
            engines[usize::from(number)] = Runner::start(options(number, 1), &log, record);
        }
    }
    let served = |answer: &review::http::Response| answer.status == 200 && answer.whole;
    let taken_up = again.len();
    let went_on = again
        .into_iter()
        .map(|(_, thread)| thread.join().expect("a consumer ends"))
        .filter(served)
        .count();
    let new = story::join(new);
    let new_served = new.iter().filter(|answer| served(answer)).count();
    for (_, thread) in finished {
        let _answer = thread.join();
    }
    engines[2].record_log();
    record.line(format!(
        "{taken_up} streams were taken up, {went_on} of them went on; {new_served} of {STREAMS} new streams were served"
    ));
    if trouble() {
        fleet.require(taken_up >= 12, "12 streams or more were taken up");
    }
    let share = went_on as f64 / taken_up.max(1) as f64;
    let new_share = new_served as f64 / STREAMS as f64;
    taken_up < 12 || share >= new_share / 2.0
}
