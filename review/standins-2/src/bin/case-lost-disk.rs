//! Of five control machines one is down, and one keeps losing its disk while it starts; the other three run all the
//! while. With `CONTROLS=3`: of three, one keeps losing its disk.

use std::time::Duration;

use review_standins_2::{
    Outcome, Random,
    fleet::{Fleet, case_folder, sleep_ms},
    has_trouble, operator,
    record::Record,
};

/// How often the machine loses its disk.
const LOSSES: u32 = 40;
/// How long it is up in between, in milliseconds.
const UP_MS: (u64, u64) = (400, 800);
/// `recovery_s` of the sheet.
const RECOVERY_MS: u64 = 15_000;
/// How long the operator repeats its calls after that.
const OPERATOR_LIMIT: Duration = Duration::from_secs(15);

fn main() {
    std::process::exit(run().unwrap_or(Outcome::NotRun).code());
}

fn number(name: &str, default: u32) -> u32 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn run() -> Option<Outcome> {
    let record = Record::create(&case_folder().join("record.txt")).ok()?;
    let (mut random, seed) = Random::new();
    let controls = usize::try_from(number("CONTROLS", 5)).ok()?;
    let tolerated = (controls - 1) / 2;
    record.line(format!(
        "trouble {}, seed {seed}, {controls} control machines, the loss of {tolerated} is to be borne",
        has_trouble()
    ));
    let mut fleet = Fleet::new(6, u8::try_from(controls).ok()?, 0, tolerated).ok()?;
    fleet.start_all().ok()?;
    let routes = [operator::unsafe_route(800)];
    let addresses = fleet.controls();
    for version in 1..=3 {
        let config = operator::config(version, &routes);
        let limit = Duration::from_secs(10);
        if operator::put(&addresses, 0, &config, limit, &record) != 200 {
            record.line("the first configs are not acknowledged");
            return Some(Outcome::NotRun);
        }
    }
    sleep_ms(6_000);
    if has_trouble() {
        trouble(&mut fleet, tolerated, &mut random, &record)?;
    } else {
        sleep_ms(20_000);
    }
    sleep_ms(RECOVERY_MS);
    let read = operator::get(&addresses, 0, OPERATOR_LIMIT, &record);
    let is_kept = read.is_some_and(|text| text.contains("\"version\":3,"));
    record.line(format!("version 3, which was acknowledged, is read back: {is_kept}"));
    let config = operator::config(4, &routes);
    let is_accepted = operator::put(&addresses, 0, &config, OPERATOR_LIMIT, &record) == 200;
    record.line(format!("version 4 is acknowledged: {is_accepted}"));
    for index in 0..controls {
        if fleet.has_ended(index) {
            record.line(format!("core-{} has ended by itself", index + 1));
        }
    }
    Some(if is_kept && is_accepted { Outcome::Held } else { Outcome::Broken })
}

/// The last control machine loses its disk again and again; as many others as may be lost beside it lose theirs once and
/// are down meanwhile. In the end all are up.
fn trouble(
    fleet: &mut Fleet,
    tolerated: usize,
    random: &mut Random,
    record: &Record,
) -> Option<()> {
    let victim = fleet.daemons.len() - 1;
    let down: Vec<usize> = (victim + 1 - tolerated..victim).collect();
    for index in &down {
        fleet.kill(*index);
        fleet.lose_disk(*index).ok()?;
        record.line(format!("core-{} loses its disk and is down", index + 1));
    }
    for loss in 1..=number("LOSSES", LOSSES) {
        fleet.kill(victim);
        fleet.lose_disk(victim).ok()?;
        fleet.start(victim, false).ok()?;
        let up = random.between(UP_MS.0, UP_MS.1);
        record.line(format!(
            "loss {loss}: core-{} starts with an empty disk, for {up} ms",
            victim + 1
        ));
        sleep_ms(up);
    }
    fleet.kill(victim);
    fleet.lose_disk(victim).ok()?;
    for index in down.into_iter().chain([victim]) {
        fleet.start(index, false).ok()?;
        record.line(format!("core-{} starts with an empty disk, and stays up", index + 1));
    }
    Some(())
}
