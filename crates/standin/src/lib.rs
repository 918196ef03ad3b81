//! Stand-ins for engines, plain services and the network, and a harness that runs real daemons, for tests and trials.

pub mod announce;
pub mod engine;
pub mod harness;
pub mod http;
pub mod output;
pub mod partition;
pub mod pause;
pub mod plain;
pub mod proxy;
pub mod weights;
