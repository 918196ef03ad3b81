//! Records of a segment: length, CRC-32, kind, index, term and payload; integers are little-endian.
//!
//! The checksum also covers the segment's number and the record's offset, so that a record copied to another
//! location is invalid.

use crate::entry::Position;

/// Largest payload, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;
/// Length and checksum.
const PREFIX_BYTES: usize = 8;
/// Kind, index and term.
const FIXED_BODY_BYTES: usize = 17;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A log entry, which replaces all entries from its index on.
    Entry,
    /// Hard state, which replaces the previous one.
    HardState,
    /// Discards all entries so far; the next one follows the record's position.
    Reset,
    /// A snapshot up to the record's position exists, so recovery must find it or a newer one.
    Base,
}

impl Kind {
    fn byte(self) -> u8 {
        match self {
            Kind::Entry => 1,
            Kind::HardState => 2,
            Kind::Reset => 3,
            Kind::Base => 4,
        }
    }

    fn from_byte(byte: u8) -> Option<Kind> {
        let kinds = [Kind::Entry, Kind::HardState, Kind::Reset, Kind::Base];
        kinds.into_iter().find(|kind| kind.byte() == byte)
    }
}

/// A record, borrowed from the bytes of its segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record<'a> {
    pub kind: Kind,
    pub position: Position,
    pub payload: &'a [u8],
}

/// Location of a record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub segment: u64,
    pub offset: u64,
}

impl Record<'_> {
    /// Appends the record's bytes to `buffer`.
    pub(crate) fn encode(&self, location: Location, buffer: &mut Vec<u8>) {
        let length = u32::try_from(FIXED_BODY_BYTES + self.payload.len())
            .expect("invariant: a payload is shorter than MAX_PAYLOAD_BYTES");
        let start = buffer.len();
        buffer.extend_from_slice(&length.to_le_bytes());
        buffer.extend_from_slice(&[0; 4]);
        buffer.push(self.kind.byte());
        buffer.extend_from_slice(&self.position.index.to_le_bytes());
        buffer.extend_from_slice(&self.position.term.to_le_bytes());
        buffer.extend_from_slice(self.payload);
        let sum = checksum(location, length, &buffer[start + PREFIX_BYTES..]);
        buffer[start + 4..start + PREFIX_BYTES].copy_from_slice(&sum.to_le_bytes());
    }
}

/// Decodes the record at the start of `bytes`. Returns it with its length in bytes, or none if it is invalid.
pub(crate) fn decode(location: Location, bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
    let sum = u32::from_le_bytes(bytes.get(4..PREFIX_BYTES)?.try_into().ok()?);
    let size = usize::try_from(length).ok()?;
    if !(FIXED_BODY_BYTES..=FIXED_BODY_BYTES + MAX_PAYLOAD_BYTES).contains(&size) {
        return None;
    }
    let body = bytes.get(PREFIX_BYTES..PREFIX_BYTES + size)?;
    if checksum(location, length, body) != sum {
        return None;
    }
    let index = u64::from_le_bytes(body[1..9].try_into().ok()?);
    let term = u64::from_le_bytes(body[9..FIXED_BODY_BYTES].try_into().ok()?);
    let kind = Kind::from_byte(body[0])?;
    let record =
        Record { kind, position: Position { index, term }, payload: &body[FIXED_BODY_BYTES..] };
    Some((record, PREFIX_BYTES + size))
}

fn checksum(location: Location, length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&location.segment.to_le_bytes());
    hasher.update(&location.offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
