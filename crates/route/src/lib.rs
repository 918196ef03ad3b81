//! Request routing: admission control, fair queueing, choice of a target and retries.
//!
//! The crate does no I/O and reads no clock; time and random seeds are arguments. [`router::Router`] combines the
//! modules: [`admission`] accepts or refuses requests, [`fair_queue`] orders those that wait, [`pool`] chooses among
//! targets by the load that [`target`] tracks and the caches that [`prefix`] indexes, [`health`] ejects failing
//! targets, [`retry`] limits repeated attempts, and [`disaggregation`] decides whether a separate engine computes
//! the prompt. [`request`] has the types that the router and its caller exchange.

pub mod admission;
pub mod disaggregation;
pub mod fair_queue;
pub mod health;
pub mod pool;
pub mod prefix;
pub mod request;
pub mod retry;
pub mod router;
pub mod target;
