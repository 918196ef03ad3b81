//! The request path from callers to targets.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod directory;
pub mod listener;
pub mod request;
pub mod router;
pub mod server;
