//! The replicated state of one branch: declarations, leases, intents, claims and drain marks.
//!
//! The state is a deterministic function of the commands in the branch's log. Nothing here reads a clock: time
//! advances only by the log's own [`time::Advance`] commands, and is never ahead of real time.

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
