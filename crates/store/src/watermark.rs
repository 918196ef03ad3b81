//! The watermark: the length up to which the newest segment is synced.
//!
//! It is written after each sync of the segment but not synced itself, so it may be too low but never too high. With
//! it, recovery distinguishes a torn write from lost records at the end of a segment.

use std::io;

use crate::folder::{File, Folder};

/// Name of the watermark's file.
pub(crate) const FILE: &str = "synced";
const BYTES: usize = 20;

/// The synced length of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Watermark {
    /// Number of the segment.
    pub segment: u64,
    /// Length that is durable, in bytes.
    pub length: u64,
}

impl Watermark {
    /// Reads the watermark; none if the file is missing or torn.
    pub(crate) fn read(folder: &impl Folder) -> io::Result<Option<Watermark>> {
        match folder.read(FILE) {
            Ok(bytes) => Ok(Watermark::decode(&bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Overwrites the watermark.
    pub(crate) fn write(self, file: &mut impl File) -> io::Result<()> {
        let mut bytes = [0; BYTES];
        bytes[..8].copy_from_slice(&self.segment.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.length.to_le_bytes());
        let sum = crc32fast::hash(&bytes[..16]);
        bytes[16..].copy_from_slice(&sum.to_le_bytes());
        file.write_at(0, &bytes)
    }

    fn decode(bytes: &[u8]) -> Option<Watermark> {
        let bytes: &[u8; BYTES] = bytes.try_into().ok()?;
        let sum = u32::from_le_bytes(bytes[16..].try_into().ok()?);
        if crc32fast::hash(&bytes[..16]) != sum {
            return None;
        }
        let segment = u64::from_le_bytes(bytes[..8].try_into().ok()?);
        let length = u64::from_le_bytes(bytes[8..16].try_into().ok()?);
        Some(Watermark { segment, length })
    }
}
