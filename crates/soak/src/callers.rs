//! Callers that keep their connections open until the other side closes them.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, collections::Map, random::Random};
use platform_standin::client::{self, Connection};
use tokio::time::{self, Instant};

use crate::history::{Kind, Request};

/// Mean pause between two requests of a caller.
const MEAN_PAUSE: Duration = Duration::from_millis(60);
/// Upper limit on the `retry-after` time that a refused caller waits.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A caller.
#[derive(Debug)]
pub struct Caller {
    name: String,
    entries: Vec<SocketAddr>,
    connections: Map<usize, Connection>,
    random: Random,
    start: Instant,
    requests: Vec<Request>,
}

impl Caller {
    /// Creates a caller of the instances at `entries`; times are measured from `start`.
    pub fn new(name: &str, entries: Vec<SocketAddr>, seed: u64, start: Instant) -> Caller {
        Caller {
            name: String::from(name),
            entries,
            connections: Map::default(),
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
        let response = self.call(entry, kind, &id).await;
        let ended = self.start.elapsed();
        let retry: Option<f64> =
            response.retry_after.as_ref().and_then(|retry_after| retry_after.parse().ok());
        self.requests.push(Request { id, kind, entry, sent, ended, response });
        match retry.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()) {
            Some(retry) => retry.min(MAX_RETRY_AFTER),
            None => MEAN_PAUSE.mul_f64(2.0 * self.random.unit()),
        }
    }

    async fn call(&mut self, entry: usize, kind: Kind, id: &str) -> client::Response {
        let kept = self.connections.remove(&entry);
        let connection = match kept {
            Some(connection) => Some(connection),
            None => Connection::open(self.entries[entry]).await,
        };
        let Some(mut connection) = connection else {
            return client::Response::default();
        };
        let path = format!("/{kind}/{}", self.random.below(8));
        let response = if kind.is_stream() {
            connection.post(&path, &client::stream_headers(id), "prompt").await
        } else {
            connection.post(&path, &client::plain_headers(id), "body").await
        };
        if response.whole {
            self.connections.insert(entry, connection);
        }
        response
    }
}
