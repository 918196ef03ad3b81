//! Estimates one pool's demand from reports that may be late.
//!
//! Reports are sorted into intervals by the time they speak of. The estimate is the mean over the longest
//! window whose shorter windows agree with it within the noise, so a step is followed within a few intervals
//! while noise is averaged out. The idea is that of ADWIN (Bifet and Gavaldà, "Learning from Time-Changing Data
//! with Adaptive Windowing", 2007) with window lengths in powers of two.
//!
//! The shifts of the last hour tell how long the demand can be expected to stay as it is.

use std::{collections::VecDeque, time::Duration};

use common::clock::Moment;

use super::{Estimate, Load, Sample};

/// Time that intervals are kept for, in seconds.
const RETENTION_S: u64 = 3_600;
/// Longest window, in intervals.
const MAX_WINDOW_INTERVALS: usize = 32;
/// Samples of the past that an estimate carries at most.
const MAX_SAMPLES: usize = 60;
/// Intervals on either side of a possible shift that are compared.
const SHIFT_INTERVALS: usize = 3;
/// Least difference of a shift, as a part of the demand.
const MIN_SHIFT_SHARE: f64 = 0.15;
/// Shifts that are counted beforehand in each memory.
const PRIOR_SHIFTS: f64 = 0.5;
/// Shortest window, in intervals.
const MIN_WINDOW_INTERVALS: usize = 2;
/// Standard errors by which a shorter window may differ before longer ones are given up.
const AGREEMENT_ERRORS: f64 = 3.0;
/// Spread of the tokens of single requests: mean of the square over the square of the mean.
const SIZE_SECOND_MOMENT: f64 = 1.5;

/// What callers offered to a pool in a span of time, as one instance saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Middle of the span.
    pub at: Moment,
    /// Requests that arrived, the refused ones included.
    pub requests: f64,
    /// Their prompt tokens.
    pub prompt_tokens: f64,
    /// Part of the prompt tokens that was found in a prefix cache.
    pub cached_tokens: f64,
    /// Their output tokens.
    pub output_tokens: f64,
}

/// Collects the reports of one pool.
#[derive(Clone, Debug)]
pub struct Estimator {
    interval: Duration,
    lag: Duration,
    intervals: VecDeque<Interval>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    start: Moment,
    requests: f64,
    prefill: f64,
    decode: f64,
}

#[derive(Clone, Copy)]
enum Kind {
    Requests,
    Prefill,
    Decode,
}

impl Estimator {
    /// Makes an estimator for reports by `interval` that arrive up to `lag` late.
    pub fn new(interval: Duration, lag: Duration) -> Estimator {
        Estimator { interval, lag, intervals: VecDeque::new() }
    }

    /// Takes a report in, however late; one older than all kept intervals is dropped.
    pub fn observe(&mut self, report: &Report) {
        let start = self.start_of(report.at);
        let index = self.intervals.partition_point(|interval| interval.start < start);
        if self.intervals.get(index).is_none_or(|interval| interval.start != start) {
            self.intervals.insert(index, Interval { start, ..Interval::default() });
        }
        let interval = &mut self.intervals[index];
        interval.requests += report.requests;
        interval.prefill += (report.prompt_tokens - report.cached_tokens).max(0.0);
        interval.decode += report.output_tokens;
        let newest = self.intervals.back().map_or(start, |interval| interval.start);
        let oldest = newest - Duration::from_secs(RETENTION_S);
        while self.intervals.front().is_some_and(|interval| interval.start < oldest) {
            self.intervals.pop_front();
        }
    }

    /// The demand at `now`, or `None` when the newest complete interval is too old.
    pub fn estimate(&self, now: Moment) -> Option<Load> {
        let complete: Vec<Interval> = self
            .intervals
            .iter()
            .filter(|interval| interval.start + self.interval + self.lag <= now)
            .copied()
            .collect();
        let newest = complete.last()?;
        if now.since(newest.start) > self.stale_after() {
            return None;
        }
        let recent = &complete[complete.len().saturating_sub(MAX_WINDOW_INTERVALS)..];
        Some(Load {
            requests: self.rate(recent, Kind::Requests).mean,
            prefill: self.rate(recent, Kind::Prefill),
            decode: self.rate(recent, Kind::Decode),
            persistence_s: persistence(&complete),
            past: self.samples(&complete),
        })
    }

    fn samples(&self, complete: &[Interval]) -> Vec<Sample> {
        let length = complete.len().div_ceil(MAX_SAMPLES).max(1);
        complete
            .chunks(length)
            .map(|chunk| {
                let seconds = self.interval.as_secs_f64() * count(chunk.len());
                let sum = |kind| chunk.iter().map(|interval| interval.value(kind)).sum::<f64>();
                Sample {
                    requests: sum(Kind::Requests) / seconds,
                    prefill: sum(Kind::Prefill) / seconds,
                    decode: sum(Kind::Decode) / seconds,
                }
            })
            .collect()
    }

    fn rate(&self, complete: &[Interval], kind: Kind) -> Estimate {
        let values: Vec<f64> = complete.iter().map(|interval| interval.value(kind)).collect();
        let noise = interval_noise(&values).max(counting_noise(complete, &values));
        let window = agreeing_window(&values, noise);
        let seconds = self.interval.as_secs_f64();
        let deviation = noise * (1.0 + 1.0 / count(window.len())).sqrt();
        Estimate { mean: mean(window) / seconds, deviation: deviation / seconds }
    }

    fn start_of(&self, at: Moment) -> Moment {
        let width = self.width_ms();
        Moment(at.0 / width * width)
    }

    fn width_ms(&self) -> u64 {
        u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX).max(1)
    }

    fn stale_after(&self) -> Duration {
        self.interval * 6 + self.lag * 2
    }
}

impl Interval {
    fn value(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Requests => self.requests,
            Kind::Prefill => self.prefill,
            Kind::Decode => self.decode,
        }
    }
}

/// Seconds between the shifts of either kind, from their number in the memory.
fn persistence(complete: &[Interval]) -> f64 {
    let shifts = |kind| {
        let values: Vec<f64> = complete.iter().map(|interval| interval.value(kind)).collect();
        count_shifts(&values, interval_noise(&values).max(counting_noise(complete, &values)))
    };
    let shifts = shifts(Kind::Prefill).max(shifts(Kind::Decode));
    Duration::from_secs(RETENTION_S).as_secs_f64() / (PRIOR_SHIFTS + count(shifts))
}

/// Number of places where the means of the intervals before and after differ by more than the noise.
fn count_shifts(values: &[f64], noise: f64) -> usize {
    let error = noise * (2.0 / count(SHIFT_INTERVALS)).sqrt();
    let mut index = SHIFT_INTERVALS;
    let mut shifts = 0;
    while index + SHIFT_INTERVALS <= values.len() {
        let before = mean(&values[index - SHIFT_INTERVALS..index]);
        let after = mean(&values[index..index + SHIFT_INTERVALS]);
        let threshold = (AGREEMENT_ERRORS * error).max(MIN_SHIFT_SHARE * before.max(after));
        if (after - before).abs() > threshold {
            shifts += 1;
            index += SHIFT_INTERVALS;
        } else {
            index += 1;
        }
    }
    shifts
}

/// Longest suffix of `values` that the means of all its shorter suffixes agree with.
fn agreeing_window(values: &[f64], noise: f64) -> &[f64] {
    let mut window = &values[values.len().saturating_sub(MIN_WINDOW_INTERVALS)..];
    while window.len() < values.len() {
        let start = values.len().saturating_sub(window.len() * 2);
        let older = &values[start..values.len() - window.len()];
        let error = noise * (1.0 / count(older.len()) + 1.0 / count(window.len())).sqrt();
        if (mean(older) - mean(window)).abs() > AGREEMENT_ERRORS * error {
            break;
        }
        window = &values[start..];
    }
    window
}

/// Standard deviation of single intervals from the differences of neighbours, which a step hardly raises.
fn interval_noise(values: &[f64]) -> f64 {
    if values.len() < 2 {
        return 0.0;
    }
    let mut squares: Vec<f64> = values.windows(2).map(|pair| (pair[1] - pair[0]).powi(2)).collect();
    squares.sort_by(f64::total_cmp);
    let trimmed = &squares[..squares.len() - squares.len() / 8];
    (mean(trimmed) / 2.0).sqrt()
}

/// Standard deviation that so few requests have by chance alone.
fn counting_noise(complete: &[Interval], values: &[f64]) -> f64 {
    let requests = mean(&complete.iter().map(|interval| interval.requests).collect::<Vec<f64>>());
    if requests <= 0.0 {
        return 0.0;
    }
    mean(values) * (SIZE_SECOND_MOMENT / requests).sqrt()
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / count(values.len()) }
}

#[expect(clippy::cast_precision_loss, reason = "a window has few intervals")]
fn count(length: usize) -> f64 {
    length as f64
}
