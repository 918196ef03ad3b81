//! Two builds of the daemon side by side: instances of an earlier build are replaced by this one, back, and forward again,
//! under traffic. `.ci/upgrade` builds the earlier program and names it in `DAISYDRUM_EARLIER`.

#![allow(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "prints figures, and a panic is the failure of the test"
)]

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use platform_standin::{
    client,
    runner::{Options, Runner},
};
use rustix::process::Signal;
use soak::fleet::{Daemon, Fleet, Links, Start, until};
use tokio::{net::TcpListener, time};

const EARLIER: &str = "DAISYDRUM_EARLIER";
const ENTRIES: usize = 3;
const EVENTS: u64 = 40;

fn this_build() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_daisydrum"))
}

async fn engine(fleet: &Fleet, name: String, software: &str) -> Runner {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let announced_address = listener.local_addr().unwrap();
    Runner::start_with(Options {
        name,
        service: String::from("engines"),
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

/// Callers that send a stream at a time, each to the next instance that takes requests.
#[derive(Debug, Default)]
struct Traffic {
    stop: AtomicBool,
    number: AtomicU64,
    whole: AtomicU64,
    cut: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

impl Traffic {
    async fn run(self: Arc<Traffic>, entries: Vec<(SocketAddr, SocketAddr)>) {
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let (callers, readiness) = entries[number as usize % entries.len()];
            if !client::is_ready(readiness).await {
                time::sleep(Duration::from_millis(20)).await;
                continue;
            }
            let id = format!("t{number}");
            let response =
                client::post_stream_with_parts(callers, "/summary/1", &id, &[number]).await;
            let counter = match response.status {
                Some(200) if response.whole => &self.whole,
                Some(200) => &self.cut,
                Some(503) => &self.refused,
                _ => &self.failed,
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Replaces a daemon by one of another build, as a planned update does.
async fn replace(daemon: &mut Daemon, binary: &Path) {
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.wait_for_exit().await, Some(0), "{}", daemon.name);
    daemon.set_binary(binary);
    daemon.start();
}

/// Replaces all daemons one after the other, and changes the configuration after each.
async fn roll(fleet: &mut Fleet, binary: &Path, version: &mut u64) {
    for number in 0..fleet.control.len() {
        replace(&mut fleet.control[number], binary).await;
        // The log needs a majority before the next one is replaced.
        let control = fleet.control[number].control();
        until("the replaced control instance reads the configuration", async || {
            client::read_config_version(control).await.is_ok_and(|held| held >= *version)
        })
        .await;
        *version += 1;
        fleet.declare(*version).await;
    }
    for number in 0..fleet.entries.len() {
        replace(&mut fleet.entries[number], binary).await;
        fleet.until_ready().await;
        *version += 1;
        fleet.declare(*version).await;
    }
}

/// Streams that begin at one instance and are taken up at the next one go on at their software version.
async fn take_up(fleet: &Fleet, engines: &[Runner], round: usize) -> (usize, usize) {
    let callers: Vec<SocketAddr> = fleet.entries.iter().map(Daemon::callers).collect();
    let streams = (0..12).map(|number| {
        let callers = callers.clone();
        async move {
            let id = format!("r{round}-{number}");
            let parts = [0x9000 + (round * 100 + number) as u64];
            let from = callers[number % callers.len()];
            let begun = client::begin_stream(from, "/summary/1", &id, &parts, 3).await;
            let last = client::event_ids(&begun.response.body).last().copied().unwrap_or_default();
            drop(begun);
            let again = format!("{id}-again");
            let to = callers[(number + 1) % callers.len()];
            let response =
                client::resume_stream(to, "/summary/1", &again, &parts, (&id, last)).await;
            (id, again, response.whole)
        }
    });
    let streams = futures::future::join_all(streams).await;
    let ran = |engine: &&Runner, ids: [&String; 2]| {
        engine.runs().iter().any(|run| ids.contains(&&run.id))
    };
    let mut mixed = 0;
    for (id, again, _) in &streams {
        let engines = engines.iter().filter(|engine| ran(engine, [id, again]));
        let mut software: Vec<&str> = engines.map(Runner::software).collect();
        software.sort_unstable();
        software.dedup();
        mixed += usize::from(software.len() > 1);
    }
    (streams.iter().filter(|(.., whole)| *whole).count(), mixed)
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "builds an earlier program: run by .ci/upgrade"]
async fn a_fleet_is_updated_rolled_back_and_updated_again_under_traffic() {
    let earlier = std::env::var_os(EARLIER).map(PathBuf::from).expect("run by .ci/upgrade");
    let mut fleet = Fleet::new(&earlier, "upgrade", Links::Direct);
    for _ in 0..3 {
        fleet.add_control(Start::First);
    }
    for _ in 0..ENTRIES {
        fleet.add_entry();
    }
    let mut version = 3;
    fleet.declare(version).await;
    let mut engines = Vec::new();
    for number in 0..3 {
        engines.push(engine(&fleet, format!("v1-{number}"), "v1").await);
    }
    fleet.until_ready().await;
    time::sleep(Duration::from_millis(2_500)).await;
    let traffic = Arc::new(Traffic::default());
    let entries: Vec<(SocketAddr, SocketAddr)> =
        fleet.entries.iter().map(|entry| (entry.callers(), entry.readiness())).collect();
    let callers: Vec<_> =
        (0..6).map(|_| tokio::spawn(Arc::clone(&traffic).run(entries.clone()))).collect();
    roll(&mut fleet, this_build(), &mut version).await;
    // A release of the targets while the builds change.
    for number in 0..3 {
        engines.push(engine(&fleet, format!("v2-{number}"), "v2").await);
    }
    time::sleep(Duration::from_secs(3)).await;
    let (went_on, mixed) = take_up(&fleet, &engines, 0).await;
    println!("after the update: {went_on} of 12 streams went on, {mixed} mixed");
    assert_eq!(mixed, 0);
    assert!(went_on >= 10, "{went_on} of 12 streams went on");
    roll(&mut fleet, &earlier, &mut version).await;
    roll(&mut fleet, this_build(), &mut version).await;
    time::sleep(Duration::from_secs(3)).await;
    let (went_on, mixed) = take_up(&fleet, &engines, 1).await;
    println!("after the second update: {went_on} of 12 streams went on, {mixed} mixed");
    assert_eq!(mixed, 0);
    traffic.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    println!("{traffic:?}");
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let whole = count(&traffic.whole);
    assert!(whole > 100, "{traffic:?}");
    assert_eq!(count(&traffic.cut), 0, "{traffic:?}");
    assert_eq!(count(&traffic.failed), 0, "{traffic:?}");
    assert!(count(&traffic.refused) * 100 <= whole, "{traffic:?}");
    for control in fleet.control_addresses() {
        assert_eq!(client::read_config_version(control).await, Ok(version));
    }
}
