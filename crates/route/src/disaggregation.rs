//! Whether a prompt is computed on one engine and generated from on another.

use std::time::Duration;

/// Prompts with fewer tokens to compute than this stay on one engine.
pub const MIN_TOKENS: u64 = 1_000;
const MS_PER_SECOND: f64 = 1_000.0;

/// What a KV cache weighs and how fast it moves between engines.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Bytes of KV cache for each token of the prompt.
    pub bytes_per_token: f64,
    /// Bytes a second between two engines.
    pub bytes_per_second: f64,
    /// Time of the two extra calls.
    pub setup: Duration,
}

impl Default for Transfer {
    fn default() -> Transfer {
        Transfer {
            bytes_per_token: 70_000.0,
            bytes_per_second: 3.0e9,
            setup: Duration::from_millis(5),
        }
    }
}

/// Time to compute a prompt on one engine.
#[derive(Clone, Copy, Debug)]
pub struct Compute {
    /// Prompt tokens that the engine has no cached piece for.
    pub tokens: u64,
    /// Prompt tokens queued before them.
    pub queued_tokens: u64,
    /// Milliseconds for each prompt token.
    pub ms_per_token: f64,
}

impl Compute {
    /// Expected time, in milliseconds.
    pub fn duration_ms(&self) -> f64 {
        (self.tokens + self.queued_tokens) as f64 * self.ms_per_token
    }
}

/// Where a prompt is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// On the engine that generates.
    Local,
    /// On a prefill engine, whose KV cache is then imported.
    Disaggregated,
}

/// Compares computing the prompt `here` with computing it `there` and moving its KV cache.
///
/// The whole prompt's cache moves, so a prefix that is cached here makes a transfer pay less.
pub fn decide(here: &Compute, there: &Compute, prompt_tokens: u64, transfer: &Transfer) -> Plan {
    if here.tokens < MIN_TOKENS {
        return Plan::Local;
    }
    let bytes = prompt_tokens as f64 * transfer.bytes_per_token;
    let move_ms = bytes / transfer.bytes_per_second * MS_PER_SECOND;
    let setup_ms = transfer.setup.as_secs_f64() * MS_PER_SECOND;
    if there.duration_ms() + move_ms + setup_ms < here.duration_ms() {
        Plan::Disaggregated
    } else {
        Plan::Local
    }
}
