//! Tests of admission control, fair queueing, the choice of a target and retries.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod admission;
mod choice;
mod failures;
mod fairness;
mod parts;
mod silence;
mod support;

#[path = "../../examples/goodput/engine.rs"]
mod engine;
#[path = "../../examples/goodput/fleet.rs"]
mod fleet;
#[path = "../../examples/goodput/load.rs"]
mod load;
#[path = "../../examples/goodput/policy.rs"]
#[allow(dead_code, reason = "the example uses the other baselines")]
mod policy;
#[path = "../../examples/goodput/report.rs"]
#[allow(dead_code, reason = "the example prints the other figures")]
mod report;
