//! Write-ahead log and snapshots of one replica, in one folder.
//!
//! A record counts only once it was synced. Recovery returns every synced record, or refuses to open.

pub mod entry;
pub mod error;
pub mod folder;
pub mod log;
mod record;
mod replay;
mod segment;
mod snapshot;
mod watermark;
