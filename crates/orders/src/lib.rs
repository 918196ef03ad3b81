//! Carries intents out to targets.
//!
//! [`job`] decides on the next step of one intent, [`reconciliation`] on what a restarted engine or a new holder
//! needs, [`limiter`] on when a load may start, [`planner`] on what engines should do; all are pure. [`client`] sends orders under the lease, and
//! [`executor`] is the thread that holds the lease and drives them, [`planning`] the one that plans.

pub mod authority;
pub mod branch;
pub mod client;
pub mod data_centre;
pub mod executor;
pub mod intent;
pub mod inventory;
pub mod job;
pub mod lease;
pub mod limiter;
pub mod planner;
pub mod planning;
pub mod reconciliation;
pub mod registry;
