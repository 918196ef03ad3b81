//! Segments: numbered files that consist of a header and records.

use crate::{
    error::{Corruption, Error},
    record::{self, Location, Record},
};

const PREFIX: &str = "segment-";
const MAGIC: &[u8; 8] = b"daisylog";

/// Magic, number, length of the previous segment and CRC-32.
pub(crate) const HEADER_BYTES: usize = 28;
const PREVIOUS_LENGTH: std::ops::Range<usize> = 16..24;

/// Name of a segment's file.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:012}")
}

/// Sorted numbers of the segments among these file names.
pub(crate) fn numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        names.iter().filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

/// The header of a segment. It contains the length at which the previous segment was closed.
pub(crate) fn header(number: u64, previous_length: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&previous_length.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Length of the previous segment, if the header is valid.
pub(crate) fn previous_length(number: u64, bytes: &[u8]) -> Option<u64> {
    let length = u64::from_le_bytes(bytes.get(PREVIOUS_LENGTH)?.try_into().ok()?);
    (bytes.get(..HEADER_BYTES)? == header(number, length)).then_some(length)
}

/// How a segment may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// The segment was closed, so all of it was synced.
    Closed {
        /// Length known to be synced, in bytes.
        synced: u64,
    },
    /// The segment was being written, so what follows `synced` may be a torn write.
    Open {
        /// Length known to be synced, in bytes; 0 if unknown.
        synced: u64,
    },
}

/// Calls `visit` with the offset of each record and the record. Returns the length of the valid part, in bytes.
pub(crate) fn scan<'a>(
    number: u64,
    bytes: &'a [u8],
    tail: Tail,
    mut visit: impl FnMut(u64, Record<'a>) -> Result<(), Error>,
) -> Result<u64, Error> {
    let mut offset = 0;
    if previous_length(number, bytes).is_some() {
        offset = HEADER_BYTES;
        while let Some((record, length)) =
            record::decode(location(number, offset), &bytes[offset..])
        {
            visit(offset as u64, record)?;
            offset += length;
        }
    }
    check_tail(number, bytes, offset, tail)?;
    Ok(offset as u64)
}

/// Fails if what follows the valid part can't be a torn write: synced records are missing, or a later one is valid.
fn check_tail(number: u64, bytes: &[u8], valid_length: usize, tail: Tail) -> Result<(), Error> {
    let corrupt = |corruption| Error::Corrupt {
        file: file_name(number),
        offset: valid_length as u64,
        corruption,
    };
    let synced = match tail {
        Tail::Closed { synced } => synced.max(bytes.len().max(HEADER_BYTES) as u64),
        Tail::Open { synced } => synced,
    };
    if (valid_length as u64) < synced {
        return Err(corrupt(Corruption::Short));
    }
    let first = (valid_length + 1).max(HEADER_BYTES);
    let has_later_record =
        (first..bytes.len()).any(|at| record::decode(location(number, at), &bytes[at..]).is_some());
    if has_later_record { Err(corrupt(Corruption::BeforeGood)) } else { Ok(()) }
}

fn location(segment: u64, offset: usize) -> Location {
    Location { segment, offset: offset as u64 }
}
