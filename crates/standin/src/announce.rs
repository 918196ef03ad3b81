//! Announces a target periodically, each time to a control address chosen at random.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, random::Random};
use tokio::time;
use wire::target;

use crate::http;

/// Timeout of one announcement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Where and how often a target announces itself.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Control addresses, of which each announcement takes one at random.
    pub control: Vec<SocketAddr>,
    /// Time between two announcements.
    pub interval: Duration,
    /// Seed of the random choice.
    pub seed: u64,
}

/// Produces the announcements of a target.
pub trait Source: Send + 'static {
    /// The announcement to send now.
    fn announcement(&mut self) -> target::Announcement;
}

/// Announces `source` until `token` is cancelled.
pub async fn run<S: Source>(schedule: Schedule, mut source: S, token: cancel::Token) {
    let mut random = Random::new(schedule.seed);
    let mut ticks = time::interval(schedule.interval);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let announcement = source.announcement();
        let Some(&address) = schedule.control.get(random.below(schedule.control.len())) else {
            continue;
        };
        tokio::spawn(async move { send(address, &announcement).await });
    }
}

async fn send(address: SocketAddr, announcement: &target::Announcement) {
    let Ok(request) = http::post(target::ANNOUNCE_PATH, announcement) else {
        return;
    };
    let _ = http::call(address, request, RESPONSE_TIMEOUT).await;
}
