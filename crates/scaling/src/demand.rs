//! Number of engines that a demand requires.

use std::time::Duration;

use common::clock::Moment;

use crate::input::{Demand, Rates};

/// Prompt tokens that an engine of speed 1 prefills in a second.
const PROMPT_TOKENS_PER_S: f64 = 62_400.0;
/// Output tokens that an engine of speed 1 generates in a second with a batch of 16: a step takes 6.55 ms and 0.165 ms
/// for each stream.
const OUTPUT_TOKENS_PER_S: f64 = 1_500.0;
/// Utilisation at which engines meet the latency objective: the load of a deployment with 140 engines needs a third of
/// them.
const UTILISATION: f64 = 0.33;
/// Age from which a demand isn't used any more. Reports of a window of 5 s reach the holder 2 s after its end.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Number of engines that serve a demand within the latency objective; `None` if the demand isn't known now.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and rates are not negative"
)]
pub(crate) fn engines(demand: Option<&Demand>, now: Moment) -> Option<u32> {
    let demand = demand.filter(|demand| now.since(demand.measured) < MAX_AGE)?;
    Some((busy_engines(&demand.rates) / UTILISATION).ceil() as u32)
}

/// Number of engines that are busy all the time with these rates.
fn busy_engines(rates: &Rates) -> f64 {
    rates.prompt_tokens / PROMPT_TOKENS_PER_S + rates.output_tokens / OUTPUT_TOKENS_PER_S
}
