//! Orders of real daemons when the holder of the lease is paused beyond the lease's end or stops.
//!
//! A holder that resumes must not act on a lease that another instance has taken meanwhile: engines that check fencing
//! numbers would refuse its orders, but those that don't would carry them out.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/replicas.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod replicas;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use common::{cancel, name};
use control::{
    command::Command,
    declaration::{Author, Change, Request},
    drain,
    reply::Reply,
};
use replicas::Cluster;
use settings::{delta, tree::Partner};
use standin::{
    engine::{Engine, Options},
    harness::wait,
};
use wire::{
    operator,
    target::{Fencing, Phase},
};

const TIMEOUT: Duration = Duration::from_secs(10);
const DATA_CENTRE: &str = "sapporo-a";

fn author(request: &str) -> Author {
    Author { request: String::from(request), operator: String::from("test"), wall_ms: 0 }
}

async fn submit(cluster: &Cluster, command: Command) {
    let branch = name::Branch::from("inkleaf");
    wait::until("the log accepts the command", async || {
        let reply: Result<Reply, _> = cluster.client.submit(&branch, &command, TIMEOUT).await;
        reply.is_ok()
    })
    .await;
}

async fn declare(cluster: &Cluster) {
    let partner = Partner {
        title: String::from("Inkleaf"),
        data_centres: vec![String::from(DATA_CENTRE)],
        defaults: serde_json::Map::new(),
    };
    let service = name::Service::from("inkmind");
    let declared = delta::ServiceChange::Declared(std::sync::Arc::default());
    let delta = delta::Delta {
        venture: None,
        partner: Some(partner),
        services: BTreeMap::from([(service, declared)]),
    };
    let request = Request { author: author("declare"), base: 0, change: Change::Apply(delta) };
    submit(cluster, Command::Declare(request)).await;
}

async fn set_drain(cluster: &Cluster, target: &str, wish: drain::Action) {
    let set = drain::Set {
        author: author(&format!("{target}-{wish}")),
        data_centre: name::DataCentre::from(DATA_CENTRE),
        target: name::Target::from(target),
        wish,
    };
    submit(cluster, Command::Drain(set)).await;
}

async fn engine(cluster: &Cluster, name: &str, fencing: Fencing) -> Engine {
    let control: Vec<SocketAddr> =
        cluster.daemons.iter().map(standin::harness::daemon::Daemon::control).collect();
    let mut options = Options::new(name, "inkleaf", "inkmind", control);
    options.data_centre = name::DataCentre::from(DATA_CENTRE);
    options.fencing = fencing;
    options.announcements.interval = Duration::from_millis(200);
    Engine::start(options, cancel::Token::new()).await.unwrap()
}

async fn orders(cluster: &Cluster, number: usize) -> Option<operator::Orders> {
    cluster.daemons[number].status().await?.orders
}

/// Waits until a daemon other than `except` holds the lease and returns its number.
async fn holder(cluster: &Cluster, except: Option<usize>) -> usize {
    let mut found = None;
    wait::until("an instance holds the lease", async || {
        for number in (0..cluster.daemons.len()).filter(|number| Some(*number) != except) {
            if orders(cluster, number).await.is_some() {
                found = Some(number);
            }
        }
        found.is_some()
    })
    .await;
    found.unwrap()
}

async fn until_phase(engine: &Engine, phase: Phase) {
    wait::until("the engine reaches the phase", async || engine.state().phase == phase).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_paused_past_its_term_orders_nothing_once_it_resumes() {
    let cluster = Cluster::start("orders-pause", 3).await;
    declare(&cluster).await;
    let checked = engine(&cluster, "checked", Fencing::Checked).await;
    let unchecked = engine(&cluster, "unchecked", Fencing::Unchecked).await;
    let previous = holder(&cluster, None).await;
    wait::until("the engine knows a fencing token", async || checked.state().fencing > 0).await;
    let first_fencing = checked.state().fencing;

    set_drain(&cluster, "checked", drain::Action::Drain).await;
    set_drain(&cluster, "unchecked", drain::Action::Drain).await;
    cluster.daemons[previous].pause();
    let successor = holder(&cluster, Some(previous)).await;
    until_phase(&checked, Phase::Draining).await;
    until_phase(&unchecked, Phase::Draining).await;
    set_drain(&cluster, "checked", drain::Action::Undrain).await;
    set_drain(&cluster, "unchecked", drain::Action::Undrain).await;
    until_phase(&checked, Phase::Ready).await;
    until_phase(&unchecked, Phase::Ready).await;
    wait::until("the successor's intents are settled", async || {
        orders(&cluster, successor).await.is_some_and(|orders| orders.open.is_empty())
    })
    .await;
    let orders_before = (checked.totals().orders, unchecked.totals().orders);

    cluster.daemons[previous].resume();
    wait::until("the previous holder has noticed the loss of the lease", async || {
        cluster.daemons[previous].log().contains("lease lost")
            && orders(&cluster, previous).await.is_none()
    })
    .await;
    assert!(checked.state().fencing > first_fencing);
    assert_eq!(checked.state().phase, Phase::Ready);
    assert_eq!(unchecked.state().phase, Phase::Ready);
    assert_eq!((checked.totals().orders, unchecked.totals().orders), orders_before);
    assert!(orders(&cluster, successor).await.is_some(), "the successor no longer holds the lease");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_stops_releases_the_lease() {
    let cluster = Cluster::start("orders-stop", 3).await;
    declare(&cluster).await;
    let previous = holder(&cluster, None).await;
    cluster.daemons[previous].terminate();
    holder(&cluster, Some(previous)).await;
    wait::until("the log records that the lease was given back", async || {
        let log = cluster.daemons[previous].log();
        log.lines().any(|line| line.contains("lease given back") && line.contains("recorded=true"))
    })
    .await;
}
