//! What a run sends, where and when.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A run of load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the run, in seconds; requests sent before its end are waited for.
    pub duration_s: f64,
    /// Requests at most.
    pub max_requests: u32,
    /// The daemons' addresses for callers; each request takes one at random.
    pub callers: Vec<SocketAddr>,
    /// Control addresses, from the first answering of which engines' roles are read each second.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Addresses of stand-in plain services, whose counts of runs by key are read at the end.
    #[serde(default)]
    pub plain: Vec<SocketAddr>,
    /// Times that a caller sends a request again after a broken connection.
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
    /// Key that the callers present.
    pub key: String,
    /// What is sent.
    pub shape: Shape,
    /// Rates from given times on.
    pub rates: Vec<Rate>,
    /// Time after which a caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Goal for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Goal for 95 in 100 gaps between tokens of an answer, in milliseconds.
    pub token_gap_ms: u64,
}

/// What the requests of a stream are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum Shape {
    /// Streamed completions.
    Completion {
        /// Model that is asked for.
        model: String,
        /// Tokens of the prompt that are the request's own.
        prompt_tokens: Range,
        /// Tokens of the answer.
        output_tokens: Range,
        /// Prefixes that requests share; each takes one at random.
        #[serde(default)]
        prefixes: u32,
        /// Tokens of a shared prefix.
        #[serde(default)]
        prefix_tokens: u32,
    },
    /// Calls of a plain service, each with an idempotency key.
    Plain {
        /// Path that is called.
        path: String,
        /// Bytes of the body.
        body_bytes: Range,
    },
}

/// A range of numbers, drawn from evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Lowest.
    pub from: u32,
    /// Highest.
    pub to: u32,
}

/// A rate from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// When it starts, in seconds from the start of the run.
    pub at_s: f64,
    /// Requests a second.
    pub per_s: f64,
}

impl Stream {
    /// The rate in force at a time of the run.
    pub fn rate(&self, at_s: f64) -> f64 {
        let started = self.rates.iter().rev().find(|rate| rate.at_s <= at_s);
        started.map_or(0.0, |rate| rate.per_s)
    }
}
