//! An operator that changes the configuration repeatedly, and one that reads it.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, random::Random};
use platform_standin::client;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::history::{Acknowledgement, Content, Read};

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
/// The version that is in force before the faults begin.
pub const FIRST_VERSION: u64 = 1;

/// The outcomes of the changes.
#[derive(Debug, Default)]
pub struct Changes {
    /// Those that were acknowledged.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Valid ones that were refused.
    pub refused: Vec<String>,
}

/// Changes the configuration until the token is cancelled.
pub async fn change(
    control: Vec<SocketAddr>,
    seed: u64,
    start: Instant,
    token: cancel::Token,
) -> Changes {
    let mut random = Random::new(seed);
    let mut changes = Changes::default();
    let mut version = FIRST_VERSION;
    while !token.is_cancelled() {
        time::sleep(MEAN_CHANGE_INTERVAL.mul_f64(2.0 * random.unit())).await;
        // Versions need not be consecutive.
        version += 1 + random.below(3) as u64;
        let config = client::distinct_config(version);
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        while Instant::now() < deadline {
            let address = control[random.below(control.len())];
            let response =
                time::timeout(RESPONSE_TIMEOUT, client::declare_config(address, &config)).await;
            match response.ok().flatten() {
                Some(200) => {
                    let at = start.elapsed();
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

/// Reads the configuration from one instance; `None` if it returns none.
pub async fn read_one(control: &[SocketAddr], number: usize, start: Instant) -> Option<Read> {
    let sent = start.elapsed();
    let response = client::read_config(control[number]).await;
    if response.status != Some(200) || !response.whole {
        return None;
    }
    let (version, content) = match client::config_version(&response.body) {
        Some(version) if client::is_distinct_config(&response.body, version) => {
            (version, Content::AsSent)
        }
        version => (version.unwrap_or_default(), Content::Other),
    };
    Some(Read { control: number, sent, version, content })
}
