//! Splits a stream of bytes into server-sent events.
//!
//! The format of events follows the section "Server-sent events" of the HTML standard.

use bytes::{Bytes, BytesMut};

const DONE: &[u8] = b"data: [DONE]";
const DATA: &[u8] = b"data:";
const ID: &[u8] = b"id:";
/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event(pub Bytes);

/// What an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A token.
    Token,
    /// The closing event of a complete response.
    Done,
    /// A comment or another field.
    Other,
}

impl Event {
    /// Returns the event's id, if it has one that is a number.
    pub fn id(&self) -> Option<u64> {
        let field = self.0.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(ID))?;
        std::str::from_utf8(field).ok()?.trim().parse().ok()
    }

    /// Whether the event consists of comments only.
    pub fn is_comment(&self) -> bool {
        let lines = self.0.split(|byte| *byte == b'\n');
        lines.into_iter().all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }

    /// Returns what the event is.
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

/// Tells whether what a target sends as events belongs to a stream whose events have ids.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sequence {
    /// Whether an event of the stream had an id.
    numbered: bool,
}

impl Sequence {
    /// The rest of a stream whose earlier events came from elsewhere, with ids.
    pub fn resumed() -> Sequence {
        Sequence { numbered: true }
    }

    /// Whether an event may belong to the stream: once one had an id, all do, apart from comments.
    pub fn accepts(&mut self, event: &Event) -> bool {
        let has_id = event.id().is_some();
        self.numbered |= has_id;
        has_id || !self.numbered || event.is_comment()
    }
}

/// An event is larger than 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

/// Splits a stream; holds the bytes that don't form a complete event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the start of the buffer that contains no end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Oversized`] if more than 1 MiB would be buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Oversized> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the next complete event.
    pub fn take(&mut self) -> Option<Event> {
        // A blank line takes up to three bytes, which may have arrived in parts.
        let start = self.searched.saturating_sub(3);
        let Some(end) = find_end(&self.buffer[start..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(Event(self.buffer.split_to(start + end).freeze()))
    }
}

/// Returns the position after the first blank line.
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
