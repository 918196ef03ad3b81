//! How long an engine takes for a prompt.

use fleet::{config, registry::Stage};

/// Prompt tokens that an engine computes in a millisecond; from the operators' sheet of their engines.
const TOKENS_PER_MS: f64 = 63.9;
/// Milliseconds for a million pairs of a new token and one before it; from the same sheet.
const MS_PER_MILLION_PAIRS: f64 = 0.367;
/// Milliseconds for one step of an engine's batch; from the same sheet.
const STEP_MS: f64 = 3.7;
/// Milliseconds before a fetch of a KV cache begins; from the same sheet.
const FETCH_SETUP_MS: f64 = 1.7;
/// An engine that generates computes prompts at half speed, and a step stands between two of its chunks.
const DECODE_FACTOR: f64 = 2.25;
/// Weight of a new observation of an engine's speed.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Bounds of what observations can change, so that one odd answer doesn't take an engine out.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.7..=4.0;
/// Predictions below this say little about the speed, in milliseconds.
const MIN_OBSERVED_MS: f64 = 20.0;
/// Bits of a megabit, in thousands: converts bytes over Mbit/s into milliseconds.
const BITS_PER_MBIT_MS: f64 = 1_000.0;
/// Transfers between data centres take twice as long.
const FAR_FACTOR: f64 = 2.0;

/// Whether a transfer stays in one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Both ends stand in the same data centre.
    Near,
    /// The ends stand in different data centres.
    Far,
}

/// Speed of one engine, learnt from its answers.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    slowdown: f64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed { slowdown: 1.0 }
    }
}

impl Speed {
    /// Milliseconds that an engine takes for `fresh` tokens after `cached` ones.
    pub fn prompt_ms(&self, stage: Option<Stage>, fresh: u64, cached: u64) -> f64 {
        let (fresh, cached) = (fresh as f64, cached as f64);
        let pairs = fresh * (cached + fresh / 2.0) / 1e6;
        let alone = fresh / TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS;
        let stage = if stage == Some(Stage::Prefill) { 1.0 } else { DECODE_FACTOR };
        alone * stage * self.slowdown
    }

    /// Takes in how long an engine took for what was predicted to take `predicted_ms`.
    pub fn record(&mut self, predicted_ms: f64, taken_ms: f64) {
        if predicted_ms < MIN_OBSERVED_MS {
            return;
        }
        let ratio = (taken_ms / predicted_ms).clamp(0.25, 4.0);
        let slowdown = self.slowdown * (1.0 + OBSERVATION_WEIGHT * (ratio - 1.0));
        self.slowdown = slowdown.clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
    }
}

/// Milliseconds until the first token once the prompt is computed.
pub fn first_step_ms() -> f64 {
    2.0 * STEP_MS
}

/// Milliseconds that generating `tokens` takes in a batch of `running` requests.
pub fn output_ms(tokens: u64, running: u64) -> f64 {
    tokens as f64 * (STEP_MS + 0.02 * running as f64)
}

/// Milliseconds that the KV cache of `tokens` takes from one engine to another.
pub fn transfer_ms(engine: &config::Engine, tokens: u64, distance: Distance) -> f64 {
    let bits = tokens as f64 * engine.kv_token_bytes as f64 * 8.0;
    let ms = bits / (engine.link_mbps.max(1) as f64 * BITS_PER_MBIT_MS);
    let far = if distance == Distance::Far { FAR_FACTOR } else { 1.0 };
    FETCH_SETUP_MS + ms * far
}
