//! The transfer of a newer document to this instance: what to ask for next, and for how long.

use std::time::Duration;

use derive_more::{Display, Error, From};
use fleet::{
    exchange::{
        self,
        segment::{Key, Segment, Wanted},
    },
    register::Document,
};

use crate::patch::{self, Patch};

/// Size of a segment while none was late, in bytes: 52 ms of a link of 10 Mbit/s.
const SEGMENT_BYTES: u32 = 64 * 1024;
const MIN_SEGMENT_BYTES: u32 = 4 * 1024;
/// Time that a segment has at first, after which another instance is asked, too.
const HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 3;
/// Largest package that is accepted, in bytes.
const MAX_PACKAGE_BYTES: u64 = 16 * 1024 * 1024;

/// Why a package can't be used.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// It isn't an encoded list of patches, or has another checksum.
    #[display("the package is damaged")]
    #[from(skip)]
    Damaged,
    /// It is too large.
    #[display("the package is larger than {MAX_PACKAGE_BYTES} bytes")]
    #[from(skip)]
    TooLarge,
    /// One of its patches can't be applied.
    #[display("{_0}")]
    Patch(patch::Error),
}

/// What a segment led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Further segments are missing.
    Continue,
    /// The document is complete.
    Complete(Document),
}

/// A transfer to this instance. After a failure it goes on where it ended, maybe at another instance.
#[derive(Clone, Debug, Default)]
pub struct Download {
    key: Option<Key>,
    bytes: Vec<u8>,
    /// Segments in a row that did not arrive in time.
    failures: u32,
    /// A patch did not fit, so that only a whole document helps.
    needs_whole: bool,
}

impl Download {
    /// What to ask an instance for, with the document that is held.
    pub fn wanted(&self, held: Option<&Document>) -> Wanted {
        let held = held.filter(|_| !self.needs_whole);
        Wanted {
            version: held.map_or(0, |held| held.version),
            checksum: held.map_or(0, |held| patch::checksum(&held.bytes)),
            transfer: self.key,
            offset: self.bytes.len() as u64,
            max_bytes: (SEGMENT_BYTES >> self.failures.min(u32::BITS - 1)).max(MIN_SEGMENT_BYTES),
        }
    }

    /// Time after which another instance is asked for the next segment. After each failure it is longer and the segment
    /// smaller, so that a transfer over a slow link advances.
    pub fn hedge_delay(&self) -> Duration {
        HEDGE_DELAY * 2_u32.pow(self.failures.min(MAX_DOUBLINGS))
    }

    /// Records that a segment did not arrive in time.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Adds a segment. The first one of another transfer replaces what has arrived, as the instance asked doesn't know this
    /// one. A segment that has arrived before, or whose document is held, changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the package can't be used; the download then starts again.
    pub fn receive(&mut self, segment: &Segment, held: Option<&Document>) -> Result<Step, Error> {
        if segment.key.total > MAX_PACKAGE_BYTES {
            return Err(Error::TooLarge);
        }
        if held.is_some_and(|held| held.version >= segment.key.version) {
            return Ok(Step::Continue);
        }
        if self.key != Some(segment.key) && segment.offset == 0 {
            self.restart();
            self.key = Some(segment.key);
        }
        if self.key != Some(segment.key) || segment.offset != self.bytes.len() as u64 {
            return Ok(Step::Continue);
        }
        self.failures = 0;
        self.bytes.extend_from_slice(&segment.bytes);
        if (self.bytes.len() as u64) < segment.key.total {
            return Ok(Step::Continue);
        }
        let document = build(segment.key, &self.bytes, held);
        self.needs_whole = document.is_err();
        self.restart();
        document.map(Step::Complete)
    }

    fn restart(&mut self) {
        self.key = None;
        self.bytes = Vec::new();
    }
}

fn build(key: Key, bytes: &[u8], held: Option<&Document>) -> Result<Document, Error> {
    if patch::checksum(bytes) != key.checksum {
        return Err(Error::Damaged);
    }
    let patches: Vec<Patch> = exchange::decode(bytes).ok_or(Error::Damaged)?;
    let held = held.filter(|held| key.base > 0 && held.version == key.base);
    let base = held.map_or([].as_slice(), |held| &held.bytes);
    let (first, rest) = patches.split_first().ok_or(Error::Damaged)?;
    let mut document = first.apply(base)?;
    for patch in rest {
        document = patch.apply(&document.bytes)?;
    }
    Ok(document)
}
