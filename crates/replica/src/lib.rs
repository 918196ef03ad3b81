//! Runs the replicas of an instance, and a client that reaches the replicated logs from any instance.
//!
//! Each replica has a worker thread for the consensus node and the state machine, and a thread for its disk.
//! Messages to other replicas are sent from bounded queues by tasks on a tokio runtime.

mod bootstrap;
pub mod client;
mod codec;
mod disk;
pub mod error;
pub mod host;
mod pending;
pub mod state_machine;
pub mod transport;
mod worker;
