//! Splits a stream into server-sent events.
//!
//! The form of events follows the section "Server-sent events" of the HTML standard.

use bytes::{Bytes, BytesMut};

const DONE: &[u8] = b"data: [DONE]";
const DATA: &[u8] = b"data:";
const ID: &[u8] = b"id:";
/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event(pub Bytes);

/// What an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A token.
    Token,
    /// The end of the answer.
    Done,
    /// A comment or another field.
    Other,
}

impl Event {
    /// Identity of the event, where it has one that is a number.
    pub fn id(&self) -> Option<u64> {
        let field = self.0.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(ID))?;
        std::str::from_utf8(field).ok()?.trim().parse().ok()
    }

    /// What the event is.
    pub fn kind(&self) -> Kind {
        if self.0.starts_with(DONE) {
            return Kind::Done;
        }
        if self.0.starts_with(DATA) {
            return Kind::Token;
        }
        Kind::Other
    }
}

/// An event is larger than the system takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

/// Bytes of a stream that are no whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Oversized`] when an event is larger than the system takes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Oversized> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Whether bytes are left that are no whole event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next whole event.
    pub fn take(&mut self) -> Option<Event> {
        let start = self.searched.saturating_sub(3);
        let Some(end) = find_end(&self.buffer[start..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(Event(self.buffer.split_to(start + end).freeze()))
    }
}

/// Position after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let rest = &bytes[position + 1..];
        if rest.starts_with(b"\n") {
            return Some(position + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(position + 3);
        }
    }
    None
}
