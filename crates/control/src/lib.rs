//! The replicated state of one branch: declarations, leases, intents and claims.
//!
//! Everything here is a pure function of the commands in the log. Nothing reads a clock: time is what the log's
//! own [`time::Advance`] commands say, and never runs faster than real time.

pub mod claim;
pub mod command;
pub mod declaration;
pub mod dissolution;
pub mod drain;
pub mod intent;
pub mod lease;
pub mod query;
pub mod reply;
pub mod snapshot;
pub mod state;
pub mod time;
