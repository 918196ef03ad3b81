//! The request path of the fleet: takes callers' requests in, puts them to targets and passes the answers back.
//!
//! [`state::Gateway`] holds what all requests share, [`listener`] the connections of callers, [`handler`] routes a
//! request, `whole` and `stream` carry it out, [`connection`] and [`pool`] reach the targets.

pub mod connection;
pub mod error;
pub mod handler;
pub mod listener;
pub mod metric;
pub mod pool;
pub mod state;

mod job;
mod sent;
mod stream;
mod whole;
