//! Messages by which a newer configuration is transferred in segments.

use serde::{Deserialize, Serialize};

/// Identifies the bytes of a transfer. Instances that serve the same bytes give them the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Version of the configuration that they lead to.
    pub version: u64,
    /// Version that they are the difference to; 0 for none.
    pub base: u64,
    /// Their number.
    pub total: u64,
    /// Their checksum.
    pub checksum: u32,
}

/// What an instance asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Version that it holds; 0 for none, or if a whole configuration is needed.
    pub version: u64,
    /// Checksum of the configuration that it holds.
    pub checksum: u32,
    /// The transfer to go on with, if it has begun.
    pub transfer: Option<Key>,
    /// Number of bytes of the transfer that have arrived.
    pub offset: u64,
    /// Largest segment that it takes, in bytes.
    pub max_bytes: u32,
}

/// Part of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The transfer.
    pub key: Key,
    /// Number of its bytes before this segment.
    pub offset: u64,
    /// The bytes of the segment.
    pub bytes: Vec<u8>,
}
