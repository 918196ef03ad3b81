//! Write-ahead log and snapshots of one replica, in one folder.
//!
//! A record is durable only once it is synced. Recovery returns every synced record, or refuses to open the folder.

pub mod entry;
pub mod error;
pub mod folder;
pub mod log;
mod record;
mod replay;
mod segment;
mod snapshot;
mod watermark;
