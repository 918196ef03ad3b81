//! One replicated log as a deterministic step function: it takes an event and the time, and returns effects.
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote, check-quorum,
//! leader transfer, learners and changes of one member at a time. Nothing here waits, reads a clock or does
//! I/O. The driver (the code that calls [`node::Node::step`]) carries out each [`effect::Effect`] in the order given.

pub mod effect;
pub mod entry;
mod log;
pub mod member;
pub mod message;
pub mod node;
pub mod options;
mod progress;
pub mod reconfiguration;
pub mod status;
