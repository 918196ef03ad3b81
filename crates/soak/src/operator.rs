//! An operator that changes the configuration repeatedly, and one that reads it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{cancel, random::Random};
use platform_standin::client;
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::history::{Acknowledgement, Change, Content, Read};

/// Mean interval between two changes.
const MEAN_CHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Interval between two reads, and between two tries of a change.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a change at one instance, after which another one is tried.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A change without a definite response is given up after this time; it may or may not be in force.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from an acknowledgement until the version is in force everywhere: the operators' bound.
pub const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Interval of events that streams should keep; a target may pause for far longer.
const GAP_TARGET_MS: u64 = 100;
/// Time that plain targets should need; a target may pause for far longer.
const TARGET_LATENCY_MS: u64 = 200;
/// Idle times of callers' connections, of which successive versions have one after the other.
const IDLE_TIMES_MS: [u64; 2] = [3_000, 8_000];
/// Number of versions with the same idle time: enough for it to be in force for some time.
const VERSIONS_PER_IDLE_TIME: u64 = 16;
/// The version that is in force before the faults begin.
pub const FIRST_VERSION: u64 = 1;

/// The changes sent so far, by version.
pub type Record = Arc<Mutex<Vec<Change>>>;

/// The outcomes of the changes.
#[derive(Debug, Default)]
pub struct Changes {
    /// Those that were acknowledged.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Valid ones that were refused.
    pub refused: Vec<String>,
}

/// The configuration of a version.
pub fn config(version: u64) -> Value {
    let mut config = client::distinct_config(version);
    for route in config["routes"].as_array_mut().unwrap() {
        route["gap_target_ms"] = json!(GAP_TARGET_MS);
        route["target_latency_ms"] = json!(TARGET_LATENCY_MS);
    }
    config["limits"]["idle_timeout_ms"] = json!(idle_time_ms(version));
    config
}

fn idle_time_ms(version: u64) -> u64 {
    let period = version / VERSIONS_PER_IDLE_TIME;
    IDLE_TIMES_MS[period as usize % IDLE_TIMES_MS.len()]
}

/// Records that a version is sent.
pub fn note_sent(record: &Record, version: u64, sent: Duration) {
    let idle_time = Duration::from_millis(idle_time_ms(version));
    record.lock().unwrap().push(Change { version, idle_time, sent, acknowledged: None });
}

/// Records that the version sent last is acknowledged.
pub fn note_acknowledged(record: &Record, at: Duration) {
    if let Some(change) = record.lock().unwrap().last_mut() {
        change.acknowledged = Some(at);
    }
}

/// Changes the configuration until the token is cancelled.
pub async fn change(
    control: Vec<SocketAddr>,
    seed: u64,
    start: Instant,
    token: cancel::Token,
    record: Record,
) -> Changes {
    let mut random = Random::new(seed);
    let mut changes = Changes::default();
    let mut version = FIRST_VERSION;
    while !token.is_cancelled() {
        time::sleep(MEAN_CHANGE_INTERVAL.mul_f64(2.0 * random.unit())).await;
        // Versions need not be consecutive.
        version += 1 + random.below(3) as u64;
        let config = config(version);
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        note_sent(&record, version, start.elapsed());
        while Instant::now() < deadline {
            let address = control[random.below(control.len())];
            let response =
                time::timeout(RESPONSE_TIMEOUT, client::declare_config(address, &config)).await;
            match response.ok().flatten() {
                Some(200) => {
                    let at = start.elapsed();
                    note_acknowledged(&record, at);
                    changes.acknowledgements.push(Acknowledgement { version, at });
                    break;
                }
                Some(status) if (400..500).contains(&status) && status != 429 && status != 408 => {
                    changes.refused.push(format!("version {version} got {status}"));
                    break;
                }
                _ => time::sleep(READ_INTERVAL).await,
            }
        }
    }
    changes
}

/// Reads the configuration from all instances until the token is cancelled.
///
/// The next read does not wait for the one before: the responses of a frozen instance after it resumes show whether it
/// takes into account that its configuration may be out of date.
pub async fn read(control: Vec<SocketAddr>, start: Instant, token: cancel::Token) -> Vec<Read> {
    let mut in_flight = JoinSet::new();
    let mut reads = Vec::new();
    while !token.is_cancelled() {
        for number in 0..control.len() {
            let control = control.clone();
            in_flight.spawn(async move { read_one(&control, number, start).await });
        }
        time::sleep(READ_INTERVAL).await;
        while let Some(ended) = in_flight.try_join_next() {
            reads.extend(ended.ok().flatten());
        }
    }
    let left = in_flight.join_all().await;
    reads.extend(left.into_iter().flatten());
    reads
}

fn is_config(body: &str, version: u64) -> bool {
    serde_json::from_str(body).is_ok_and(|read: Value| read == config(version))
}

/// Reads the configuration from one instance; `None` if it returns none.
pub async fn read_one(control: &[SocketAddr], number: usize, start: Instant) -> Option<Read> {
    let sent = start.elapsed();
    let response = client::read_config(control[number]).await;
    if response.status != Some(200) || !response.whole {
        return None;
    }
    let (version, content) = match client::config_version(&response.body) {
        Some(version) if is_config(&response.body, version) => (version, Content::AsSent),
        version => (version.unwrap_or_default(), Content::Other),
    };
    Some(Read { control: number, sent, version, content })
}
