//! The request path through real daemons: streams, silence, leaving, stopping and malformed requests.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod leaving;
mod malformed;
mod paused_caller;
mod pauses;
mod silence;
mod site;
mod spill;
mod streams;
