//! Targets and instances as several tables learn of them.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod cluster;
mod instances;
mod targets;
