//! Runs real processes under seeded faults and checks what callers, targets and operators saw.
//!
//! Faults come from outside: signals, emptied disks, proxies between processes, and stand-ins for targets that
//! misbehave. What is promised is checked from records of both sides of the system, not from its logs.

#![allow(clippy::unwrap_used, reason = "a failed step fails the run")]

pub mod callers;
pub mod checker;
pub mod fleet;
pub mod history;
pub mod operator;
pub mod plan;
pub mod run;
pub mod testbed;
