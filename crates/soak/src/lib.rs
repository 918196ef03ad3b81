//! Runs real processes under seeded faults and checks what callers, targets and operators observed.
//!
//! Faults are injected from outside: signals, deleted data, proxies between processes, and stand-ins for targets that
//! misbehave. The invariants are checked on records from both sides of the system, not on its logs.

#![allow(clippy::unwrap_used, reason = "a failed step fails the run")]

pub mod callers;
pub mod checker;
pub mod completion;
pub mod crash;
pub mod cut_off;
pub mod fleet;
pub mod history;
pub mod idle;
mod network;
pub mod operator;
pub mod plan;
pub mod run;
pub mod testbed;
