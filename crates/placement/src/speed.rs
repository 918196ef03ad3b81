//! Cost model of an engine: times of prefill, decode steps and KV cache transfers.

use fleet::{config, registry::Stage};

/// Prompt tokens that an engine prefills in a millisecond, without attention; from the operators' data sheet.
const TOKENS_PER_MS: f64 = 63.9;
/// Attention time in milliseconds for a million pairs of a new token and an earlier one; from the same sheet.
const MS_PER_MILLION_PAIRS: f64 = 0.367;
/// Duration of a decode step in milliseconds; from the same sheet.
const STEP_MS: f64 = 3.7;
/// Setup time of a KV cache transfer in milliseconds; from the same sheet.
const FETCH_SETUP_MS: f64 = 1.7;
/// Prefill slowdown of an engine that decodes: it prefills at half speed, with a decode step between two chunks.
const DECODE_FACTOR: f64 = 2.25;
/// Weight of a new observation in the moving average of an engine's slowdown.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Range of the slowdown, so that outliers don't keep all requests away from an engine.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.7..=4.0;
/// Shortest prediction that is compared with an observation, in milliseconds; shorter ones are mostly noise.
const MIN_OBSERVED_MS: f64 = 20.0;
/// Bits per millisecond at 1 Mbit/s.
const BITS_PER_MBIT_MS: f64 = 1_000.0;
/// Factor by which transfers between data centres take longer.
const FAR_FACTOR: f64 = 2.0;

/// Whether both ends of a transfer are in the same data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Both ends are in the same data centre.
    Near,
    /// The ends are in different data centres.
    Far,
}

/// Prefill speed of one engine, corrected by its observed prefill times.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Observed prefill time relative to the cost model.
    slowdown: f64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed { slowdown: 1.0 }
    }
}

impl Speed {
    /// Prefill time in milliseconds of `uncached` tokens that follow `cached` ones.
    pub fn prompt_ms(&self, stage: Option<Stage>, uncached: u64, cached: u64) -> f64 {
        let (uncached, cached) = (uncached as f64, cached as f64);
        let million_pairs = uncached * (cached + uncached / 2.0) / 1e6;
        let base_ms = uncached / TOKENS_PER_MS + million_pairs * MS_PER_MILLION_PAIRS;
        let stage_factor = if stage == Some(Stage::Prefill) { 1.0 } else { DECODE_FACTOR };
        base_ms * stage_factor * self.slowdown
    }

    /// Prefill time relative to the cost model.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Replaces the slowdown by the one that another instance has observed.
    pub fn observe(&mut self, slowdown: f64) {
        self.slowdown = slowdown.clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
    }

    /// Updates the slowdown by the observed time of work that was predicted to take `predicted_ms`.
    pub fn record(&mut self, predicted_ms: f64, taken_ms: f64) {
        if predicted_ms < MIN_OBSERVED_MS {
            return;
        }
        let ratio = (taken_ms / predicted_ms).clamp(0.25, 4.0);
        let slowdown = self.slowdown * (1.0 + OBSERVATION_WEIGHT * (ratio - 1.0));
        self.slowdown = slowdown.clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
    }
}

/// Time in milliseconds from the end of prefill to the first token.
pub fn first_step_ms() -> f64 {
    2.0 * STEP_MS
}

/// Time in milliseconds to decode `tokens` tokens in a batch of `running` requests.
pub fn output_ms(tokens: u64, running: u64) -> f64 {
    tokens as f64 * (STEP_MS + 0.02 * running as f64)
}

/// Time in milliseconds to transfer the KV cache of `tokens` tokens from one engine to another.
pub fn transfer_ms(engine: &config::Engine, tokens: u64, distance: Distance) -> f64 {
    let bits = tokens as f64 * engine.kv_token_bytes as f64 * 8.0;
    let ms = bits / (engine.link_mbps.max(1) as f64 * BITS_PER_MBIT_MS);
    let distance_factor = if distance == Distance::Far { FAR_FACTOR } else { 1.0 };
    FETCH_SETUP_MS + ms * distance_factor
}
