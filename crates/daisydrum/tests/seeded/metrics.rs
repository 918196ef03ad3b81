//! Metrics that instances publish, and a log reader that stops reading.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::{Command, Stdio},
    time::Duration,
};

use hyper::Method;
use platform_standin::{client, runner::Runner};
use rustix::process::{Pid, Signal};

use crate::fleet::{self, Daemon, Fleet, Start, until};

/// Reads the metrics at an address: name with labels, and value.
pub async fn read_metrics(address: SocketAddr) -> BTreeMap<String, f64> {
    let response = client::request(address, Method::GET, "/metrics", &[], "").await;
    assert_eq!(response.status, Some(200));
    let lines = response.body.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| line.rsplit_once(' '));
    pairs.map(|(name, value)| (name.to_owned(), value.parse().unwrap())).collect()
}

#[tokio::test]
async fn metrics_count_requests_stages_and_targets_and_tell_the_version_in_force() {
    let fleet = fleet::start("seeded-metrics");
    fleet.declare(3).await;
    let control = fleet.control_addresses();
    let _engine = Runner::start("engine", "engines", Some("decode"), 8, control.clone()).await;
    let _portal = Runner::start("portal", "portal", None, 0, control).await;
    fleet.until_ready().await;
    let entry = &fleet.entries[0];
    until("both targets are known", async || {
        ["engine", "portal"].iter().all(|name| entry.log().contains(&format!("target={name}")))
    })
    .await;
    assert_eq!(client::post_stream(entry.callers(), "/summary/1", "s1").await.status, Some(200));
    assert_eq!(client::post_plain(entry.callers(), "/lodge/1", "l1").await.status, Some(200));
    assert_eq!(client::post_plain(entry.callers(), "/nothing/", "n1").await.status, Some(404));
    until("the state is published after the requests", async || {
        let metrics = read_metrics(entry.readiness()).await;
        metrics.get("daisydrum_targets{standing=\"in\"}") == Some(&2.0)
            && metrics.contains_key("daisydrum_repeats_left{service=\"engines\"}")
    })
    .await;
    let metrics = read_metrics(entry.readiness()).await;
    for (name, value) in [
        ("daisydrum_requests_total{status=\"200\"}", 2.0),
        ("daisydrum_requests_total{status=\"404\"}", 1.0),
        ("daisydrum_stage_seconds_count{stage=\"prompt\"}", 1.0),
        ("daisydrum_stage_seconds_count{stage=\"first_event\"}", 1.0),
        ("daisydrum_stage_seconds_count{stage=\"longest_pause\"}", 1.0),
        ("daisydrum_stage_seconds_count{stage=\"answer\"}", 1.0),
        ("daisydrum_targets{standing=\"out\"}", 0.0),
        ("daisydrum_targets{standing=\"probation\"}", 0.0),
        ("daisydrum_config_version", 3.0),
    ] {
        assert_eq!(metrics.get(name), Some(&value), "{name} in {metrics:#?}");
    }
    assert!(metrics["daisydrum_config_age_seconds"] < 60.0);
    // Three quarters of the sum of the default slack, 20, and of a fifth of the one request: 15.15.
    let left = metrics["daisydrum_repeats_left{service=\"engines\"}"];
    assert!((15.0..16.0).contains(&left), "{left}");
}

#[tokio::test]
async fn one_control_instance_reports_that_it_leads_and_all_report_committed_entries() {
    let fleet = fleet::start("seeded-log-metrics");
    fleet.declare(3).await;
    until("one leads and all have the configuration", async || {
        let mut leaders = 0.0;
        for control in fleet.control_addresses() {
            let metrics = read_metrics(control).await;
            let value = |name: &str| metrics.get(name).copied().unwrap_or_default();
            leaders += value("daisydrum_log_leads");
            if value("daisydrum_log_committed_entries") < 1.0
                || value("daisydrum_config_version") < 3.0
            {
                return false;
            }
        }
        leaders == 1.0
    })
    .await;
}

/// Number of log lines, enough to fill the pipe and the ring buffer before it several times over.
const LINES: usize = 6_000;
/// Twice the `stop_s` of the fleet's settings.
const STOP_TIMEOUT: Duration = Duration::from_secs(16);

#[tokio::test]
async fn a_log_reader_that_stops_reading_delays_neither_requests_nor_the_stop() {
    let mut fleet = fleet::start("seeded-unread");
    fleet.declare(3).await;
    let _portal = Runner::start("portal", "portal", None, 0, fleet.control_addresses()).await;
    fleet.until_ready().await;
    let entry = &mut fleet.entries[0];
    entry.kill();
    let mut child = Command::new(env!("CARGO_BIN_EXE_daisydrum"))
        .args(["join", "--settings"])
        .arg(entry.settings_file())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (callers, readiness) = (entry.callers(), entry.readiness());
    until("the instance is ready", async || client::is_ready(readiness).await).await;
    let mut connection = client::Connection::open(callers).await.unwrap();
    for number in 0..LINES {
        let id = format!("unread-{number}");
        let response = connection.post("/nothing/", &client::plain_headers(&id), "").await;
        assert_eq!(response.status, Some(404), "request {number}");
    }
    let id = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
    rustix::process::kill_process(id, Signal::TERM).unwrap();
    let ended = tokio::task::spawn_blocking(move || child.wait().unwrap());
    let status =
        tokio::time::timeout(STOP_TIMEOUT, ended).await.expect("the process ends").unwrap();
    assert!(status.success());
}

async fn repeats_left(fleet: &Fleet, entry: usize) -> f64 {
    let entry = &fleet.entries[entry];
    let left = "daisydrum_repeats_left{service=\"portal\"}";
    until("a request is counted", async || {
        client::post_plain(entry.callers(), "/lodge/1", "l").await;
        read_metrics(entry.readiness()).await.contains_key(left)
    })
    .await;
    read_metrics(entry.readiness()).await[left]
}

// BUDGET: each process of a rolling restart had the slack of the window once more.
#[tokio::test]
async fn only_a_process_without_one_before_it_has_the_slack_of_retries_at_once() {
    let mut fleet = fleet::new("seeded-slack");
    fleet.set_further_settings("\"retries\": { \"window_s\": 20 }");
    for _ in 0..3 {
        fleet.add_control(Start::First);
    }
    fleet.add_entry();
    fleet.declare(3).await;
    let _portal = Runner::start("portal", "portal", None, 0, fleet.control_addresses()).await;
    fleet.until_ready().await;
    let mut has_slack = Vec::new();
    has_slack.push(("first start", repeats_left(&fleet, 0).await > 5.0));
    fleet.entries[0].kill();
    fleet.entries[0].start();
    fleet.until_ready().await;
    has_slack.push(("restart", repeats_left(&fleet, 0).await > 5.0));
    let added = fleet.add_entry();
    fleet.until_ready().await;
    has_slack.push(("added", repeats_left(&fleet, added).await > 5.0));
    fleet.entries.iter_mut().chain(&mut fleet.control).for_each(Daemon::kill);
    fleet.control.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    fleet.until_ready().await;
    has_slack.push(("restart of all", repeats_left(&fleet, 0).await > 5.0));
    until("a window has passed", async || repeats_left(&fleet, 0).await > 5.0).await;
    let expected =
        [("first start", true), ("restart", false), ("added", true), ("restart of all", false)];
    assert_eq!(has_slack, expected);
}
