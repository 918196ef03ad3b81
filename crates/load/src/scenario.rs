//! The description of a run: which requests are sent where and when.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the run, in seconds; the run then waits for the requests that were sent before its end.
    pub duration_s: f64,
    /// Maximum number of requests.
    pub max_requests: u32,
    /// The daemons' addresses for callers; each request is sent to one at random.
    pub callers: Vec<SocketAddr>,
    /// Control addresses; engines' roles are read each second from the first one that responds.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Addresses of stand-in plain services, whose number of runs by idempotency key is read at the end.
    #[serde(default)]
    pub plain: Vec<SocketAddr>,
    /// Maximum number of times that a caller sends a request again after a failed connection.
    #[serde(default)]
    pub resends: u32,
    /// The streams of requests.
    pub streams: Vec<Stream>,
}

/// Requests of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name in reports.
    pub name: String,
    /// API key that the callers send.
    pub key: String,
    /// Kind and size of the requests.
    pub shape: Shape,
    /// Rates, ordered by the time from which each applies.
    pub rates: Vec<Rate>,
    /// Time after which a caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Goal for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Goal for the 95th percentile of the gaps between output tokens of a response, in milliseconds.
    pub token_gap_ms: u64,
}

/// Kind and size of the requests of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum Shape {
    /// Streamed completions.
    Completion {
        /// Model that is requested.
        model: String,
        /// Tokens of the prompt that are unique to the request.
        prompt_tokens: Range,
        /// Number of output tokens.
        output_tokens: Range,
        /// Number of shared prefixes, of which each request uses one at random.
        #[serde(default)]
        prefixes: u32,
        /// Tokens of a shared prefix.
        #[serde(default)]
        prefix_tokens: u32,
    },
    /// Calls of a plain service, each with an idempotency key.
    Plain {
        /// Path of the calls.
        path: String,
        /// Size of the body, in bytes.
        body_bytes: Range,
    },
}

/// An inclusive range from which numbers are drawn uniformly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Lowest.
    pub from: u32,
    /// Highest.
    pub to: u32,
}

/// A request rate that applies from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// When it starts to apply, in seconds from the start of the run.
    pub at_s: f64,
    /// Requests per second.
    pub per_s: f64,
}

impl Stream {
    /// The rate that applies `at_s` seconds after the start of the run, in requests per second.
    pub fn rate(&self, at_s: f64) -> f64 {
        let started = self.rates.iter().rev().find(|rate| rate.at_s <= at_s);
        started.map_or(0.0, |rate| rate.per_s)
    }
}
