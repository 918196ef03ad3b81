//! What a request asks of the balancer and what it is told.

use std::time::Duration;

use common::name;
use fleet::{config, exchange::Part};

use crate::balancer::Key;

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [Part],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub output_tokens: u64,
    /// Time within which the answer is worth most, counted from now.
    pub target_latency: Duration,
    /// Time that is left.
    pub remaining: Duration,
    /// Targets that have failed or refused it.
    pub avoid: &'a [Key],
    /// Whether a failure could be repaired.
    pub retry: config::Retry,
    /// Where the prompt may be computed.
    pub prefill: Prefill,
}

/// Where a prompt may be computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prefill {
    /// At the target that generates, or at another engine before.
    Anywhere,
    /// At the target that generates.
    AtTarget,
}

/// What a request is told.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send it.
    Send(Plan),
    /// Refuse it at once; it did not run.
    Refuse(Refusal),
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The target that answers.
    pub target: Key,
    /// The engine that computes the prompt before.
    pub prefill: Option<Key>,
    /// The engine from which the one that computes the prompt first fetches what it lacks of the parts.
    pub prefix_source: Option<Key>,
    /// Tokens that have to be computed.
    pub uncached_tokens: u64,
    /// Tokens counted as held that are being computed for other requests.
    pub pending_tokens: u64,
    /// Time in which they are expected to be computed once begun, in milliseconds.
    pub prompt_ms: f64,
    /// When the first token is expected, in milliseconds on the instance's clock.
    pub first_token_at_ms: f64,
    /// What of that is no work of the engine that computes the prompt, in milliseconds.
    pub overhead_ms: f64,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth asking again.
    pub retry_after: Duration,
    /// When its first token would be expected at best; nothing if no target could take it.
    pub expected: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Reason {
    /// No target of the service can be used.
    #[display("no target")]
    NoTarget,
    /// The first token is expected too late.
    #[display("too late")]
    TooLate,
    /// Its targets refused it, and it may not be sent to another one.
    #[display("targets full")]
    TargetsFull,
}
