//! Streams that last longer than a record of where they began is kept are taken up at another front.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Fleet, signal},
    stream::{self, STREAMS},
};

/// A stream takes 100 ms for each event.
const EVENTS: u64 = 480;
/// Time budget of a consumer for all of its tries.
const BUDGET: Duration = Duration::from_secs(60);

/// Has a front stop, and starts it again when it has ended; `false` if it isn't ready then.
fn restart(fleet: &mut Fleet, index: u8) -> bool {
    let front = usize::from(index);
    fleet.note(&format!("front {} gets SIGTERM", index + 1));
    signal(fleet.fronts[front].id().unwrap_or_default(), "TERM");
    let end = Instant::now() + Duration::from_secs(12);
    while fleet.fronts[front].is_running() && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    fleet.note(&format!("front {} has ended", index + 1));
    fleet.fronts[front] = fleet.front(index);
    fleet::until(Duration::from_secs(10), || fleet.is_ready(index))
}

pub fn run(record: &Path, trouble: bool) -> u8 {
    let mut fleet = Fleet::new(record);
    fleet.start(2);
    if !fleet.put_config(&stream::config(3, 60_000)) {
        fleet.end();
        return 2;
    }
    let mut runners = Vec::new();
    let mut known = true;
    // The second version comes clearly later.
    for (version, hosts) in [("v1", [11, 12]), ("v2", [21, 22])] {
        for host in hosts {
            let id = format!("i-{version}-{host}");
            runners.push(fleet.runner(&stream::options(id.clone(), host, version, EVENTS)));
            known = known && fleet.until_known("front-suva-1", &id);
            known = known && fleet.until_known("front-suva-2", &id);
        }
        thread::sleep(Duration::from_secs(4));
    }
    let ready = fleet::until(Duration::from_secs(20), || fleet.is_ready(0) && fleet.is_ready(1));
    if !known || !ready {
        fleet.end();
        return 2;
    }
    // The core has run for longer than any request lasts when the streams are taken up.
    thread::sleep(Duration::from_secs(16));
    fleet.note("the streams begin");
    let fronts = [fleet.callers(0), fleet.callers(1)];
    let consumers = stream::start(fronts, BUDGET);
    thread::sleep(Duration::from_secs(28));
    if trouble && !restart(&mut fleet, 1) {
        fleet.end();
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    let restarted = !trouble || restart(&mut fleet, 0);
    let (mixed, whole) = stream::judge(&mut fleet, consumers, EVENTS);
    fleet.end();
    drop(runners);
    if !restarted {
        2
    } else if trouble {
        u8::from(mixed > 2)
    } else if whole == STREAMS && mixed == 0 {
        0
    } else {
        2
    }
}
