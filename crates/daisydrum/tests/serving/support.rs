//! Clusters, load and checks that the tests share.

use std::net::SocketAddr;

use daisyctl::{arguments::Daisyctl, command};
use load::{
    report::{Report, Summary},
    scenario::{Range, Rate, Scenario, Shape, Stream},
};
use standin::harness::{
    cluster::{Cluster, DataCentre},
    tree, wait,
};

/// Deadline of all test requests, in milliseconds.
const DEADLINE_MS: u64 = 30_000;
/// Latency targets too loose to decide the result of a test, in milliseconds.
const LOOSE_GOAL_MS: u64 = 10_000;

/// Starts a cluster of this crate's daemon and waits until its settings are in force.
pub async fn cluster(name: &str, data_centres: &[DataCentre]) -> Cluster {
    let cluster = Cluster::start(env!("CARGO_BIN_EXE_daisydrum"), name, data_centres).await;
    if data_centres.iter().any(|data_centre| data_centre.replicas > 0) {
        wait::until("the declarations are accepted", async || apply(&cluster).await).await;
    }
    cluster.until_ready().await;
    cluster
}

/// Applies the cluster's tree; returns whether the log of each branch accepted it.
pub async fn apply(cluster: &Cluster) -> bool {
    let tree = cluster.tree().as_os_str().to_owned();
    let instance = cluster.daemons[0].control().to_string();
    let arguments = vec!["apply".into(), tree, "--instance".into(), instance.into()];
    let work = || command::run(Daisyctl::from_vec(arguments).unwrap()).is_ok();
    tokio::task::spawn_blocking(work).await.unwrap()
}

/// A data centre with `daemons` daemons, none of which keeps a replica.
pub const fn data_centre(name: &'static str, daemons: usize) -> DataCentre {
    DataCentre { name, daemons, replicas: 0 }
}

/// Load on the addresses `callers` for `duration_s` seconds; the load resends a request after a broken connection.
pub fn scenario(callers: Vec<SocketAddr>, duration_s: f64, streams: Vec<Stream>) -> Scenario {
    Scenario {
        seed: 7,
        duration_s,
        max_requests: 5_000,
        callers,
        control: Vec::new(),
        plain: Vec::new(),
        resends: 20,
        streams,
    }
}

/// Completions of a partner's model with short prompts.
pub fn completions(partner: tree::Partner, per_s: f64) -> Stream {
    Stream {
        name: format!("{}-completions", partner.name),
        key: String::from(partner.model_key),
        shape: Shape::Completion {
            model: String::from(partner.model),
            prompt_tokens: Range { from: 10, to: 200 },
            output_tokens: Range { from: 20, to: 60 },
            prefixes: 0,
            prefix_tokens: 0,
        },
        rates: vec![Rate { at_s: 0.0, per_s }],
        deadline_ms: DEADLINE_MS,
        first_token_ms: LOOSE_GOAL_MS,
        token_gap_ms: LOOSE_GOAL_MS,
    }
}

/// Calls of a partner's plain service that may not be repeated.
pub fn claims(partner: tree::Partner, per_s: f64) -> Stream {
    Stream {
        name: format!("{}-claims", partner.name),
        key: String::from(partner.plain_key),
        shape: Shape::Plain {
            path: String::from(partner.claimed_path),
            body_bytes: Range { from: 10, to: 100 },
        },
        ..completions(partner, per_s)
    }
}

/// Asserts that no response was wrong, cut, silent or doubled, and that most requests got a whole response.
pub fn assert_served(report: &Report) {
    assert!(report.is_clean(), "{}", report.text());
    for stream in &report.streams {
        assert_mostly_whole(stream, report);
    }
}

fn assert_mostly_whole(stream: &Summary, report: &Report) {
    assert!(
        stream.whole * 2 > stream.sent,
        "at most half of the requests got a whole response\n{}",
        report.text()
    );
}
