//! Disaggregated serving: whether a prefill engine computes a prompt and hands its KV cache to the engine that decodes.

use std::time::Duration;

/// Minimum number of uncached prompt tokens for disaggregation; prompts with fewer stay on one engine.
pub const MIN_TOKENS: u64 = 1_000;
const MS_PER_SECOND: f64 = 1_000.0;

/// Cost of moving a KV cache between two engines.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Size of the KV cache of one prompt token, in bytes.
    pub bytes_per_token: f64,
    /// Bandwidth between two engines, in bytes per second.
    pub bytes_per_second: f64,
    /// Duration of the two additional calls: export and import.
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

/// Inputs of the time that one engine takes to compute a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Compute {
    /// Prompt tokens that are not in the engine's prefix cache.
    pub tokens: u64,
    /// Prompt tokens of other requests that the engine computes first.
    pub queued_tokens: u64,
    /// Time to compute one prompt token, in milliseconds.
    pub ms_per_token: f64,
}

impl Compute {
    /// Expected time until the prompt is computed, in milliseconds.
    pub fn duration_ms(&self) -> f64 {
        (self.tokens + self.queued_tokens) as f64 * self.ms_per_token
    }
}

/// Where a prompt is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// On the engine that decodes.
    Local,
    /// On a prefill engine, whose KV cache the decoding engine then imports.
    Disaggregated,
}

/// Compares computing the prompt on the decoding engine (`local`) with computing it on a prefill engine (`remote`) and
/// moving its KV cache.
///
/// The KV cache of the whole prompt is moved, also of a prefix that is cached locally; a cached prefix therefore
/// favours [`Plan::Local`].
pub fn decide(local: &Compute, remote: &Compute, prompt_tokens: u64, transfer: &Transfer) -> Plan {
    if local.tokens < MIN_TOKENS {
        return Plan::Local;
    }
    let bytes = prompt_tokens as f64 * transfer.bytes_per_token;
    let transfer_ms = bytes / transfer.bytes_per_second * MS_PER_SECOND;
    let setup_ms = transfer.setup.as_secs_f64() * MS_PER_SECOND;
    if remote.duration_ms() + transfer_ms + setup_ms < local.duration_ms() {
        Plan::Disaggregated
    } else {
        Plan::Local
    }
}
