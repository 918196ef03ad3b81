//! Callers that keep their connections open until the other side closes them.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, collections::Map, random::Random};
use platform_standin::client::{self, Connection};
use tokio::time::{self, Instant};

use crate::{
    history::{Kind, Request},
    idle, operator,
};

/// Mean pause between two requests of a caller.
const MEAN_PAUSE: Duration = Duration::from_millis(60);
/// Shares of the newest idle time between which a caller that seldom sends a request waits for the next one.
const MIN_IDLE_SHARE: f64 = 0.3;
const MAX_IDLE_SHARE: f64 = 0.75;
/// Upper limit on the `retry-after` time that a refused caller waits.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A caller.
#[derive(Debug)]
pub struct Caller {
    name: String,
    entries: Vec<SocketAddr>,
    /// By instance, the kept connection and when the last response on it ended.
    connections: Map<usize, (Connection, Duration)>,
    changes: operator::Record,
    random: Random,
    start: Instant,
    requests: Vec<Request>,
}

impl Caller {
    /// Creates a caller of the instances at `entries`, which knows the `changes` of the configuration; times are
    /// measured from `start`.
    pub fn new(
        name: &str,
        entries: Vec<SocketAddr>,
        seed: u64,
        start: Instant,
        changes: operator::Record,
    ) -> Caller {
        Caller {
            name: String::from(name),
            entries,
            connections: Map::default(),
            changes,
            random: Random::new(seed),
            start,
            requests: Vec::new(),
        }
    }

    /// Sends requests until the token is cancelled; returns all requests.
    pub async fn run(mut self, token: cancel::Token) -> Vec<Request> {
        while !token.is_cancelled() {
            let entry = self.random.below(self.entries.len());
            let kind = Kind::ALL[self.random.below(Kind::ALL.len())];
            let pause = self.send(entry, kind).await;
            time::sleep(pause).await;
        }
        self.requests
    }

    /// Sends requests to one instance, with times between them for which it should keep the connection, until the token
    /// is cancelled; returns all requests.
    pub async fn run_seldom(mut self, token: cancel::Token) -> Vec<Request> {
        let entry = self.random.below(self.entries.len());
        while !token.is_cancelled() {
            self.send(entry, Kind::Lookup).await;
            let idle_time = self.changes.lock().unwrap().last().map(|change| change.idle_time);
            let share = MIN_IDLE_SHARE + (MAX_IDLE_SHARE - MIN_IDLE_SHARE) * self.random.unit();
            tokio::select! {
                () = token.cancelled() => {}
                () = time::sleep(idle_time.unwrap_or_default().mul_f64(share)) => {}
            }
        }
        self.requests
    }

    /// Sends one request to one instance; returns whether it got a complete, successful response.
    pub async fn is_served(&mut self, entry: usize, kind: Kind) -> bool {
        self.send(entry, kind).await;
        let last = self.requests.last();
        last.is_some_and(|request| request.response.status == Some(200) && request.response.whole)
    }

    /// The requests sent so far.
    pub fn into_requests(self) -> Vec<Request> {
        self.requests
    }

    async fn send(&mut self, entry: usize, kind: Kind) -> Duration {
        let id = format!("{}-{}", self.name, self.requests.len());
        let sent = self.start.elapsed();
        let (response, kept_since) = self.call(entry, kind, &id).await;
        let ended = self.start.elapsed();
        let retry: Option<f64> =
            response.retry_after.as_ref().and_then(|retry_after| retry_after.parse().ok());
        self.requests.push(Request { id, kind, entry, sent, ended, kept_since, response });
        match retry.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()) {
            Some(retry) => retry.min(MAX_RETRY_AFTER),
            None => MEAN_PAUSE.mul_f64(2.0 * self.random.unit()),
        }
    }

    /// Returns the response and since when the connection was kept without a request.
    async fn call(
        &mut self,
        entry: usize,
        kind: Kind,
        id: &str,
    ) -> (client::Response, Option<Duration>) {
        let now = self.start.elapsed();
        let kept = self.connections.remove(&entry).filter(|(_, since)| {
            // Versions that were acknowledged count as in force after a fixed time; the checker knows the faults.
            idle::is_kept(&self.changes.lock().unwrap(), &[], *since, now)
        });
        let (connection, kept_since) = match kept {
            Some((connection, since)) => (Some(connection), Some(since)),
            None => (Connection::open(self.entries[entry]).await, None),
        };
        let Some(mut connection) = connection else {
            return (client::Response::default(), None);
        };
        let path = format!("/{kind}/{}", self.random.below(8));
        let response = if kind.is_stream() {
            connection.post(&path, &client::stream_headers(id), "prompt").await
        } else {
            connection.post(&path, &client::plain_headers(id), "body").await
        };
        if response.whole && connection.is_open().await {
            self.connections.insert(entry, (connection, self.start.elapsed()));
        }
        (response, kept_since)
    }
}
