//! Requests whose prompts have a part on which each engine ends that begins to generate.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use platform_standin::{client, runner::Runner};
use tokio::time;
use yare::parameterized;

use crate::fleet::{self, Daemon, Fleet, until};

const CRASHING_PART: u64 = 0xdead;
const FIRST_PART: u64 = 0x5c1e_07a2;
/// Time after the fifth end of an engine from which the part may reach engines three times more.
const CONTACT: Duration = Duration::from_millis(3_000);
const MOST_CRASHES: usize = 5;
const MOST_ARRIVALS: usize = 3;

/// Starts a fleet with this many entry instances and engines, and waits until all of them are known.
async fn start(name: &str, entries: usize, engines: usize) -> (Fleet, Vec<Runner>) {
    let mut fleet = fleet::start(name);
    for _ in 1..entries {
        fleet.add_entry();
    }
    fleet.declare(3).await;
    let control = fleet.control_addresses();
    let mut runners = Vec::new();
    for number in 0..engines {
        let name = format!("engine-{number}");
        runners.push(Runner::start(&name, "engines", Some("decode"), 8, control.clone()).await);
    }
    fleet.until_ready().await;
    fleet::until_known(&fleet, &runners).await;
    (fleet, runners)
}

/// A request whose prompt has this middle part; the first part is common, the last one its own.
async fn post(callers: SocketAddr, number: usize, middle: u64) -> client::Response {
    let id = format!("{middle:x}-{number}");
    let parts = [FIRST_PART, middle, 0xa_0000 + number as u64];
    client::post_stream_with_parts(callers, "/summary/1", &id, &parts).await
}

/// Sound requests: when each was sent, and whether its stream was whole at the first attempt.
type Outcomes = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Sends sound requests at an interval, each to the next entry instance, with one of four middle parts.
async fn send_sound(
    callers: Vec<SocketAddr>,
    interval: Duration,
    end: Instant,
    outcomes: Outcomes,
) {
    for number in 0.. {
        let sent = Instant::now();
        if sent >= end {
            return;
        }
        let (to, outcomes) = (callers[number % callers.len()], Arc::clone(&outcomes));
        tokio::spawn(async move {
            let response = post(to, number, 0x50 + number as u64 % 4).await;
            outcomes.lock().unwrap().push((sent, response.whole && response.status == Some(200)));
        });
        time::sleep(interval).await;
    }
}

/// Sends requests with the crashing part at an interval, each to the next entry instance.
async fn send_crashing(callers: Vec<SocketAddr>, interval: Duration, end: Instant) {
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let to = callers[number % callers.len()];
        tokio::spawn(async move { post(to, number, CRASHING_PART).await });
        time::sleep(interval).await;
    }
}

fn crashes(engines: &[Runner]) -> Vec<Instant> {
    let mut crashes: Vec<Instant> = engines.iter().flat_map(Runner::crashes).collect();
    crashes.sort_unstable();
    crashes
}

/// Share of the sound requests sent between two times that were served.
fn served_share(outcomes: &Outcomes, from: Instant, until: Instant) -> f64 {
    let outcomes = outcomes.lock().unwrap();
    let sent = outcomes.iter().filter(|(sent, _)| (from..until).contains(sent));
    let served = sent.clone().filter(|(_, served)| *served).count();
    served as f64 / sent.count().max(1) as f64
}

#[parameterized(
    one_instance = { 1, 3 },
    seven_instances = { 7, 4 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_prompt_part_that_ends_engines_reaches_them_no_more_and_sound_requests_are_served(
    entries: usize,
    engines: usize,
) {
    let (fleet, engines) = start(&format!("seeded-crashing-{entries}"), entries, engines).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let outcomes = Outcomes::default();
    let begin = Instant::now();
    let end = begin + Duration::from_secs(18);
    let sound = Duration::from_millis(25);
    let sound = tokio::spawn(send_sound(callers.clone(), sound, end, Arc::clone(&outcomes)));
    time::sleep(Duration::from_secs(2)).await;
    let before = served_share(&outcomes, begin, Instant::now() - Duration::from_millis(500));
    engines.iter().for_each(|engine| engine.set_crashing_part(Some(CRASHING_PART)));
    send_crashing(callers, Duration::from_millis(120), end).await;
    sound.await.unwrap();
    time::sleep(Duration::from_secs(1)).await;
    let crashes = crashes(&engines);
    let last_counted = crashes[MOST_CRASHES.min(crashes.len()) - 1];
    let late = engines
        .iter()
        .flat_map(|engine| engine.arrivals_with_part(CRASHING_PART))
        .filter(|at| *at > last_counted + CONTACT)
        .count();
    let after = served_share(&outcomes, last_counted + 2 * CONTACT, end);
    let figures =
        format!("{} ends, {late} late arrivals, served {before} and {after}", crashes.len());
    assert!(late <= MOST_ARRIVALS, "{figures}");
    assert!(after >= before / 2.0, "{figures}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_refuses_a_quarantined_part_once_it_is_ready() {
    let (mut fleet, engines) = start("seeded-crashing-started", 2, 3).await;
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    engines.iter().for_each(|engine| engine.set_crashing_part(Some(CRASHING_PART)));
    let end = Instant::now() + Duration::from_secs(8);
    send_crashing(callers, Duration::from_millis(120), end).await;
    let quarantined =
        |fleet: &Fleet| fleet.entries.iter().any(|entry| entry.log().contains("quarantined=true"));
    assert!(quarantined(&fleet), "the part was not quarantined");
    fleet.add_entry();
    fleet.entries[0].kill();
    fleet.entries[0].start();
    fleet.until_ready().await;
    let arrived = |engines: &[Runner]| {
        engines.iter().map(|engine| engine.arrivals_with_part(CRASHING_PART).len()).sum::<usize>()
    };
    let before = arrived(&engines);
    for (number, entry) in [(0, 0), (1, 2), (2, 0), (3, 2)] {
        let refused = post(fleet.entries[entry].callers(), 1_000 + number, CRASHING_PART).await;
        assert_eq!(refused.status, Some(503));
        let pause = refused.retry_after.and_then(|pause| pause.parse::<f64>().ok());
        assert!(pause.is_some_and(|pause| pause > 1.0), "{pause:?}");
    }
    assert_eq!(arrived(&engines), before);
    // No answer has shown yet that the first part is sound. One instance may try it.
    for (number, entry) in fleet.entries.iter().enumerate() {
        until("sound requests are served", async || {
            for other in &fleet.entries {
                post(other.callers(), 2_000 + number, 0x50).await;
            }
            post(entry.callers(), 3_000 + number, 0x51).await.status == Some(200)
        })
        .await;
    }
}
