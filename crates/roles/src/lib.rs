//! Policy for role changes, pure.
//!
//! [`demand`] estimates what callers ask for, [`capacity`] what a mix of roles can serve of it, and [`plan`]
//! which engines should change. [`trace`], [`simulation`] and [`baseline`] measure the policy.

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
