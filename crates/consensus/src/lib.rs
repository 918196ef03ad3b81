//! One replicated log as a pure step function: an event and the time go in, effects come out.
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote, check-quorum,
//! leader transfer, learners and changes of one member at a time. Nothing here waits, reads a clock or does
//! input and output; [`effect::Effect`] says what the host has to do and in which order.

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
