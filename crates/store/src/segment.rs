//! Segments: numbered files of records behind a short header.

use crate::{
    error::{Corruption, Error},
    record::{self, Place, Record},
};

const PREFIX: &str = "segment-";
const MAGIC: &[u8; 8] = b"daisylog";

/// Bytes before the first record.
pub(crate) const HEADER_BYTES: usize = 28;
const PREVIOUS_LENGTH: std::ops::Range<usize> = 16..24;

/// Name of a segment's file.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:012}")
}

/// Numbers of the segments among `names`, in order.
pub(crate) fn numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        names.iter().filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

/// The header of a segment; it names the length at which the segment before was closed.
pub(crate) fn header(number: u64, previous_length: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&previous_length.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Length of the segment before, if the header is whole.
pub(crate) fn previous_length(number: u64, bytes: &[u8]) -> Option<u64> {
    let length = u64::from_le_bytes(bytes.get(PREVIOUS_LENGTH)?.try_into().ok()?);
    (bytes.get(..HEADER_BYTES)? == header(number, length)).then_some(length)
}

/// Whether records may follow a segment's last good record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// The segment was closed, and every byte of it is synced.
    Closed {
        /// Bytes that are known to have been synced.
        synced: u64,
    },
    /// The segment was written last; bytes past this length may be torn.
    Open {
        /// Bytes that are known to be synced.
        synced: u64,
    },
}

/// Calls `visit` with each record, and returns the length of the good part.
pub(crate) fn scan<'a>(
    number: u64,
    bytes: &'a [u8],
    tail: Tail,
    mut visit: impl FnMut(u64, Record<'a>) -> Result<(), Error>,
) -> Result<u64, Error> {
    let mut offset = 0;
    if previous_length(number, bytes).is_some() {
        offset = HEADER_BYTES;
        while let Some((record, length)) = record::decode(place(number, offset), &bytes[offset..]) {
            visit(offset as u64, record)?;
            offset += length;
        }
    }
    check_tail(number, bytes, offset, tail)?;
    Ok(offset as u64)
}

/// Refuses a segment whose bytes past `good` can't be a torn write.
fn check_tail(number: u64, bytes: &[u8], good: usize, tail: Tail) -> Result<(), Error> {
    let damaged =
        |corruption| Error::Corrupt { file: file_name(number), offset: good as u64, corruption };
    let synced = match tail {
        Tail::Closed { synced } => synced.max(bytes.len().max(HEADER_BYTES) as u64),
        Tail::Open { synced } => synced,
    };
    if (good as u64) < synced {
        return Err(damaged(Corruption::Short));
    }
    let first = (good + 1).max(HEADER_BYTES);
    let follows =
        (first..bytes.len()).any(|at| record::decode(place(number, at), &bytes[at..]).is_some());
    if follows { Err(damaged(Corruption::BeforeGood)) } else { Ok(()) }
}

fn place(segment: u64, offset: usize) -> Place {
    Place { segment, offset: offset as u64 }
}
