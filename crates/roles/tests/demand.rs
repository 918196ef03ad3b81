//! Estimates of the demand from steady, noisy, shifting, late and missing reports.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::clock::Moment;
use roles::demand::{
    Load,
    estimator::{Estimator, Report},
};

const INTERVAL: Duration = Duration::from_secs(10);
const LAG: Duration = Duration::from_secs(5);
const INTERVAL_MS: u64 = 10_000;
const FIRST: u64 = 1_000;

fn report(interval: u64, tokens: f64) -> Report {
    Report {
        at: Moment((FIRST + interval) * INTERVAL_MS + INTERVAL_MS / 2),
        requests: tokens / 100.0,
        prompt_tokens: tokens,
        cached_tokens: tokens * 0.25,
        output_tokens: tokens / 10.0,
    }
}

fn after(intervals: u64) -> Moment {
    Moment((FIRST + intervals) * INTERVAL_MS) + LAG
}

fn estimate(values: &[f64]) -> Load {
    let mut estimator = Estimator::new(INTERVAL, LAG);
    for (interval, tokens) in (0..).zip(values) {
        estimator.observe(&report(interval, *tokens));
    }
    estimator.estimate(after(u64::try_from(values.len()).unwrap())).unwrap()
}

#[test]
fn cached_tokens_are_not_counted_as_prefill() {
    let load = estimate(&[100_000.0; 8]);
    assert!((load.prefill.mean - 7_500.0).abs() < 1e-6, "{load:?}");
    assert!((load.decode.mean - 1_000.0).abs() < 1e-6, "{load:?}");
}

#[test]
fn the_estimate_follows_a_step_within_two_intervals() {
    let mut values = vec![100_000.0; 30];
    values.extend([300_000.0; 2]);
    let load = estimate(&values);
    assert!((load.prefill.mean - 22_500.0).abs() < 1.0, "{load:?}");
}

#[test]
fn noise_is_averaged_out_of_the_mean_and_kept_in_the_deviation() {
    let values: Vec<f64> =
        (0..32).map(|interval| if interval % 2 == 0 { 80_000.0 } else { 120_000.0 }).collect();
    let load = estimate(&values);
    assert!((load.prefill.mean - 7_500.0).abs() < 1.0, "{load:?}");
    assert!(load.prefill.deviation > 1_000.0, "{load:?}");
}

#[test]
fn the_deviation_is_large_for_few_requests_and_small_for_many() {
    let few = estimate(&[200.0; 8]);
    let many = estimate(&[200_000.0; 8]);
    assert!(few.prefill.deviation / few.prefill.mean > 0.5, "{few:?}");
    assert!(many.prefill.deviation / many.prefill.mean < 0.05, "{many:?}");
}

#[test]
fn persistence_is_short_after_many_shifts_and_long_without() {
    let steps: Vec<f64> = (0..180)
        .map(|interval| if interval / 18 % 2 == 0 { 50_000.0 } else { 150_000.0 })
        .collect();
    assert!(estimate(&steps).persistence_s < 500.0);
    assert!(estimate(&[100_000.0; 180]).persistence_s > 3_600.0);
}

#[test]
fn late_reports_count_in_the_interval_that_they_cover() {
    let mut in_order = Estimator::new(INTERVAL, LAG);
    let mut late = Estimator::new(INTERVAL, LAG);
    for interval in 0..10 {
        in_order.observe(&report(interval, 100_000.0));
    }
    for interval in [1, 0, 3, 2, 5, 9, 8, 7, 4, 6] {
        late.observe(&report(interval, 100_000.0));
    }
    assert_eq!(late.estimate(after(10)), in_order.estimate(after(10)));
}

#[test]
fn an_interval_is_not_counted_before_all_its_reports_are_due() {
    let mut estimator = Estimator::new(INTERVAL, LAG);
    for interval in 0..8 {
        estimator.observe(&report(interval, 100_000.0));
    }
    estimator.observe(&report(8, 1_000.0));
    let load = estimator.estimate(after(9) - Duration::from_secs(1)).unwrap();
    assert!((load.prefill.mean - 7_500.0).abs() < 1e-6, "{load:?}");
}

#[test]
fn the_demand_is_unknown_once_reports_stop() {
    let mut estimator = Estimator::new(INTERVAL, LAG);
    estimator.observe(&report(0, 100_000.0));
    assert!(estimator.estimate(after(2)).is_some());
    assert_eq!(estimator.estimate(after(30)), None);
}
