//! The report of a run, as text for people, JSON for programs and a page with plots.

mod page;
mod text;

use std::collections::BTreeMap;

use common::{name, role::Role};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    call::{Outcome, Verdict},
    scenario::{Scenario, Stream},
};

const MS_PER_SECOND: u64 = 1_000;
/// Highest latency that is recorded, in milliseconds; longer ones count as this.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// Number of significant digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of failed requests that a report describes.
const MAX_FAULTS: usize = 20;

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub duration_s: f64,
    /// Summary of each stream.
    pub streams: Vec<Summary>,
    /// The requests by the second in which they were due.
    pub seconds: Vec<Second>,
    /// Changes of engines' roles.
    pub changes: Vec<Change>,
    /// Idempotency keys that ran more than once.
    pub doubled: Vec<String>,
    /// Number of refused requests by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Descriptions of the first failed requests.
    pub faults: Vec<String>,
}

/// The outcomes of a stream's requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the stream.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Complete responses.
    pub whole: u64,
    /// Complete responses that met the latency goals.
    pub in_time: u64,
    /// Requests that were refused and did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub may_have_run: u64,
    /// Responses of another request, or with a token twice or out of order.
    pub wrong: u64,
    /// Responses that ended early.
    pub cut: u64,
    /// Connections that failed before a response began.
    pub broken: u64,
    /// Responses that were not complete by the deadline.
    pub late: u64,
    /// Other responses.
    pub other: u64,
    /// Requests that were sent again after a failed connection.
    pub resent: u64,
    /// Time to the first token, in milliseconds.
    pub first_ms: Quantiles,
    /// Time to the end, in milliseconds.
    pub total_ms: Quantiles,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// 50th percentile.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests due.
    pub sent: u64,
    /// Of these, those whose complete response met the latency goals.
    pub in_time: u64,
    /// Of these, those that were refused.
    pub refused: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: u64,
}

/// A change of an engine's role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Second of the run in which it was observed.
    pub at_s: u64,
    /// The engine.
    pub target: name::Target,
    /// Its new role.
    pub role: Role,
}

impl Report {
    /// Summarises a run; `runs` is the number of runs by idempotency key that plain services counted.
    pub fn new(
        scenario: &Scenario,
        outcomes: &[Outcome],
        changes: Vec<Change>,
        runs: &BTreeMap<String, u64>,
    ) -> Report {
        let streams = scenario.streams.iter().enumerate();
        let streams = streams.map(|(index, stream)| {
            Summary::new(stream, outcomes.iter().filter(|outcome| outcome.stream == index))
        });
        let doubled = runs.iter().filter(|(_, count)| **count > 1).map(|(key, _)| key.clone());
        Report {
            seed: scenario.seed,
            duration_s: scenario.duration_s,
            streams: streams.collect(),
            seconds: seconds(scenario, outcomes),
            changes,
            doubled: doubled.collect(),
            refusals: refusals(outcomes),
            faults: faults(scenario, outcomes),
        }
    }

    /// Whether every request got a complete response, was refused without running, or was reported to have perhaps run,
    /// and no idempotency key ran twice.
    pub fn is_clean(&self) -> bool {
        let is_clean = |stream: &Summary| {
            stream.wrong + stream.cut + stream.broken + stream.late + stream.other == 0
        };
        self.doubled.is_empty() && self.streams.iter().all(is_clean)
    }

    /// The report as text for people.
    pub fn text(&self) -> String {
        text::render(self)
    }

    /// The report as an HTML page without external resources.
    pub fn page(&self) -> String {
        page::render(self)
    }
}

impl Summary {
    fn new<'a>(stream: &Stream, outcomes: impl Iterator<Item = &'a Outcome>) -> Summary {
        let mut summary = Summary { name: stream.name.clone(), ..Summary::default() };
        let (mut first, mut total) = (Latency::new(), Latency::new());
        for outcome in outcomes {
            summary.count(stream, outcome);
            if outcome.verdict.is_whole() {
                total.record(outcome.total_ms);
                first.record(outcome.first_ms.unwrap_or(outcome.total_ms));
            }
        }
        Summary { first_ms: first.quantiles(), total_ms: total.quantiles(), ..summary }
    }

    fn count(&mut self, stream: &Stream, outcome: &Outcome) {
        self.sent += 1;
        self.resent += u64::from(outcome.resends > 0);
        self.in_time += u64::from(outcome.is_in_time(stream));
        let counter = match outcome.verdict {
            Verdict::Whole => &mut self.whole,
            Verdict::NotRun(_) => &mut self.not_run,
            Verdict::MayHaveRun => &mut self.may_have_run,
            Verdict::Wrong(_) => &mut self.wrong,
            Verdict::Cut(_) => &mut self.cut,
            Verdict::Broken(_) => &mut self.broken,
            Verdict::Late => &mut self.late,
            Verdict::Other(_) => &mut self.other,
        };
        *counter += 1;
    }
}

struct Latency(Histogram<u64>);

impl Latency {
    fn new() -> Latency {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
        Latency(histogram.expect("invariant: the bounds and digits are in the allowed range"))
    }

    fn record(&mut self, milliseconds: u64) {
        self.0.saturating_record(milliseconds);
    }

    fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50: self.0.value_at_quantile(0.5),
            p95: self.0.value_at_quantile(0.95),
            p99: self.0.value_at_quantile(0.99),
            max: self.0.max(),
        }
    }
}

fn seconds(scenario: &Scenario, outcomes: &[Outcome]) -> Vec<Second> {
    let mut by_second: BTreeMap<u64, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        by_second.entry(outcome.at_ms / MS_PER_SECOND).or_default().push(outcome);
    }
    let last = by_second.keys().last().copied().unwrap_or_default();
    (0..=last).map(|at| second(scenario, by_second.get(&at).map_or(&[], Vec::as_slice))).collect()
}

fn second(scenario: &Scenario, outcomes: &[&Outcome]) -> Second {
    let mut second = Second::default();
    let mut first = Latency::new();
    for outcome in outcomes {
        second.sent += 1;
        second.in_time += u64::from(outcome.is_in_time(&scenario.streams[outcome.stream]));
        second.refused += u64::from(outcome.verdict.is_not_run());
        if let Some(first_ms) = outcome.first_ms {
            first.record(first_ms);
        }
    }
    Second { first_p95_ms: first.quantiles().p95, ..second }
}

fn refusals(outcomes: &[Outcome]) -> BTreeMap<String, u64> {
    let mut refusals = BTreeMap::new();
    for outcome in outcomes {
        if let Verdict::NotRun(reason) = &outcome.verdict {
            *refusals.entry(reason.clone()).or_default() += 1;
        }
    }
    refusals
}

fn faults(scenario: &Scenario, outcomes: &[Outcome]) -> Vec<String> {
    let is_fault = |outcome: &&Outcome| {
        !matches!(outcome.verdict, Verdict::Whole | Verdict::NotRun(_) | Verdict::MayHaveRun)
    };
    let faults = outcomes.iter().filter(is_fault).take(MAX_FAULTS);
    let words = faults.map(|outcome| {
        let name = &scenario.streams[outcome.stream].name;
        format!("{name} at {} ms after {} ms: {}", outcome.at_ms, outcome.total_ms, outcome.verdict)
    });
    words.collect()
}
