//! Policy for the role changes of engines: how many prefill, decode, or do both. Pure, without I/O.
//!
//! [`demand`] estimates the offered load, [`capacity`] computes which share of it a mix of roles can serve,
//! [`utility`] values that, and [`plan`] selects the changes that pay. [`trace`], [`simulation`] and [`baseline`]
//! evaluate the policy. [`split`] is a simpler policy, by a fixed share of prefill engines.

pub mod baseline;
pub mod capacity;
pub mod demand;
pub mod fleet;
pub mod plan;
pub mod policy;
pub mod pool;
pub mod simulation;
pub mod split;
pub mod trace;
pub mod utility;
