//! The branches' state in real daemons of the sample venture: accepted settings, and calls that run at most once.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod claims;
mod settings;
mod venture;
