//! The log: buffered appends, batched syncs, segments and snapshots.

use std::{collections::VecDeque, mem};

use crate::{
    entry::{Entry, Position, Recovery, Snapshot},
    error::Error,
    folder::{File, Folder},
    mark::{self, Mark},
    record::{Kind, Place, Record},
    replay::{self, Segment},
    segment, snapshot,
};

/// Bounds of a log.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A segment of at least this many bytes is closed at the next sync.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { segment_bytes: 8 * 1024 * 1024 }
    }
}

/// A write-ahead log with hard state and one snapshot.
///
/// Nothing is durable before [`Log::sync`] has returned. After any failed write the log stays unusable.
#[derive(Debug)]
pub struct Log<F: Folder> {
    folder: F,
    options: Options,
    file: F::File,
    mark: F::File,
    current: Segment,
    closed: VecDeque<Segment>,
    buffer: Vec<u8>,
    state: Vec<u8>,
    /// Position before the first of `terms`.
    base: Position,
    /// Terms of the entries after `base`.
    terms: VecDeque<u64>,
    poisoned: bool,
}

impl<F: Folder> Log<F> {
    /// Opens the log in `folder` and returns what it holds.
    ///
    /// A torn write at the end is cut off.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when synced records are missing or changed.
    pub fn open(folder: F, options: Options) -> Result<(Log<F>, Recovery), Error> {
        let mut replay = replay::read(&folder)?;
        let last = replay.segments.pop_back();
        let current = last.unwrap_or(Segment { number: 1, length: 0, max_index: 0 });
        let file = folder.open(&segment::file_name(current.number))?;
        let mark = folder.open(mark::FILE)?;
        let recovery = replay.recovery;
        let mut log = Log {
            folder,
            options,
            file,
            mark,
            current,
            closed: replay.segments,
            buffer: Vec::new(),
            state: recovery.hard_state.clone().unwrap_or_default(),
            base: recovery.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.last),
            terms: recovery.entries.iter().map(|entry| entry.position.term).collect(),
            poisoned: false,
        };
        log.repair_tail()?;
        if replay.stale {
            log.write(Kind::Reset, log.base, &[]);
        }
        log.sync()?;
        Ok((log, recovery))
    }

    /// Adds an entry; it replaces all entries from its index on.
    pub fn append(&mut self, entry: &Entry) {
        self.write(Kind::Entry, entry.position, &entry.payload);
        self.current.max_index = self.current.max_index.max(entry.position.index);
        let kept = entry.position.index.saturating_sub(self.base.index + 1);
        self.terms.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.terms.push_back(entry.position.term);
    }

    /// Replaces the hard state.
    pub fn set_hard_state(&mut self, state: &[u8]) {
        self.write(Kind::State, Position::default(), state);
        self.state = state.to_vec();
    }

    /// Makes everything written so far durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, and [`Error::Poisoned`] ever after.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.guard(Log::flush)
    }

    /// Writes a snapshot durably, with everything before it, and drops the segments that it replaces.
    ///
    /// Entries after the snapshot are kept only if the log holds the snapshot's last entry.
    ///
    /// # Errors
    ///
    /// As [`Log::sync`].
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.guard(|log| {
            log.flush()?;
            snapshot::save(&log.folder, snapshot)?;
            log.rebase(snapshot.last);
            log.flush()?;
            log.roll()?;
            log.drop_segments(snapshot.last.index)
        })
    }

    /// Bytes in all segments.
    pub fn size_bytes(&self) -> u64 {
        self.closed.iter().map(|segment| segment.length).sum::<u64>() + self.current.length
    }

    fn guard(&mut self, write: impl FnOnce(&mut Log<F>) -> Result<(), Error>) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        let result = write(self);
        self.poisoned = result.is_err();
        result
    }

    fn write(&mut self, kind: Kind, position: Position, payload: &[u8]) {
        let place = self.place(self.buffer.len());
        Record { kind, position, payload }.encode(place, &mut self.buffer);
    }

    /// The place `ahead` bytes past the durable end.
    fn place(&self, ahead: usize) -> Place {
        Place { segment: self.current.number, offset: self.current.length + ahead as u64 }
    }

    fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.file.write_at(self.current.length, &self.buffer)?;
        self.file.sync()?;
        self.current.length += self.buffer.len() as u64;
        self.buffer.clear();
        Mark { segment: self.current.number, length: self.current.length }.write(&mut self.mark)?;
        if self.current.length >= self.options.segment_bytes { self.roll() } else { Ok(()) }
    }

    /// Cuts a torn write off, or starts the first segment.
    fn repair_tail(&mut self) -> Result<(), Error> {
        self.file.truncate(self.current.length)?;
        if self.current.length == 0 {
            return self.start_segment();
        }
        self.file.sync()?;
        Ok(self.folder.sync()?)
    }

    fn roll(&mut self) -> Result<(), Error> {
        let next = Segment { number: self.current.number + 1, length: 0, max_index: 0 };
        self.file = self.folder.open(&segment::file_name(next.number))?;
        self.closed.push_back(mem::replace(&mut self.current, next));
        self.start_segment()
    }

    /// Writes the header and the hard state, so that no older segment is needed for them.
    fn start_segment(&mut self) -> Result<(), Error> {
        let previous_length = self.closed.back().map_or(0, |segment| segment.length);
        let mut bytes = segment::header(self.current.number, previous_length);
        let base = Record { kind: Kind::Base, position: self.base, payload: &[] };
        base.encode(self.place(bytes.len()), &mut bytes);
        if !self.state.is_empty() {
            let state =
                Record { kind: Kind::State, position: Position::default(), payload: &self.state };
            state.encode(self.place(bytes.len()), &mut bytes);
        }
        self.file.write_at(0, &bytes)?;
        self.file.sync()?;
        self.folder.sync()?;
        self.current.length = bytes.len() as u64;
        Ok(Mark { segment: self.current.number, length: self.current.length }
            .write(&mut self.mark)?)
    }

    fn rebase(&mut self, last: Position) {
        let covered =
            usize::try_from(last.index.saturating_sub(self.base.index)).unwrap_or(usize::MAX);
        let held = covered == 0 || self.terms.get(covered - 1) == Some(&last.term);
        if held {
            self.terms.drain(..covered);
        } else {
            self.terms.clear();
            self.write(Kind::Reset, last, &[]);
        }
        self.base = last;
    }

    /// Removes the oldest segments, as long as the snapshot includes all their entries.
    fn drop_segments(&mut self, included: u64) -> Result<(), Error> {
        while let Some(segment) =
            self.closed.front().filter(|segment| segment.max_index <= included)
        {
            self.folder.remove(&segment::file_name(segment.number))?;
            self.folder.sync()?;
            self.closed.pop_front();
        }
        Ok(())
    }
}
