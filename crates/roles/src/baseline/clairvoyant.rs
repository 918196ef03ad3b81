//! Upper bound: the changes with the highest score if the whole trace is known in advance.
//!
//! Computed by backward dynamic programming over the steps; the state is the mix. In each step, up to
//! `changes_at_once` engines change and don't serve for the step. Dwell time and floors are ignored, so no controller
//! in the same model scores higher.

use common::role::Role;

use crate::{
    capacity::{Mix, Rates},
    simulation::Outcome,
    trace::Trace,
};

/// Parameters of the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Throughput of one engine.
    pub rates: Rates,
    /// Points for each request answered in time.
    pub weight: f64,
    /// Points that a change costs.
    pub price: f64,
    /// Maximum number of changes in one step.
    pub changes_at_once: u32,
}

/// Changes that start in the same step.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    /// Number of engines that leave prefill, decode and mixed.
    from: [u32; 3],
    /// Number of engines that take prefill, decode and mixed.
    to: [u32; 3],
    count: u32,
}

const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// Computes the changes with the highest score, from the mix `start`.
pub fn best(trace: &Trace, start: Mix, parameters: &Parameters) -> Outcome {
    let batches = batches(parameters.changes_at_once);
    let engines = start.total();
    let states = all_mixes(engines);
    let works = trace.work_by_step(parameters.rates);
    let mut future_values = vec![0.0; states.len()];
    let mut choices: Vec<Vec<u16>> = Vec::with_capacity(works.len());
    for (step, work) in trace.steps.iter().zip(&works).rev() {
        let mut values = vec![f64::NEG_INFINITY; states.len()];
        let mut choice = vec![0; states.len()];
        for (state, mix) in states.iter().enumerate() {
            for (index, batch) in (0..).zip(&batches) {
                let Some((serving, next)) = batch.apply(*mix) else { continue };
                let served = step.requests * serving.headroom(parameters.rates).served_share(*work);
                let value = parameters.weight * served - parameters.price * f64::from(batch.count)
                    + future_values[index_of(next, engines)];
                if value > values[state] {
                    values[state] = value;
                    choice[state] = index;
                }
            }
        }
        future_values = values;
        choices.push(choice);
    }
    choices.reverse();
    follow(trace, start, parameters, &batches, &choices)
}

/// Applies the best choices from `start` and collects the outcome.
fn follow(
    trace: &Trace,
    start: Mix,
    parameters: &Parameters,
    batches: &[Batch],
    choices: &[Vec<u16>],
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut mix = start;
    for choice in choices {
        let batch = batches[usize::from(choice[index_of(mix, start.total())])];
        let (serving, next) = batch.apply(mix).expect("invariant: a chosen batch can be made");
        outcome.mixes.push(serving);
        outcome.changes += batch.count;
        mix = next;
    }
    outcome.goodput = trace.goodput(&outcome.mixes, parameters.rates);
    outcome
}

impl Batch {
    /// The mix that serves during the step, and the one after it; `None` if a role has too few engines.
    fn apply(&self, mix: Mix) -> Option<(Mix, Mix)> {
        let serving = Mix {
            prefill: mix.prefill.checked_sub(self.from[0])?,
            decode: mix.decode.checked_sub(self.from[1])?,
            mixed: mix.mixed.checked_sub(self.from[2])?,
        };
        let mut next = serving;
        for (role, count) in ROLES.into_iter().zip(self.to) {
            next.add(role, count);
        }
        Some((serving, next))
    }

    /// The batch with one more change, between the roles with these indices in [`ROLES`].
    fn with_change(mut self, from: usize, to: usize) -> Batch {
        self.from[from] += 1;
        self.to[to] += 1;
        self.count += 1;
        self
    }

    fn is_same(&self, other: &Batch) -> bool {
        self.from == other.from && self.to == other.to
    }
}

/// All distinct batches of up to `limit` changes; the empty one comes first.
fn batches(limit: u32) -> Vec<Batch> {
    let mut all = vec![Batch::default()];
    let mut last = all.clone();
    for _ in 0..limit {
        let mut larger: Vec<Batch> = Vec::new();
        for batch in &last {
            for (from, to) in [(0, 1), (1, 0), (0, 2), (1, 2), (2, 0), (2, 1)] {
                let batch = batch.with_change(from, to);
                if !larger.iter().any(|other| other.is_same(&batch)) {
                    larger.push(batch);
                }
            }
        }
        all.extend_from_slice(&larger);
        last = larger;
    }
    all
}

/// All mixes of `engines` engines.
fn all_mixes(engines: u32) -> Vec<Mix> {
    let mut mixes = Vec::new();
    for prefill in 0..=engines {
        for decode in 0..=engines - prefill {
            mixes.push(Mix { prefill, decode, mixed: engines - prefill - decode });
        }
    }
    mixes
}

/// Index of a mix in [`all_mixes`].
fn index_of(mix: Mix, engines: u32) -> usize {
    let before = mix.prefill * (2 * engines + 3 - mix.prefill) / 2;
    usize::try_from(before + mix.decode).expect("invariant: usize holds 32 bits")
}
