//! One budget for the bytes that an instance holds for callers, targets and peers, and for their connections.
//!
//! [`ledger`] decides: pure accounting of bytes by use, and which connections are closed when room is short. [`budget`] applies
//! it to running connections, [`assembly`] collects a body chunk
//! by chunk, and [`stream`] and [`frames`] wrap connections. See docs/design/memory.md.

pub mod assembly;
pub mod budget;
pub mod frames;
pub mod ledger;
pub mod size;
pub mod stream;
