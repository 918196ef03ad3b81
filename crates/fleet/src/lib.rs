//! State that the instances of one fleet share: routes, services and targets. Pure, without I/O.
//!
//! [`config`] is the operators' configuration, [`registry`] merges the announcements of targets, [`register`] is
//! the replicated state machine that keeps the newest configuration, [`exchange`] holds the messages between
//! instances, [`relay`] those by which one has another one serve a request, [`departure`] decides what is known of targets
//! that leave after a restart, [`roster`] keeps the instances that control instances report, [`tenure`] decides when a new
//! holder of the right to give orders may act, [`usage`] is what instances count for the platform, [`capacity`] how many
//! targets services had, and [`warmup`] orders and throttles the questions of instances that have just started.

pub mod capacity;
pub mod condition;
pub mod config;
pub mod departure;
pub mod exchange;
pub mod register;
pub mod registry;
pub mod relay;
pub mod roster;
pub mod standing;
pub mod succession;
pub mod tenure;
pub mod usage;
pub mod warmup;
