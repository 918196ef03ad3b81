//! The request path: accepts callers' requests and forwards them to the targets that the router chooses.

pub mod body;
pub mod call;
pub mod claim;
pub mod connection;
pub mod directory;
mod driver;
pub mod event;
mod exchange;
mod fleet;
pub mod flush;
pub mod listener;
pub mod offered;
mod output;
mod progress;
pub mod protocol;
pub mod race;
mod remote;
pub mod request;
pub mod response;
pub mod router;
pub mod server;
mod transfer;
mod watch;
