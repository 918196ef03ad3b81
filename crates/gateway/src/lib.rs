//! The request path of the fleet: receives callers' requests, forwards them to targets and returns the responses.
//!
//! [`listener`] accepts callers' connections and [`handler`] matches each request to a route. `request` selects
//! targets and sends attempts to them, for `whole` (responses with a single body) and `stream` (event streams).
//! [`buffer`] reads bodies within the memory of the instance, [`delivery`] bounds the memory of whole responses that callers have not
//! taken yet, and [`access`] checks API keys.
//! [`connection`] and [`pool`] hold the connections to targets, [`state::Gateway`] the state that all requests share,
//! [`quarantine`] the parts of prompts that end engines, [`ends`] the processes that may have ended, [`inquiry`] the
//! questions for the load of engines, [`origins`] the software versions that began streams, whose records [`recording`] waits for, and [`relay`] has a peer serve the requests of services that this instance is
//! cut off from.

pub mod access;
pub mod buffer;
pub mod connection;
pub mod content;
pub mod delivery;
pub mod ends;
pub mod error;
pub mod handler;
pub mod inquiry;
pub mod listener;
pub mod metric;
pub mod origins;
pub mod pool;
pub mod progress;
pub mod quarantine;
pub mod recording;
pub mod relay;
pub mod state;

mod activity;
mod dispatch;
mod request;
mod stream;
mod transport;
mod whole;
