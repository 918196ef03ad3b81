//! Estimates the demand of one pool from reports that may arrive late.
//!
//! Reports are aggregated in intervals by the time that they cover. The estimate is the mean over the longest recent
//! window whose older half agrees with the newer one within the noise, so a step is followed within a few intervals
//! while noise is averaged out. This is the idea of ADWIN (Bifet and Gavaldà, "Learning from Time-Changing Data with
//! Adaptive Windowing", 2007) with windows that double in length.
//!
//! The number of shifts in the last hour gives the expected time until the next one.

use std::{collections::VecDeque, time::Duration};

use common::clock::Moment;

use super::{Estimate, Load, Sample};

/// Time for which intervals are kept, in seconds.
const RETENTION_S: u64 = 3_600;
/// Longest window, in intervals.
const MAX_WINDOW_INTERVALS: usize = 32;
/// Maximum number of past samples in an estimate.
const MAX_SAMPLES: usize = 60;
/// Number of intervals before and after a possible shift whose means are compared.
const SHIFT_INTERVALS: usize = 3;
/// Minimum difference that counts as a shift, as a share of the demand.
const MIN_SHIFT_SHARE: f64 = 0.15;
/// Prior: number that is added to the counted shifts.
const PRIOR_SHIFTS: f64 = 0.5;
/// Shortest window, in intervals.
const MIN_WINDOW_INTERVALS: usize = 2;
/// Difference of two means, in standard errors, up to which they agree.
const AGREEMENT_ERRORS: f64 = 3.0;
/// Assumed variation of the tokens of single requests: mean of the square over the square of the mean.
const SIZE_SECOND_MOMENT: f64 = 1.5;

/// Demand of a pool in a period, as counted by one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Middle of the period.
    pub at: Moment,
    /// Number of requests that arrived, including refused ones.
    pub requests: f64,
    /// Prompt tokens of all requests.
    pub prompt_tokens: f64,
    /// Prompt tokens that were in a prefix cache.
    pub cached_tokens: f64,
    /// Output tokens of all requests.
    pub output_tokens: f64,
}

/// Estimates the demand of one pool from its reports.
#[derive(Clone, Debug)]
pub struct Estimator {
    interval: Duration,
    lag: Duration,
    /// Intervals with reports, by ascending start.
    intervals: VecDeque<Interval>,
}

/// Sums of the reports whose middle lies in an interval.
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
    /// Makes an estimator with intervals of length `interval`, for reports that arrive up to `lag` late.
    pub fn new(interval: Duration, lag: Duration) -> Estimator {
        Estimator { interval, lag, intervals: VecDeque::new() }
    }

    /// Adds a report, however late; one older than all kept intervals is dropped.
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

    /// Estimates the demand at `now`; `None` if there is no complete interval or the newest one is too old.
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

    /// Means over equal parts of the kept intervals.
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

    /// Rate per second with its deviation, from the longest window that agrees.
    fn rate(&self, complete: &[Interval], kind: Kind) -> Estimate {
        let values: Vec<f64> = complete.iter().map(|interval| interval.value(kind)).collect();
        let noise = interval_noise(&values).max(counting_noise(complete, &values));
        let window = agreeing_window(&values, noise);
        let seconds = self.interval.as_secs_f64();
        let deviation = noise * (1.0 + 1.0 / count(window.len())).sqrt();
        Estimate { mean: mean(window) / seconds, deviation: deviation / seconds }
    }

    /// Start of the interval that contains a moment.
    fn start_of(&self, at: Moment) -> Moment {
        let width = self.width_ms();
        Moment(at.0 / width * width)
    }

    fn width_ms(&self) -> u64 {
        u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX).max(1)
    }

    /// Age of the newest complete interval above which there is no estimate.
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

/// Expected time between shifts in seconds, from the number of shifts of prefill or decode in the kept intervals.
fn persistence(complete: &[Interval]) -> f64 {
    let shifts = |kind| {
        let values: Vec<f64> = complete.iter().map(|interval| interval.value(kind)).collect();
        count_shifts(&values, interval_noise(&values).max(counting_noise(complete, &values)))
    };
    let shifts = shifts(Kind::Prefill).max(shifts(Kind::Decode));
    Duration::from_secs(RETENTION_S).as_secs_f64() / (PRIOR_SHIFTS + count(shifts))
}

/// Number of shifts: positions where the means of the intervals before and after differ by more than the noise.
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

/// Longest suffix of `values` by doubling, as long as the mean of the added half agrees with that of the suffix.
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

/// Standard deviation of single intervals, from the differences of adjacent ones; the largest eighth of the
/// differences is left out, so a step has little effect.
fn interval_noise(values: &[f64]) -> f64 {
    if values.len() < 2 {
        return 0.0;
    }
    let mut squares: Vec<f64> = values.windows(2).map(|pair| (pair[1] - pair[0]).powi(2)).collect();
    squares.sort_by(f64::total_cmp);
    let trimmed = &squares[..squares.len() - squares.len() / 8];
    (mean(trimmed) / 2.0).sqrt()
}

/// Standard deviation of a compound Poisson process: random arrivals and token counts alone.
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
