//! Callers that keep their connections until the process at the other end is gone.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, collections::Map, random::Random};
use platform_standin::client::{self, Connection};
use tokio::time::{self, Instant};

use crate::history::{Attempt, Kind};

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(60);
/// A caller that was refused comes back after the time it was told, at most this.
const MAX_RETRY: Duration = Duration::from_millis(500);

/// A caller.
#[derive(Debug)]
pub struct Caller {
    name: String,
    entries: Vec<SocketAddr>,
    connections: Map<usize, Connection>,
    random: Random,
    start: Instant,
    attempts: Vec<Attempt>,
}

impl Caller {
    /// A caller of these instances; times are counted from `start`.
    pub fn new(name: &str, entries: Vec<SocketAddr>, seed: u64, start: Instant) -> Caller {
        Caller {
            name: String::from(name),
            entries,
            connections: Map::default(),
            random: Random::new(seed),
            start,
            attempts: Vec::new(),
        }
    }

    /// Calls until the token is cancelled; returns all attempts.
    pub async fn run(mut self, token: cancel::Token) -> Vec<Attempt> {
        while !token.is_cancelled() {
            let entry = self.random.below(self.entries.len());
            let kind = Kind::ALL[self.random.below(Kind::ALL.len())];
            let pause = self.attempt(entry, kind).await;
            time::sleep(pause).await;
        }
        self.attempts
    }

    /// Makes one attempt at one instance; returns whether it was served whole.
    pub async fn is_served(&mut self, entry: usize, kind: Kind) -> bool {
        self.attempt(entry, kind).await;
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.answer.status == Some(200) && attempt.answer.whole)
    }

    /// All attempts so far.
    pub fn into_attempts(self) -> Vec<Attempt> {
        self.attempts
    }

    async fn attempt(&mut self, entry: usize, kind: Kind) -> Duration {
        let id = format!("{}-{}", self.name, self.attempts.len());
        let sent = self.start.elapsed();
        let answer = self.call(entry, kind, &id).await;
        let ended = self.start.elapsed();
        let retry: Option<f64> =
            answer.retry_after.as_ref().and_then(|retry_after| retry_after.parse().ok());
        self.attempts.push(Attempt { id, kind, entry, sent, ended, answer });
        match retry.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()) {
            Some(retry) => retry.min(MAX_RETRY),
            None => PAUSE.mul_f64(2.0 * self.random.unit()),
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
        let answer = if kind.is_stream() {
            connection.post(&path, &client::stream_headers(id), "prompt").await
        } else {
            connection.post(&path, &client::plain_headers(id), "body").await
        };
        if answer.whole {
            self.connections.insert(entry, connection);
        }
        answer
    }
}
