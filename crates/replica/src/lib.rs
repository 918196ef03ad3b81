//! Hosts the replicated logs on an instance with a disk, and reaches them from any instance.
//!
//! Each replica has a thread for the step function and the state and a thread for its disk. Messages to other
//! replicas leave through bounded queues on the peers' runtime.

pub mod client;
mod codec;
mod disk;
pub mod error;
mod founding;
pub mod host;
mod pending;
pub mod state_machine;
pub mod transport;
mod worker;
