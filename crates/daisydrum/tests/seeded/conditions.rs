//! What targets say of themselves in their responses: that they leave, want a pause or name a limit.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform_standin::{
    client,
    runner::{Behaviour, Condition, Runner},
};
use tokio::time;

use crate::fleet::{self, Fleet, until};

/// Time after which a target that leaves gets no new request.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after which a pause or a limit that a target named is observed.
const PAUSE_NOTICE: Duration = Duration::from_millis(500);
const LIMIT_NOTICE: Duration = Duration::from_millis(3_000);
const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);

/// Starts a fleet with two plain targets, and waits until the entry instances know them.
async fn start(name: &str, entries: usize) -> (Fleet, Runner, Runner) {
    let mut fleet = fleet::start(name);
    for _ in 1..entries {
        fleet.add_entry();
    }
    fleet.declare(3).await;
    let control = fleet.control_addresses();
    let first = Runner::start("portal-0", "portal", None, 0, control.clone()).await;
    let second = Runner::start("portal-1", "portal", None, 0, control).await;
    fleet.until_ready().await;
    until("the targets are known", async || {
        fleet.entries.iter().all(|entry| {
            let log = entry.log();
            log.contains("target=portal-0") && log.contains("target=portal-1")
        })
    })
    .await;
    (fleet, first, second)
}

/// Sends lookups at this interval until `end`.
async fn send_lookups(callers: SocketAddr, interval: Duration, end: Instant) {
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{}-{number}", callers.ip());
        tokio::spawn(async move { client::post_plain(callers, "/lookup/1", &id).await });
        time::sleep(interval).await;
    }
}

/// Arrivals from `start` on, before `end`.
fn arrivals_between(runner: &Runner, start: Instant, end: Instant) -> usize {
    runner.arrivals().iter().filter(|at| **at >= start && **at < end).count()
}

#[tokio::test]
async fn a_target_that_says_it_leaves_gets_no_new_request_though_no_control_instance_knows() {
    let (mut fleet, leaving, other) = start("seeded-says-leaving", 1).await;
    let callers = fleet.entries[0].callers();
    for control in &mut fleet.control {
        control.kill();
    }
    leaving.set_condition(Condition { leaving: true, ..Condition::default() });
    until("the target has said that it leaves", async || {
        client::post_plain(callers, "/lookup/1", "seen").await;
        !leaving.arrivals().is_empty()
    })
    .await;
    time::sleep(DRAIN_TIME).await;
    let (before, others) = (leaving.arrivals().len(), other.arrivals().len());
    send_lookups(callers, Duration::from_millis(20), Instant::now() + Duration::from_secs(1)).await;
    until("requests are served", async || other.arrivals().len() > others + 10).await;
    assert_eq!(leaving.arrivals().len(), before);
}

#[tokio::test]
async fn a_target_that_rejects_with_a_pause_gets_two_requests_at_most_until_its_end() {
    let (fleet, paused, other) = start("seeded-pause", 1).await;
    let callers = fleet.entries[0].callers();
    let pause = Duration::from_secs(3);
    paused.set_behaviour(Behaviour::Reject);
    let retry_after_s = Some(pause.as_secs_f64());
    paused.set_condition(Condition { retry_after_s, ..Condition::default() });
    let sender = send_lookups(
        callers,
        Duration::from_millis(10),
        Instant::now() + pause + Duration::from_secs(1),
    );
    let ended = async {
        until("the target has rejected a request", async || !paused.arrivals().is_empty()).await;
        time::sleep(pause + Duration::from_millis(200)).await;
        paused.set_behaviour(Behaviour::Serve);
    };
    tokio::join!(sender, ended);
    let first = paused.arrivals()[0];
    let count = arrivals_between(&paused, first + PAUSE_NOTICE, first + pause);
    assert!(count <= 2, "{count} requests during the pause");
    assert!(other.arrivals().len() > 100, "{}", other.arrivals().len());
    until("the target gets requests again", async || {
        client::post_plain(callers, "/lookup/1", "again").await;
        !paused.runs().is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_limit_that_a_target_names_holds_for_all_instances_together_while_it_is_named() {
    let (fleet, limited, _other) = start("seeded-limit", 3).await;
    let limit = 4.0;
    limited.set_condition(Condition { limit: Some(limit), ..Condition::default() });
    let begin = Instant::now();
    let end = begin + LIMIT_NOTICE + 2 * LIMIT_WINDOW;
    // The third instance gets few requests.
    let intervals = [20, 25, 700].map(Duration::from_millis);
    let senders = fleet
        .entries
        .iter()
        .zip(intervals)
        .map(|(entry, interval)| tokio::spawn(send_lookups(entry.callers(), interval, end)));
    futures::future::join_all(senders).await;
    let allowed = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0;
    let arrivals = limited.arrivals();
    let named = arrivals[0] + LIMIT_NOTICE;
    let most = arrivals
        .iter()
        .filter(|at| **at >= named)
        .map(|at| arrivals_between(&limited, *at, *at + LIMIT_WINDOW))
        .max();
    assert!(
        most.is_some_and(|most| most as f64 <= allowed),
        "{most:?} requests, {allowed} allowed"
    );
    limited.set_condition(Condition::default());
    let callers = fleet.entries[0].callers();
    until("the limit is lifted", async || {
        let now = Instant::now();
        send_lookups(callers, Duration::from_millis(20), now + Duration::from_secs(1)).await;
        arrivals_between(&limited, now, now + Duration::from_secs(1)) > 10
    })
    .await;
}
