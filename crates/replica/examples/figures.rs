//! Measures replicas in one process, connected over loopback TCP, with real syncs to disk.
//!
//! `cargo run --release -p replica --example figures -- FOLDER [commits|slow|leader|catchup]`

#![allow(
    clippy::print_stdout,
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    reason = "a benchmark prints its figures"
)]

#[path = "figures/cluster.rs"]
mod cluster;
#[path = "figures/machine.rs"]
mod machine;

use std::{
    env,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use cluster::Cluster;
use consensus::options::Options;
use tokio::{runtime::Runtime, task::JoinSet};

const COMMAND_BYTES: usize = 256;
const RUN: Duration = Duration::from_secs(5);

fn main() {
    let folder = env::args().nth(1).expect("usage: figures FOLDER [NAME]");
    let folder = PathBuf::from(folder).join("bench-replica");
    let wanted = env::args().nth(2);
    let runtime = Runtime::new().unwrap();
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|wanted| wanted == name);
    runtime.block_on(async {
        if is_wanted("commits") {
            commits(&folder).await;
        }
        if is_wanted("slow") {
            slow(&folder).await;
        }
        if is_wanted("leader") {
            leader(&folder).await;
        }
        if is_wanted("catchup") {
            catch_up(&folder).await;
        }
    });
    let _absent = std::fs::remove_dir_all(folder);
}

/// Commits per second and latency, by number of replicas and clients.
async fn commits(folder: &Path) {
    for replicas in [3, 5] {
        for clients in [1, 16, 256] {
            let cluster = Cluster::start(folder, replicas, Options::default()).await;
            let mut times = load(&cluster, clients, RUN).await;
            times.sort_by(f64::total_cmp);
            println!(
                "commits replicas={replicas} clients={clients} per_s={:.0} p50_ms={:.2} p99_ms={:.2}",
                times.len() as f64 / RUN.as_secs_f64(),
                times[times.len() / 2],
                times[times.len() * 99 / 100],
            );
            cluster.stop();
        }
    }
}

/// Durations of the commits of `clients` concurrent clients, in milliseconds.
async fn load(cluster: &Cluster, clients: usize, run: Duration) -> Vec<f64> {
    let end = Instant::now() + run;
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let client = cluster.client.clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < end {
                let start = Instant::now();
                if cluster::submit(&client, COMMAND_BYTES).await {
                    times.push(start.elapsed().as_secs_f64() * 1e3);
                }
            }
            times
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

/// Longest time between commits before and after a fast replica is killed, so that the quorum needs a slow one; with
/// and without limits of what is in flight.
async fn slow(folder: &Path) {
    let unbounded = Options {
        max_inflight_entries: usize::MAX,
        max_inflight_bytes: usize::MAX,
        ..Options::default()
    };
    for (name, options) in [("bounded", Options::default()), ("unbounded", unbounded)] {
        let cluster = Cluster::start(folder, 3, options).await;
        let leader = cluster.leader().await;
        let (slow, fast) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.slow_down(slow, Duration::from_millis(2));
        let load = {
            let client = cluster.client.clone();
            tokio::spawn(async move { longest_gap(client, RUN * 4).await })
        };
        tokio::time::sleep(RUN).await;
        let lag = cluster.lag(slow).await;
        cluster.kill(fast);
        let gaps = load.await.unwrap();
        println!(
            "slow {name} lag_entries={lag} longest_gap_before_ms={:.0} longest_gap_after_ms={:.0}",
            gaps.before_ms, gaps.after_ms
        );
        cluster.stop();
    }
}

/// Longest times between commits: in the first quarter of a run, and in the rest.
struct Gaps {
    before_ms: f64,
    after_ms: f64,
}

async fn longest_gap(client: replica::client::Client, run: Duration) -> Gaps {
    let start = Instant::now();
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    for _ in 0..64 {
        let (client, sender) = (client.clone(), sender.clone());
        tasks.spawn(async move {
            while start.elapsed() < run {
                if cluster::submit(&client, COMMAND_BYTES).await {
                    sender.send(start.elapsed()).unwrap();
                }
            }
        });
    }
    drop(sender);
    tasks.join_all().await;
    let mut gaps = Gaps { before_ms: 0.0, after_ms: 0.0 };
    let mut last = Duration::ZERO;
    while let Some(time) = receiver.recv().await {
        let gap = time.saturating_sub(last).as_secs_f64() * 1e3;
        let longest = if time < run / 4 { &mut gaps.before_ms } else { &mut gaps.after_ms };
        *longest = longest.max(gap);
        last = last.max(time);
    }
    gaps
}

/// Time from the end of the leader to the next commit.
async fn leader(folder: &Path) {
    let mut times = Vec::new();
    for _ in 0..10 {
        let cluster = Cluster::start(folder, 3, Options::default()).await;
        assert!(cluster::submit(&cluster.client, COMMAND_BYTES).await);
        cluster.kill(cluster.leader().await);
        let start = Instant::now();
        while !cluster::submit(&cluster.client, COMMAND_BYTES).await {}
        times.push(start.elapsed().as_secs_f64() * 1e3);
        cluster.stop();
    }
    times.sort_by(f64::total_cmp);
    println!(
        "leader runs=10 min_ms={:.0} median_ms={:.0} max_ms={:.0}",
        times[0], times[5], times[9]
    );
}

/// Time in which a restarted replica catches up, by number of missed commands.
async fn catch_up(folder: &Path) {
    for changes in [500, 5_000, 50_000] {
        let cluster = Cluster::start(folder, 3, Options::default()).await;
        let absent = (cluster.leader().await + 1) % 3;
        cluster.kill(absent);
        let mut tasks = JoinSet::new();
        for _ in 0..50 {
            let client = cluster.client.clone();
            tasks.spawn(async move {
                for _ in 0..changes / 50 {
                    assert!(cluster::submit(&client, COMMAND_BYTES).await);
                }
            });
        }
        tasks.join_all().await;
        let start = Instant::now();
        cluster.restart(absent).await;
        let opened = start.elapsed();
        cluster.until_caught_up(absent).await;
        println!(
            "catchup missed={changes} opened_ms={:.0} caught_up_ms={:.0}",
            opened.as_secs_f64() * 1e3,
            start.elapsed().as_secs_f64() * 1e3
        );
        cluster.stop();
    }
}
