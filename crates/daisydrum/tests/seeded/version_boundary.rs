//! Streams that callers take up while a service has two software versions, at instances that have lost what they knew
//! or that stood still while the second version came.

use std::{net::SocketAddr, time::Duration};

use platform_standin::{
    client,
    runner::{Options, Runner},
};
use rustix::process::Signal;
use tokio::{net::TcpListener, time};
use yare::parameterized;

use crate::fleet::{self, Daemon, Fleet, until};

pub const STREAMS: usize = 24;
/// Events of a stream; it takes 20 ms for each.
pub const EVENTS: u64 = 40;
/// Of the streams whose version has targets, this many in ten go on.
pub const LEAST_IN_TEN: usize = 9;

/// Starts a fleet with this many entry instances.
pub async fn start(name: &str, entries: usize) -> Fleet {
    let mut fleet = fleet::start(name);
    for _ in 1..entries {
        fleet.add_entry();
    }
    fleet.declare(3).await;
    fleet
}

pub async fn start_engine(fleet: &Fleet, name: &str, software: &str) -> Runner {
    start_engine_of(fleet, "engines", name, software).await
}

/// Starts an engine of a service.
pub async fn start_engine_of(fleet: &Fleet, service: &str, name: &str, software: &str) -> Runner {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let announced_address = listener.local_addr().unwrap();
    Runner::start_with(Options {
        name: String::from(name),
        service: String::from(service),
        // Engines with a stage are ordered to change it.
        stage: None,
        software: String::from(software),
        data_centre: String::from("suva"),
        events: EVENTS,
        control: fleet.control_addresses(),
        listener,
        announced_address,
    })
}

pub async fn start_engines(fleet: &Fleet, count: usize, software: &str) -> Vec<Runner> {
    let mut engines = Vec::new();
    for number in 0..count {
        engines.push(start_engine(fleet, &format!("{software}-{number}"), software).await);
    }
    engines
}

pub fn parts(number: usize) -> [u64; 2] {
    [0x1000 + number as u64, 0x2000 + number as u64]
}

pub fn id(number: usize) -> String {
    format!("s{number}")
}

pub fn id_again(number: usize) -> String {
    format!("s{number}-again")
}

/// Software versions of the engines that ran one of these requests.
pub fn software<'a>(engines: impl IntoIterator<Item = &'a Runner>, ids: &[String]) -> Vec<&'a str> {
    let ran = |engine: &&Runner| engine.runs().iter().any(|run| ids.contains(&run.id));
    let mut versions: Vec<&str> = engines.into_iter().filter(ran).map(Runner::software).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Begins streams at these instances in turn; returns the last event that each caller received.
pub async fn begin(callers: &[SocketAddr]) -> Vec<(client::Begun, u64)> {
    let begun = (0..STREAMS).map(|number| async move {
        let to = callers[number % callers.len()];
        let begun = client::begin_stream(to, "/summary/1", &id(number), &parts(number), 3).await;
        let last = client::event_ids(&begun.response.body).last().copied().unwrap_or_default();
        (begun, last)
    });
    futures::future::join_all(begun).await
}

/// Takes a stream up until it goes on, at most for `limit`; whether it then came whole.
pub async fn take_up(to: SocketAddr, number: usize, last: u64, limit: Duration) -> bool {
    let end = time::Instant::now() + limit;
    let mut attempt = 0;
    while time::Instant::now() < end {
        let again = if attempt == 0 { id_again(number) } else { format!("s{number}-{attempt}") };
        let from = (id(number), last);
        let response =
            client::resume_stream(to, "/summary/1", &again, &parts(number), (&from.0, from.1))
                .await;
        if response.status == Some(200) {
            return response.whole
                && client::event_ids(&response.body) == (last + 1..=EVENTS).collect::<Vec<_>>();
        }
        attempt += 1;
        time::sleep(Duration::from_millis(400)).await;
    }
    false
}

/// All requests that took a stream up.
pub fn ids(number: usize) -> Vec<String> {
    let retries = (1..10).map(|attempt| format!("s{number}-{attempt}"));
    [id(number), id_again(number)].into_iter().chain(retries).collect()
}

/// Which instances are killed while the streams run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    Entries,
    EntriesAndControl,
}

/// Whether the engines of the earlier version stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Earlier {
    Stay,
    Leave,
}

#[parameterized(
    one_instance = { 1, Killed::Entries, Earlier::Stay },
    seven_instances = { 7, Killed::Entries, Earlier::Stay },
    the_earlier_version_has_just_left = { 7, Killed::Entries, Earlier::Leave },
    with_the_control_instances = { 7, Killed::EntriesAndControl, Earlier::Stay },
    one_with_the_control_instances = { 1, Killed::EntriesAndControl, Earlier::Stay },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn streams_go_on_at_their_version_after_all_instances_were_killed(
    entries: usize,
    killed: Killed,
    earlier: Earlier,
) {
    let mut fleet = start(&format!("seeded-killed-{entries}"), entries).await;
    let mut engines = start_engines(&fleet, 3, "v1").await;
    engines.extend(start_engines(&fleet, 3, "v2").await);
    fleet.until_ready().await;
    fleet::until_known(&fleet, &engines).await;
    // Until then an instance may take itself for the only one.
    time::sleep(Duration::from_millis(2_500)).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let begun = begin(&callers).await;
    let received: Vec<u64> = begun.iter().map(|(_, last)| *last).collect();
    let before: Vec<Option<&str>> =
        (0..STREAMS).map(|number| software(&engines, &[id(number)]).first().copied()).collect();
    let first = [Some("v1"), Some("v2")];
    assert!(first.iter().all(|version| before.contains(version)), "{before:?}");
    fleet.entries.iter_mut().for_each(Daemon::kill);
    drop(begun);
    if killed == Killed::EntriesAndControl {
        fleet.control.iter_mut().for_each(Daemon::kill);
        fleet.control.iter_mut().for_each(Daemon::start);
    }
    if earlier == Earlier::Leave {
        engines[..3].iter().for_each(Runner::crash);
    }
    fleet.entries.iter_mut().for_each(Daemon::start);
    fleet.until_ready().await;
    let resumed = received.iter().enumerate().map(|(number, last)| {
        let to = callers[(number + 1) % callers.len()];
        take_up(to, number, *last, Duration::from_secs(2))
    });
    let resumed = futures::future::join_all(resumed).await;
    let versions: Vec<Vec<&str>> =
        (0..STREAMS).map(|number| software(&engines, &ids(number))).collect();
    assert!(versions.iter().all(|versions| versions.len() <= 1), "mixed: {versions:?}");
    let with_targets = (0..STREAMS)
        .filter(|number| received[*number] > 0)
        .filter(|number| earlier == Earlier::Stay || before[*number] == Some("v2"));
    let with_targets: Vec<usize> = with_targets.collect();
    let went_on = with_targets.iter().filter(|number| resumed[**number]).count();
    assert!(
        10 * went_on >= LEAST_IN_TEN * with_targets.len(),
        "{went_on} of {} streams went on",
        with_targets.len()
    );
}

#[parameterized(
    for_one_second = { 1_000 },
    for_two_seconds = { 2_000 },
    for_four_seconds = { 4_000 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_instance_that_stood_still_takes_no_stream_up_at_another_version(still_ms: u64) {
    let fleet = start("seeded-still", 7).await;
    let mut engines = start_engines(&fleet, 3, "v1").await;
    fleet.until_ready().await;
    fleet::until_known(&fleet, &engines).await;
    time::sleep(Duration::from_millis(2_500)).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    fleet.entries[0].signal(Signal::STOP);
    let until = time::Instant::now() + Duration::from_millis(still_ms);
    engines.extend(start_engines(&fleet, 3, "v2").await);
    let names: Vec<String> =
        engines[3..].iter().map(|engine| format!("target={}", engine.name)).collect();
    self::until("the others know the second version", async || {
        let knows = |entry: &Daemon| names.iter().all(|name| entry.log().contains(name));
        fleet.entries[1..].iter().all(knows)
    })
    .await;
    let begun = begin(&callers[1..]).await;
    let received: Vec<u64> = begun.iter().map(|(_, last)| *last).collect();
    engines[3..].iter().for_each(Runner::crash);
    drop(begun);
    // The requests wait in the queue of the instance, which reads them before it learns what came meanwhile.
    let to = callers[0];
    let resumed: Vec<_> = received
        .iter()
        .enumerate()
        .map(|(number, last)| tokio::spawn(take_up(to, number, *last, Duration::from_secs(2))))
        .collect();
    time::sleep_until(until).await;
    fleet.entries[0].signal(Signal::CONT);
    futures::future::join_all(resumed).await;
    let versions: Vec<Vec<&str>> =
        (0..STREAMS).map(|number| software(&engines, &ids(number))).collect();
    let began_on_second = versions.iter().filter(|versions| versions.contains(&"v2")).count();
    assert!(began_on_second > 0, "no stream began at the second version");
    let mixed = versions.iter().filter(|versions| versions.len() > 1).count();
    assert_eq!(mixed, 0, "{versions:?}");
}
