//! A body that is collected chunk by chunk.

use bytes::{Bytes, BytesMut};

/// Smallest and largest buffer for chunks.
const SMALLEST_BUFFER: usize = 1024;
const LARGEST_BUFFER: usize = 64 * 1024;

/// Collects chunks. Each is copied: a chunk of a byte would otherwise keep a read buffer of many kilobytes, and its own
/// description costs more than its content.
#[derive(Debug)]
pub struct Assembly {
    /// Full buffers.
    full: Vec<BytesMut>,
    current: BytesMut,
    /// Bytes collected.
    length: usize,
    /// Bytes of all buffers.
    capacity: usize,
    /// Announced length, or the limit.
    expected: usize,
}

impl Assembly {
    /// Nothing yet of a body of at most `expected` bytes.
    pub fn new(expected: usize) -> Assembly {
        Assembly { full: Vec::new(), current: BytesMut::new(), length: 0, capacity: 0, expected }
    }

    /// Bytes collected.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Bytes of the buffers once a chunk of this size was added.
    pub fn capacity_with(&self, chunk: usize) -> usize {
        self.capacity + self.added(chunk)
    }

    /// Bytes of the buffer that a chunk needs beyond the room that there is. Buffers grow with the body, to a limit.
    fn added(&self, chunk: usize) -> usize {
        let room = self.current.capacity() - self.current.len();
        let beyond = chunk.saturating_sub(room);
        if beyond == 0 {
            return 0;
        }
        let remaining = self.expected.saturating_sub(self.length + room);
        let next = self.capacity.clamp(SMALLEST_BUFFER, LARGEST_BUFFER);
        next.min(remaining).max(beyond)
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        let added = self.added(chunk.len());
        let room = self.current.capacity() - self.current.len();
        let (fitting, beyond) = chunk.split_at(chunk.len().min(room));
        self.current.extend_from_slice(fitting);
        if added > 0 {
            let next = BytesMut::with_capacity(added);
            self.full.push(std::mem::replace(&mut self.current, next));
            self.current.extend_from_slice(beyond);
            self.capacity += added;
        }
        self.length += chunk.len();
    }

    /// The body. Several buffers are copied into one, each of which is freed right after that.
    pub fn finish(self) -> Bytes {
        let mut full = self.full;
        full.retain(|buffer| !buffer.is_empty());
        if full.is_empty() {
            return self.current.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for buffer in full {
            whole.extend_from_slice(&buffer);
        }
        whole.extend_from_slice(&self.current);
        whole.freeze()
    }
}
