//! Plans and sends the orders to the engines of a data centre.
//!
//! The decisions are functions without side effects: [`job`] decides on the next step of one intent,
//! [`reconciliation`] on the action that brings an engine back to its intended state, [`limiter`] on when a model may
//! be loaded, and [`planner`] on what engines should do. [`executor`] is the thread that holds the data centre's lease,
//! records intents and has their orders sent by [`client`]; [`planning`] is the thread that runs the planner.

pub mod authority;
pub mod branch;
pub mod client;
pub mod data_centre;
pub mod executor;
pub mod intent;
pub mod inventory;
pub mod job;
pub mod lease;
pub mod limiter;
pub mod planner;
pub mod planning;
pub mod reconciliation;
pub mod registry;
