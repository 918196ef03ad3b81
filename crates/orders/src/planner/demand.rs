//! Demand of one pool, estimated from the counters of the data centre's instances and engines.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use roles::demand::{
    Load,
    estimator::{Estimator, Report},
};
use wire::{peer::Offered, target::Announcement};

/// Length of the intervals in which demand is summed up.
const INTERVAL: Duration = Duration::from_secs(10);
/// Longest delay with which counters arrive.
const DELAY: Duration = Duration::from_secs(5);
/// The increase of a counter is spread evenly over parts of this length, so that each falls into its interval.
const PART: Duration = Duration::from_secs(1);
/// Factor by which older token counts are weighted each time newer ones are added.
const DECAY: f64 = 0.95;

/// A process of an instance, which counts from its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    /// The instance.
    pub instance: name::Instance,
    /// Differs for each start of its process.
    pub incarnation: u64,
}

/// Measures the demand of one pool.
#[derive(Debug)]
pub struct Meter {
    estimator: Estimator,
    counts: Map<Process, Sample>,
    engines: Map<name::Target, Tokens>,
    output: Ratio,
    cached: Ratio,
}

#[derive(Debug)]
struct Sample {
    offered: Offered,
    at: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tokens {
    incarnation: u64,
    prompt: u64,
    cached: u64,
}

/// A ratio of two sums in which older summands are weighted down by [`DECAY`].
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    part: f64,
    whole: f64,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter {
            estimator: Estimator::new(INTERVAL, DELAY),
            counts: Map::default(),
            engines: Map::default(),
            output: Ratio::default(),
            cached: Ratio::default(),
        }
    }
}

impl Meter {
    /// Records an instance's counters. The first ones of a process only serve as the base of the next.
    pub fn count_offered(&mut self, process: &Process, offered: &Offered, now: Moment) {
        let sample = Sample { offered: offered.clone(), at: now };
        self.counts.retain(|other, _| other.instance != process.instance || other == process);
        let Some(before) = self.counts.insert(process.clone(), sample) else {
            return;
        };
        let grown = |now: u64, before: u64| number(now.saturating_sub(before));
        let last = &before.offered;
        self.output.add(
            grown(offered.output_tokens, last.output_tokens),
            grown(offered.answered, last.answered),
        );
        let requests = grown(offered.requests, last.requests);
        let prompt_tokens = grown(offered.prompt_tokens, last.prompt_tokens);
        let total = Report {
            at: before.at,
            requests,
            prompt_tokens,
            cached_tokens: prompt_tokens * self.cached.value(),
            output_tokens: requests * self.output.value(),
        };
        self.spread(&total, now);
    }

    /// Records an engine's token counters, for the share of prompt tokens that come from its cache.
    pub fn count_tokens(&mut self, target: &Announcement) {
        let tokens = Tokens {
            incarnation: target.incarnation,
            prompt: target.load.prompt_tokens,
            cached: target.load.cached_tokens,
        };
        let before = self.engines.insert(target.target.clone(), tokens);
        let Some(before) = before.filter(|before| before.incarnation == tokens.incarnation) else {
            return;
        };
        let cached = number(tokens.cached.saturating_sub(before.cached));
        let computed = number(tokens.prompt.saturating_sub(before.prompt));
        if cached + computed > 0.0 {
            self.cached.add(cached, cached + computed);
        }
    }

    /// The demand at `now`; `None` if the newest complete interval is too old.
    pub fn estimate(&self, now: Moment) -> Option<Load> {
        self.estimator.estimate(now)
    }

    fn spread(&mut self, total: &Report, now: Moment) {
        let span = now.since(total.at);
        let parts = (span.as_millis() / PART.as_millis()).max(1);
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        let share = f64::from(parts);
        for part in 0..parts {
            self.estimator.observe(&Report {
                at: total.at + span * (2 * part + 1) / (2 * parts),
                requests: total.requests / share,
                prompt_tokens: total.prompt_tokens / share,
                cached_tokens: total.cached_tokens / share,
                output_tokens: total.output_tokens / share,
            });
        }
    }
}

impl Ratio {
    fn add(&mut self, part: f64, whole: f64) {
        self.part = self.part * DECAY + part;
        self.whole = self.whole * DECAY + whole;
    }

    fn value(&self) -> f64 {
        if self.whole > 0.0 { self.part / self.whole } else { 0.0 }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens between two reports are small")]
fn number(count: u64) -> f64 {
    count as f64
}
