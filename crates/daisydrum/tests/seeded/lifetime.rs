//! Streams that callers take up long after they began, or under another configuration than the one in force when they
//! began.

use std::{net::SocketAddr, time::Duration};

use placement::continuity::{RETENTION, lifetime};
use platform_standin::{client, runner::Runner};
use rustix::process::Signal;
use tokio::time;
use yare::parameterized;

use crate::{
    fleet::{self, Daemon, Fleet, until},
    version_boundary::{
        LEAST_IN_TEN, STREAMS, id, ids, parts, software, start, start_engine_of, start_engines,
        take_up,
    },
};

/// Time after which a version is clearly older than the next one.
const OLDER: Duration = Duration::from_millis(2_500);
/// Time after which a service with one version counts as settled at all instances.
const SETTLED: Duration = RETENTION.saturating_add(OLDER);
/// Time that a record takes at control instances that are slow.
const SLOW_RECORD: Duration = Duration::from_millis(800);
/// Time in which a change of the configuration is in force everywhere.
const APPLY: Duration = Duration::from_secs(2);

/// Sets the timeout of all routes.
async fn declare(fleet: &Fleet, version: u64, timeout_ms: u64) {
    let mut config = client::config(version);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = timeout_ms.into();
    }
    fleet.declare_config(&config).await;
}

/// Starts a fleet of two entry instances whose routes have this timeout, and two engines of the first version.
async fn start_with_one_version(name: &str, timeout_ms: u64) -> (Fleet, Vec<Runner>) {
    let fleet = start(name, 2).await;
    declare(&fleet, 4, timeout_ms).await;
    let earlier = start_engines(&fleet, 2, "v1").await;
    fleet.until_ready().await;
    fleet::until_known(&fleet, &earlier).await;
    (fleet, earlier)
}

/// Starts two engines of the second version.
async fn add_version(fleet: &Fleet) -> Vec<Runner> {
    let engines = start_engines(fleet, 2, "v2").await;
    fleet::until_known(fleet, &engines).await;
    engines
}

async fn leave(fleet: &Fleet, engines: &[Runner]) {
    for engine in engines {
        let control = fleet.control_addresses()[0];
        until("the departure is acknowledged", async || engine.leave(control).await).await;
    }
}

/// Begins streams of callers that wait for `deadline`; returns the last event that each received.
async fn begin(to: SocketAddr, deadline: Duration) -> Vec<u64> {
    let deadline_ms = deadline.as_millis() as u64;
    let begun = (0..STREAMS).map(|number| async move {
        let (id, parts) = (id(number), parts(number));
        let path = "/summary/1";
        let begun = client::begin_stream_within(deadline_ms, to, path, &id, &parts, 3).await;
        client::event_ids(&begun.response.body).last().copied().unwrap_or_default()
    });
    let received = futures::future::join_all(begun).await;
    assert!(received.iter().filter(|last| **last > 0).count() > STREAMS / 2, "{received:?}");
    received
}

/// What became of streams that were taken up.
#[derive(Debug, Default)]
struct Outcome {
    went_on: usize,
    /// Those that ran at several versions.
    mixed: usize,
}

/// Takes up the streams that have begun.
async fn take_all_up(to: SocketAddr, received: &[u64], engines: &[&[Runner]]) -> Outcome {
    let begun = received.iter().enumerate().filter(|(_, last)| **last > 0);
    let limit = Duration::from_secs(2);
    let resumed = begun.map(|(number, last)| take_up(to, number, *last, limit));
    let resumed = futures::future::join_all(resumed).await;
    let engines: Vec<&Runner> = engines.iter().copied().flatten().collect();
    let is_mixed = |number: &usize| software(engines.iter().copied(), &ids(*number)).len() > 1;
    Outcome {
        went_on: resumed.into_iter().filter(|went_on| *went_on).count(),
        mixed: (0..STREAMS).filter(is_mixed).count(),
    }
}

fn assert_most_go_on(outcome: &Outcome, received: &[u64]) {
    let began = received.iter().filter(|last| **last > 0).count();
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(10 * outcome.went_on >= LEAST_IN_TEN * began, "{outcome:?} of {began}");
}

// ORDER: how long a version that has gone counts followed the timeouts of the configuration in force, so that streams of an
// earlier one, or of callers with more time than any timeout, were taken for those of the version that replaced it.
#[parameterized(
    the_timeouts_are_shortened = { 12_000, 3_000 },
    callers_have_more_time_than_the_timeouts = { 5_000, 5_000 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn streams_of_a_version_that_was_replaced_do_not_go_on_at_the_next_one(
    timeout_ms: u64,
    later_ms: u64,
) {
    let (mut fleet, earlier) = start_with_one_version("seeded-replaced", timeout_ms).await;
    time::sleep(SETTLED).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let received = begin(callers[0], Duration::from_millis(12_000)).await;
    let engines = add_version(&fleet).await;
    leave(&fleet, &earlier).await;
    declare(&fleet, 5, later_ms).await;
    // The first version has gone for as long as the timeout and some seconds.
    time::sleep(Duration::from_millis(later_ms) + 2 * OLDER).await;
    fleet.entries[0].kill();
    let outcome = take_all_up(callers[1], &received, &[&earlier, &engines]).await;
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
}

// LOST: a configuration that lengthened the timeouts had a version count again that instances had forgotten, so that streams
// without a record were taken for its own and refused.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_when_the_timeouts_are_lengthened_after_a_release() {
    let (mut fleet, earlier) = start_with_one_version("seeded-lengthened", 3_000).await;
    time::sleep(OLDER).await;
    let engines = add_version(&fleet).await;
    time::sleep(OLDER).await;
    leave(&fleet, &earlier).await;
    drop(earlier);
    time::sleep(Duration::from_secs(9)).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let received = begin(callers[0], Duration::from_millis(12_000)).await;
    declare(&fleet, 5, 30_000).await;
    time::sleep(APPLY).await;
    fleet.entries[0].kill();
    let outcome = take_all_up(callers[1], &received, &[&engines]).await;
    assert_most_go_on(&outcome, &received);
}

// While the earlier version counts, which has no targets any more, streams begin only with a record. One that took longer than
// some hundred milliseconds had all new streams refused.
#[tokio::test(flavor = "multi_thread")]
async fn streams_begin_after_a_release_while_records_are_slow() {
    let (fleet, earlier) = start_with_one_version("seeded-slow-records", 6_000).await;
    time::sleep(OLDER).await;
    let _engines = add_version(&fleet).await;
    time::sleep(OLDER).await;
    leave(&fleet, &earlier).await;
    drop(earlier);
    time::sleep(2 * OLDER).await;
    let slow = &fleet.control[1..];
    slow.iter().for_each(|control| control.signal(Signal::STOP));
    let resume = async {
        time::sleep(SLOW_RECORD).await;
        slow.iter().for_each(|control| control.signal(Signal::CONT));
    };
    let to = fleet.entries[0].callers();
    let (received, ()) = tokio::join!(begin(to, Duration::from_secs(6)), resume);
    let began = received.iter().filter(|last| **last > 0).count();
    assert!(10 * began >= LEAST_IN_TEN * STREAMS, "{began} of {STREAMS} began");
}

// A stream that has a record goes on at the service that began it, also after a configuration has moved its route to another.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_their_service_after_their_route_has_moved() {
    let mut fleet = start("seeded-moved", 2).await;
    let mut config = client::config(4);
    let mut other = config["services"][0].clone();
    other["name"] = "others".into();
    config["services"].as_array_mut().unwrap().push(other);
    fleet.declare_config(&config).await;
    let engines = start_engines(&fleet, 2, "v1").await;
    let others = vec![start_engine_of(&fleet, "others", "others-0", "w1").await];
    fleet.until_ready().await;
    fleet::until_known(&fleet, &engines).await;
    fleet::until_known(&fleet, &others).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let received = begin(callers[0], Duration::from_secs(60)).await;
    config["version"] = 5.into();
    config["routes"][0]["service"] = "others".into();
    fleet.declare_config(&config).await;
    time::sleep(APPLY).await;
    fleet.entries[0].kill();
    let outcome = take_all_up(callers[1], &received, &[&engines, &others]).await;
    assert_most_go_on(&outcome, &received);
    assert!(others[0].runs().is_empty());
}

/// Which instances are killed and started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restarted {
    Entries,
    All,
}

async fn restart(fleet: &mut Fleet, restarted: Restarted) {
    fleet.entries.iter_mut().for_each(Daemon::kill);
    if restarted == Restarted::All {
        fleet.control.iter_mut().for_each(Daemon::kill);
        fleet.control.iter_mut().for_each(Daemon::start);
    }
    fleet.entries.iter_mut().for_each(Daemon::start);
    fleet.until_ready().await;
}

// ORDER, LOST: control instances kept the record of a stream for 30 s whatever time its caller had, so that streams of a
// minute were taken for those of the oldest version, or were refused.
#[parameterized(
    entry_instances_restart = { Restarted::Entries },
    all_instances_restart = { Restarted::All },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn long_lived_streams_go_on_at_their_version(restarted: Restarted) {
    let (mut fleet, earlier) = start_with_one_version("seeded-long-lived", 60_000).await;
    time::sleep(OLDER).await;
    let engines = add_version(&fleet).await;
    time::sleep(OLDER).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let received = begin(callers[0], Duration::from_secs(60)).await;
    time::sleep(Duration::from_secs(34)).await;
    restart(&mut fleet, restarted).await;
    let outcome = take_all_up(callers[1], &received, &[&earlier, &engines]).await;
    assert_most_go_on(&outcome, &received);
}

// ORDER: while a service had one version no stream was recorded, so that long-lived ones were taken for those of a version
// that replaced it long before they ended.
#[parameterized(
    entry_instances_restart = { Restarted::Entries },
    all_instances_restart = { Restarted::All },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn long_lived_streams_of_the_only_version_do_not_go_on_at_the_next_one(restarted: Restarted) {
    let (mut fleet, earlier) = start_with_one_version("seeded-outlived", 6_000).await;
    time::sleep(SETTLED).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let received = begin(callers[0], Duration::from_secs(90)).await;
    let engines = add_version(&fleet).await;
    time::sleep(OLDER).await;
    leave(&fleet, &earlier).await;
    time::sleep(SETTLED + lifetime::MARGIN).await;
    restart(&mut fleet, restarted).await;
    let outcome = take_all_up(callers[1], &received, &[&earlier, &engines]).await;
    assert_eq!((outcome.mixed, outcome.went_on), (0, 0));
}
