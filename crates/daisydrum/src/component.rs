//! Components of the daemon; each runs on threads or tasks of its own.

pub mod branch_api;
pub mod callers;
pub mod control;
pub mod declarations;
pub mod membership;
pub mod orders;
pub mod peers;
pub mod replica;
pub mod replica_api;
pub mod router_config;
