//! A config lengthens the timeouts some seconds after the runners of a service were replaced.

use std::{path::Path, thread, time::Duration};

use crate::{
    fleet::{self, Fleet, RunnerOptions},
    http,
    stream::{self, STREAMS},
};

/// A stream takes 100 ms for each event.
const EVENTS: u64 = 80;
/// Time budget of a consumer for all of its tries.
const BUDGET: Duration = Duration::from_secs(12);

fn options(number: u8, version: &'static str) -> RunnerOptions {
    let host = if version == "v1" { 10 + number } else { 20 + number };
    stream::options(format!("i-{version}-{number}"), host, version, EVENTS)
}

pub fn run(record: &Path, trouble: bool) -> u8 {
    let mut fleet = Fleet::new(record);
    fleet.start(2);
    if !fleet.put_config(&stream::config(3, 3_000)) {
        fleet.end();
        return 2;
    }
    let old: Vec<_> = (1..=2).map(|number| fleet.runner(&options(number, "v1"))).collect();
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
    thread::sleep(Duration::from_secs(4));
    let new: Vec<_> = (1..=2).map(|number| fleet.runner(&options(number, "v2"))).collect();
    let mut replaced = known(&fleet, "v2");
    for number in 1..=2 {
        thread::sleep(Duration::from_secs(1));
        let address = fleet.address(options(number, "v1").host, 8080);
        let answer = http::call(address, "POST", "/script/leave", "", Duration::from_secs(4));
        replaced = replaced && answer.is_ok_and(|answer| answer.status() == 200);
        fleet.note(&format!("runner i-v1-{number} leaves, acknowledged: {replaced}"));
    }
    thread::sleep(Duration::from_secs(4));
    drop(old);
    thread::sleep(Duration::from_secs(6));
    if !replaced {
        fleet.end();
        return 2;
    }
    fleet.note("the streams begin");
    let fronts = [fleet.callers(0), fleet.callers(1)];
    let consumers = stream::start(fronts, BUDGET);
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        fleet.note("the config lengthens the timeout from 3 s to 30 s");
        if !fleet.put_config(&stream::config(4, 30_000)) {
            fleet.end();
            return 2;
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    let others = stream::start_from(STREAMS, [fronts[1], fronts[0]], Duration::from_secs(20));
    let went_on = consumers
        .into_iter()
        .map(|consumer| consumer.join().unwrap_or_default())
        .filter(|tries| tries.iter().skip(1).any(|(_, answer)| !answer.event_ids().is_empty()))
        .count();
    let began = others
        .into_iter()
        .map(|other| other.join().unwrap_or_default())
        .filter(|tries| tries.iter().take(1).any(|(_, answer)| !answer.event_ids().is_empty()))
        .count();
    let text = format!(
        "{went_on} of {STREAMS} streams that were taken up went on, {began} of {STREAMS} new ones began"
    );
    fleet.note(&text);
    println!("{text}");
    fleet.end();
    drop(new);
    if began == 0 { 2 } else { u8::from(2 * went_on < began) }
}
