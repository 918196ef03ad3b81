//! How many engines of a service compute prompts for the others, and which engine changes next.
//!
//! Answers a load whose prompts are long and whose answers are short: an engine that generates computes prompts at
//! half speed and holds up its streams meanwhile, so most engines compute prompts and few generate.

use std::cmp::{Ordering, Reverse};

use common::{collections::Map, name};
use fleet::registry::Stage;

/// Engines that always generate, so that the loss of one doesn't end the service.
const MIN_DECODE: usize = 2;
/// Engines that always compute prompts where there are enough for both.
const MIN_PREFILL: usize = 1;

/// An engine as the policy sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub target: name::Target,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// What it does, or will once a change under way has ended.
    pub stage: Stage,
}

/// A change of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub target: name::Target,
    /// What it should do.
    pub stage: Stage,
}

/// Number of engines that should compute prompts, of `engines` in all, for a wanted share.
#[allow(clippy::cast_sign_loss, clippy::cast_possible_truncation, reason = "a share of a count")]
pub fn prefill_count(engines: usize, share: f64) -> usize {
    let wanted = (engines as f64 * share).round() as usize;
    let limit = engines.saturating_sub(MIN_DECODE);
    wanted.max(MIN_PREFILL).min(limit)
}

/// The changes that lead to the wanted number, at most `limit`.
///
/// Each takes an engine of the data centre that has most engines of the stage that is too frequent, so that every
/// data centre keeps some of both.
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

/// An engine of this stage in the data centre that has most of them.
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
