//! The runners of a service are replaced by ones with other software, and a config shortens the timeouts meanwhile.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Fleet, RunnerOptions},
    http,
    stream::{self, STREAMS},
};

/// A stream takes 100 ms for each event.
const EVENTS: u64 = 95;
/// Time budget of a consumer for all of its tries.
const BUDGET: Duration = Duration::from_secs(12);

fn options(number: u8, version: &'static str) -> RunnerOptions {
    let host = if version == "v1" { 10 + number } else { 20 + number };
    stream::options(format!("i-{version}-{number}"), host, version, EVENTS)
}

pub fn run(record: &Path, trouble: bool) -> u8 {
    let mut fleet = Fleet::new(record);
    fleet.start(2);
    if !fleet.put_config(&stream::config(3, 12_000)) {
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
    let consumers = stream::start(fronts, BUDGET);
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
        if !fleet.put_config(&stream::config(4, 3_000)) {
            fleet.end();
            return 2;
        }
        until(7_600);
        for (number, process) in old.iter_mut().enumerate() {
            fleet.note(&format!("runner i-v1-{} ends", number + 1));
            process.kill();
        }
    }
    let (mixed, whole) = stream::judge(&mut fleet, consumers, EVENTS);
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
