//! Targets and instances in the tables of several instances that exchange messages.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod cluster;
mod instances;
mod targets;
