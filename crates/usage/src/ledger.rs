//! Merges the reports of all entry instances.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use fleet::usage::{Collection, Counts, Report, Source, Totals};

use crate::Demand;

/// Windows before the current one whose counts are kept; the platform takes reports of no more.
pub const KEPT_WINDOWS: u64 = 30;
/// Windows after the current one that are accepted, as clocks differ slightly.
const MAX_WINDOWS_AHEAD: u64 = 1;
/// Time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(4);
/// Time after which a process that reports nothing no longer counts for the demand.
const SILENT_AFTER: Duration = Duration::from_secs(6);
/// Time after which a process that reports nothing is forgotten with its demand.
const FORGET_AFTER: Duration = Duration::from_secs(15);
/// Time between two removals of what is no longer needed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Least time between two samples that are kept of a process's totals.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(400);

/// What is known of the counts of all entry instances.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, Map<Source, Counted>>,
    sources: Map<Source, Reporter>,
    /// When silent processes were last forgotten.
    swept_at: Moment,
}

/// What a process has counted in a window.
#[derive(Clone, Debug, Default)]
struct Counted {
    counts: Counts,
    /// True time up to which another control instance had what the process counted, when it passed the counts on; in
    /// milliseconds since the Unix epoch.
    known_until_unix_ms: u64,
}

/// What is known of a process.
#[derive(Clone, Debug, Default)]
struct Reporter {
    /// True time of the latest report that it sent here, in milliseconds since the Unix epoch: what it counted until then,
    /// in all windows, is known. What other control instances pass on says that of some windows only.
    reported_until_unix_ms: u64,
    /// Its totals at several moments, the oldest first.
    samples: VecDeque<Sample>,
}

#[derive(Clone, Debug)]
struct Sample {
    at: Moment,
    services: Vec<(name::Service, Totals)>,
}

impl Ledger {
    /// Merges the report of a process, of which each count is the largest that was reported. Windows that are too far
    /// from the current one are ignored.
    pub fn merge(&mut self, report: &Report, current_window: u64, now: Moment) {
        self.add(report, current_window, now);
        let reporter = self.sources.entry(report.source.clone()).or_default();
        reporter.reported_until_unix_ms = reporter.reported_until_unix_ms.max(report.at_unix_ms);
        self.sweep(current_window, now);
    }

    /// Merges what another control instance keeps of some windows.
    pub fn merge_collection(
        &mut self,
        collection: &Collection,
        windows: &[u64],
        current_window: u64,
        now: Moment,
    ) {
        for report in &collection.reports {
            self.add(report, current_window, now);
            for window in windows {
                let sources = self.windows.entry(*window).or_default();
                let known = sources.entry(report.source.clone()).or_default();
                known.known_until_unix_ms = known.known_until_unix_ms.max(report.at_unix_ms);
            }
        }
        self.sweep(current_window, now);
    }

    fn add(&mut self, report: &Report, current_window: u64, now: Moment) {
        let oldest = current_window.saturating_sub(KEPT_WINDOWS);
        let kept = oldest..=current_window + MAX_WINDOWS_AHEAD;
        for (window, counts) in report.windows.iter().filter(|(window, _)| kept.contains(window)) {
            let sources = self.windows.entry(*window).or_default();
            let known = &mut sources.entry(report.source.clone()).or_default().counts;
            for (organisation, count) in counts {
                let known = known.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        let reporter = self.sources.entry(report.source.clone()).or_default();
        reporter.add_sample(Sample {
            at: now - Duration::from_millis(report.age_ms),
            services: report.services.clone(),
        });
    }

    fn sweep(&mut self, current_window: u64, now: Moment) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.windows = self.windows.split_off(&current_window.saturating_sub(KEPT_WINDOWS));
        self.sources.retain(|_, reporter| !reporter.is_silent(now, FORGET_AFTER));
    }

    /// What the ledger has of some windows, for another ledger.
    pub fn collection(&self, windows: &[u64], now: Moment) -> Collection {
        let report = |(source, reporter): (&Source, &Reporter)| {
            let last = reporter.samples.back()?;
            let counts = windows.iter().filter_map(|window| {
                Some((*window, self.windows.get(window)?.get(source)?.counts.clone()))
            });
            Some(Report {
                source: source.clone(),
                at_unix_ms: reporter.reported_until_unix_ms,
                age_ms: u64::try_from(now.since(last.at).as_millis()).unwrap_or(u64::MAX),
                windows: counts.collect(),
                services: last.services.clone(),
            })
        };
        Collection { reports: self.sources.iter().filter_map(report).collect() }
    }

    /// Counts of a window, of all entry instances.
    pub fn counts(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        let counted = self.windows.get(&window).into_iter().flat_map(Map::values);
        for (organisation, count) in counted.flat_map(|counted| &counted.counts) {
            *sum.entry(organisation.clone()).or_default() += count;
        }
        sum
    }

    /// Whether what all known processes counted in a window is known up to its end at `end_unix_ms`, true time.
    pub fn is_complete(&self, window: u64, end_unix_ms: u64) -> bool {
        let sources = self.windows.get(&window);
        self.sources.iter().all(|(source, reporter)| {
            let passed_on = sources.and_then(|sources| sources.get(source));
            let passed_on = passed_on.map_or(0, |counted| counted.known_until_unix_ms);
            reporter.reported_until_unix_ms.max(passed_on) >= end_unix_ms
        })
    }

    /// Number of processes that are known.
    pub fn sources(&self) -> usize {
        self.sources.len()
    }

    /// Demand for a service over the last seconds; `None` unless a process has reported lately.
    pub fn demand(&self, service: &name::Service, now: Moment) -> Option<Demand> {
        let reporting =
            self.sources.values().filter(|reporter| !reporter.is_silent(now, SILENT_AFTER));
        reporting.map(|reporter| reporter.demand(service, now)).reduce(|sum, demand| Demand {
            requests_per_s: sum.requests_per_s + demand.requests_per_s,
            prompt_tokens_per_s: sum.prompt_tokens_per_s + demand.prompt_tokens_per_s,
            output_tokens_per_s: sum.output_tokens_per_s + demand.output_tokens_per_s,
            age: sum.age.max(demand.age),
        })
    }

    /// The services for which there was demand, in order.
    pub fn services(&self) -> Vec<name::Service> {
        let last = self.sources.values().filter_map(|reporter| reporter.samples.back());
        let services = last.flat_map(|sample| &sample.services);
        let mut services: Vec<name::Service> =
            services.map(|(service, _)| service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }
}

impl Reporter {
    /// Adds a sample, unless it is older than the latest one or a copy of it. The latest one is replaced if it was taken
    /// shortly after the one before.
    fn add_sample(&mut self, sample: Sample) {
        if self.samples.back().is_some_and(|last| sample.at <= last.at) {
            return;
        }
        let before = self.samples.len().checked_sub(2).and_then(|index| self.samples.get(index));
        let replaces_last = before.is_some_and(|before| {
            self.samples.back().is_some_and(|last| last.at.since(before.at) < SAMPLE_INTERVAL)
        });
        if replaces_last {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        while let (Some(second), Some(last)) = (self.samples.get(1), self.samples.back())
            && last.at.since(second.at) >= DEMAND_SPAN
        {
            self.samples.pop_front();
        }
    }

    fn is_silent(&self, now: Moment, limit: Duration) -> bool {
        self.samples.back().is_none_or(|last| now.since(last.at) > limit)
    }

    fn demand(&self, service: &name::Service, now: Moment) -> Demand {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return Demand::default();
        };
        let seconds = last.at.since(first.at).as_secs_f64();
        let rate = |count: fn(&Totals) -> u64| {
            let growth = count(&last.totals(service)).saturating_sub(count(&first.totals(service)));
            if seconds > 0.0 { growth as f64 / seconds } else { 0.0 }
        };
        Demand {
            requests_per_s: rate(|totals| totals.requests),
            prompt_tokens_per_s: rate(|totals| totals.prompt_tokens),
            output_tokens_per_s: rate(|totals| totals.output_tokens),
            age: now.since(last.at),
        }
    }
}

impl Sample {
    fn totals(&self, service: &name::Service) -> Totals {
        let known = self.services.iter().find(|(name, _)| name == service);
        known.map(|(_, totals)| *totals).unwrap_or_default()
    }
}
