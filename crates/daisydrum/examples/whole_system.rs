//! Runs both partners' data centres with real daemons and stand-in targets while the mix of requests shifts and
//! faults are injected, then prints a report and writes it to `target/whole-system.html`.
//!
//! Run it from the root of the repository:
//! `cargo build --release -p daisydrum && cargo run --release -p daisydrum --example whole_system -- [SECONDS]`.

use std::{env, error::Error, fs, time::Duration};

use daisyctl::{arguments::Daisyctl, command};
use load::{
    run,
    scenario::{Range, Rate, Scenario, Shape, Stream},
};
use standin::{
    engine,
    harness::{
        cluster::{Cluster, DataCentre},
        tree::{ASSOCIATION, INKLEAF, Partner},
        wait,
    },
    proxy::Conditions,
};
use tokio::time;

const BINARY: &str = "target/release/daisydrum";
/// Engines in each data centre.
const ENGINES: usize = 3;
/// One-way delay on links between two data centres in Fiji.
const FIJI_LATENCY: Duration = Duration::from_micros(500);
/// One-way delay on links into or out of a data centre in Hokkaido.
const HOKKAIDO_LATENCY: Duration = Duration::from_micros(1_500);
const DEFAULT_LENGTH_S: f64 = 120.0;
/// Daemon that is killed and restarted: the first of nausori, which has no replicas, so no branch's log loses a member.
const KILLED_DAEMON: usize = 6;
/// Daemon that is paused and resumed: the second of nausori, for the same reason.
const PAUSED_DAEMON: usize = 7;

const DATA_CENTRES: [DataCentre; 8] = [
    DataCentre { name: "suva", daemons: 2, replicas: 1 },
    DataCentre { name: "lautoka", daemons: 2, replicas: 1 },
    DataCentre { name: "nadi", daemons: 2, replicas: 1 },
    DataCentre { name: "nausori", daemons: 2, replicas: 0 },
    DataCentre { name: "ink-sapporo-a", daemons: 2, replicas: 0 },
    DataCentre { name: "ink-sapporo-b", daemons: 2, replicas: 0 },
    DataCentre { name: "ink-asahikawa", daemons: 2, replicas: 0 },
    DataCentre { name: "ink-kushiro", daemons: 2, replicas: 0 },
];

#[tokio::main]
#[allow(clippy::print_stdout, reason = "prints the report")]
async fn main() -> Result<(), Box<dyn Error>> {
    let length_s = env::args().nth(1).map_or(Ok(DEFAULT_LENGTH_S), |length_s| length_s.parse())?;
    let mut cluster = Cluster::start(BINARY, "whole-system", &DATA_CENTRES).await;
    wait::until("the declarations are accepted", async || apply(&cluster).await).await;
    cluster.until_ready().await;
    let mut engines = Vec::new();
    let mut plain_targets = Vec::new();
    for data_centre in DATA_CENTRES {
        let (partner, latency) = partner_and_latency(data_centre.name);
        let delay = Conditions { latency, ..Conditions::default() };
        // The later call wins on a link, so Hokkaido's data centres come last.
        cluster.set(data_centre.name, delay, delay);
        for number in 0..ENGINES {
            let name = format!("{}-engine-{number}", data_centre.name);
            let mut options = cluster.engine(&name, partner, data_centre.name);
            // Real time, not the tests' shortened durations.
            options.speed.scale = 1.0;
            engines.push(cluster.start_engine(options).await);
        }
        let name = format!("{}-plain", data_centre.name);
        plain_targets
            .push(cluster.start_plain(cluster.plain(&name, partner, data_centre.name)).await);
    }
    cluster.until_targets(ENGINES + 1).await;
    let mut scenario = scenario(&cluster, length_s);
    scenario.plain = plain_targets.iter().map(standin::plain::Service::address).collect();
    let load_task = tokio::spawn(run::run(scenario));
    inject_faults(&mut cluster, &engines, length_s).await;
    let report = load_task.await?;
    println!("{}", report.text());
    fs::write("target/whole-system.html", report.page())?;
    Ok(())
}

/// Applies the cluster's tree; returns whether the log of each branch accepted it.
async fn apply(cluster: &Cluster) -> bool {
    let tree = cluster.tree().as_os_str().to_owned();
    let instance = cluster.daemons[0].control().to_string();
    let arguments = vec!["apply".into(), tree, "--instance".into(), instance.into()];
    let work = || Daisyctl::from_vec(arguments).is_ok_and(|flags| command::run(flags).is_ok());
    tokio::task::spawn_blocking(work).await.unwrap_or(false)
}

fn partner_and_latency(data_centre: &str) -> (Partner, Duration) {
    if data_centre.starts_with("ink-") {
        (INKLEAF, HOKKAIDO_LATENCY)
    } else {
        (ASSOCIATION, FIJI_LATENCY)
    }
}

/// Spreads faults over the run: a daemon is killed and restarted, another paused and resumed, open connections go
/// silent and two engines are killed.
async fn inject_faults(cluster: &mut Cluster, engines: &[engine::Engine], length_s: f64) {
    let interval = Duration::from_secs_f64(length_s / 8.0);
    time::sleep(interval).await;
    cluster.daemons[KILLED_DAEMON].kill();
    time::sleep(interval).await;
    cluster.daemons[KILLED_DAEMON].restart();
    cluster.silence_open();
    time::sleep(interval).await;
    cluster.daemons[PAUSED_DAEMON].pause();
    time::sleep(interval).await;
    cluster.daemons[PAUSED_DAEMON].resume();
    engines[0].kill();
    time::sleep(interval).await;
    engines[engines.len() - 1].kill();
}

fn scenario(cluster: &Cluster, length_s: f64) -> Scenario {
    let half = length_s / 2.0;
    let rates =
        |first, second| vec![Rate { at_s: 0.0, per_s: first }, Rate { at_s: half, per_s: second }];
    let short = Range { from: 50, to: 200 };
    let long = Range { from: 500, to: 1_500 };
    let streams = vec![
        completions(
            "checklists",
            ASSOCIATION,
            short,
            Range { from: 100, to: 300 },
            rates(8.0, 2.0),
        ),
        completions("summaries", ASSOCIATION, long, Range { from: 10, to: 40 }, rates(2.0, 8.0)),
        completions("crash-reports", INKLEAF, long, Range { from: 10, to: 40 }, rates(1.0, 10.0)),
        completions("release-notes", INKLEAF, short, Range { from: 100, to: 300 }, rates(6.0, 1.0)),
        claimed_requests("certificates", ASSOCIATION, rates(2.0, 2.0)),
        claimed_requests("firmware", INKLEAF, rates(1.0, 1.0)),
    ];
    Scenario {
        seed: 1,
        duration_s: length_s,
        max_requests: 20_000,
        callers: cluster.callers(),
        control: Vec::new(),
        plain: Vec::new(),
        resends: 20,
        streams,
    }
}

fn completions(
    name: &str,
    partner: Partner,
    prompt_tokens: Range,
    output_tokens: Range,
    rates: Vec<Rate>,
) -> Stream {
    let model = String::from(partner.model);
    let shape = Shape::Completion {
        model,
        prompt_tokens,
        output_tokens,
        prefixes: 4,
        prefix_tokens: 2_000,
    };
    stream(name, partner.model_key, shape, rates)
}

/// Requests to the plain service's path whose calls may not be repeated.
fn claimed_requests(name: &str, partner: Partner, rates: Vec<Rate>) -> Stream {
    let path = String::from(partner.claimed_path);
    let shape = Shape::Plain { path, body_bytes: Range { from: 100, to: 500 } };
    stream(name, partner.plain_key, shape, rates)
}

fn stream(name: &str, key: &str, shape: Shape, rates: Vec<Rate>) -> Stream {
    Stream {
        name: String::from(name),
        key: String::from(key),
        shape,
        rates,
        deadline_ms: 30_000,
        first_token_ms: 820,
        token_gap_ms: 43,
    }
}
