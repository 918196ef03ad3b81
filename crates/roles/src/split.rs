//! Number of prefill engines of a service by a fixed share, and the changes that lead to it.
//!
//! Made for loads with long prompts and short outputs: a decode engine prefills at half speed and delays its streams
//! meanwhile, so most engines are prefill engines and few decode.

use std::cmp::{Ordering, Reverse};

use common::{collections::Map, name};
use fleet::registry::Stage;

/// Minimum number of decode engines, so that the loss of one doesn't end the service.
const MIN_DECODE: usize = 2;
/// Minimum number of prefill engines if there are enough engines for both stages.
const MIN_PREFILL: usize = 1;

/// An engine, as input of the policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Name of the engine.
    pub target: name::Target,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Its stage, or the one that it is changing to.
    pub stage: Stage,
}

/// A change of one engine's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the engine.
    pub target: name::Target,
    /// Its new stage.
    pub stage: Stage,
}

/// Number of prefill engines among `engines`, for a wanted share (0 to 1).
#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "a share of a count")]
pub fn prefill_count(engines: usize, share: f64) -> usize {
    let wanted = (engines as f64 * share).round() as usize;
    let limit = engines.saturating_sub(MIN_DECODE);
    wanted.max(MIN_PREFILL).min(limit)
}

/// The changes that lead to `wanted` prefill engines, at most `limit` of them.
///
/// Each changes an engine of the data centre with the most engines of the stage that has too many, so that the data
/// centres keep engines of both stages.
pub fn changes(engines: &[Engine], wanted: usize, limit: usize) -> Vec<Change> {
    let mut engines = engines.to_vec();
    engines.sort_by(|a, b| a.target.cmp(&b.target));
    let mut changes = Vec::new();
    while changes.len() < limit {
        let prefill = engines.iter().filter(|engine| engine.stage == Stage::Prefill).count();
        let (from, to) = match prefill.cmp(&wanted) {
            Ordering::Less => (Stage::Decode, Stage::Prefill),
            Ordering::Greater => (Stage::Prefill, Stage::Decode),
            Ordering::Equal => break,
        };
        let Some(position) = candidate(&engines, from) else {
            break;
        };
        engines[position].stage = to;
        changes.push(Change { target: engines[position].target.clone(), stage: to });
    }
    changes
}

/// Index of the first engine of a stage in the data centre that has the most of them.
fn candidate(engines: &[Engine], stage: Stage) -> Option<usize> {
    let mut counts: Map<&name::DataCentre, usize> = Map::default();
    for engine in engines.iter().filter(|engine| engine.stage == stage) {
        *counts.entry(&engine.data_centre).or_default() += 1;
    }
    let matching = engines.iter().enumerate().filter(|(_, engine)| engine.stage == stage);
    let first = matching.min_by_key(|(_, engine)| {
        (Reverse(counts.get(&engine.data_centre).copied()), &engine.data_centre)
    });
    first.map(|(position, _)| position)
}
