//! Write-ahead log: buffered appends, batched syncs, segments and snapshots.

use std::{collections::VecDeque, mem};

use crate::{
    entry::{Entry, Position, Recovery, Snapshot},
    error::Error,
    folder::{File, Folder},
    record::{Kind, Location, Record},
    replay::{self, Segment},
    segment, snapshot,
    watermark::{self, Watermark},
};

/// Options of a log.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size from which on a segment is closed at the next sync.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { segment_bytes: 8 * 1024 * 1024 }
    }
}

/// A write-ahead log with hard state and one snapshot.
///
/// Nothing is durable before [`Log::sync`] returns. After a failed write, later ones fail with [`Error::Poisoned`].
#[derive(Debug)]
pub struct Log<F: Folder> {
    folder: F,
    options: Options,
    file: F::File,
    watermark: F::File,
    /// The segment that is being written.
    current: Segment,
    closed: VecDeque<Segment>,
    /// Records that are not written yet.
    buffer: Vec<u8>,
    hard_state: Vec<u8>,
    /// Position of the last entry that the snapshot includes.
    base: Position,
    /// Terms of the entries after `base`.
    terms: VecDeque<u64>,
    poisoned: bool,
}

impl<F: Folder> Log<F> {
    /// Opens the log in `folder` and returns what it holds.
    ///
    /// A torn write at the end is truncated.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when synced records are missing or changed.
    pub fn open(folder: F, options: Options) -> Result<(Log<F>, Recovery), Error> {
        let mut replay = replay::read(&folder)?;
        let last = replay.segments.pop_back();
        let current = last.unwrap_or(Segment { number: 1, length: 0, max_index: 0 });
        let file = folder.open(&segment::file_name(current.number))?;
        let watermark = folder.open(watermark::FILE)?;
        let recovery = replay.recovery;
        let mut log = Log {
            folder,
            options,
            file,
            watermark,
            current,
            closed: replay.segments,
            buffer: Vec::new(),
            hard_state: recovery.hard_state.clone().unwrap_or_default(),
            base: recovery.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.last),
            terms: recovery.entries.iter().map(|entry| entry.position.term).collect(),
            poisoned: false,
        };
        log.truncate_torn_tail()?;
        if replay.has_stale_entries {
            log.buffer_record(Kind::Reset, log.base, &[]);
        }
        log.sync()?;
        Ok((log, recovery))
    }

    /// Appends an entry, which replaces all entries from its index on.
    pub fn append(&mut self, entry: &Entry) {
        self.buffer_record(Kind::Entry, entry.position, &entry.payload);
        self.current.max_index = self.current.max_index.max(entry.position.index);
        let kept = entry.position.index.saturating_sub(self.base.index + 1);
        self.terms.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.terms.push_back(entry.position.term);
    }

    /// Replaces the hard state.
    pub fn set_hard_state(&mut self, state: &[u8]) {
        self.buffer_record(Kind::HardState, Position::default(), state);
        self.hard_state = state.to_vec();
    }

    /// Makes everything appended so far durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, and [`Error::Poisoned`] from then on.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.poison_on_error(Log::flush)
    }

    /// Makes everything appended so far and a snapshot durable, and removes the segments that the snapshot replaces.
    ///
    /// Entries after the snapshot are kept only if the log contains the snapshot's last entry.
    ///
    /// # Errors
    ///
    /// As [`Log::sync`].
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.poison_on_error(|log| {
            log.flush()?;
            snapshot::save(&log.folder, snapshot)?;
            log.advance_base(snapshot.last);
            log.flush()?;
            log.roll()?;
            log.drop_segments(snapshot.last.index)
        })
    }

    /// Total size of all segments, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.closed.iter().map(|segment| segment.length).sum::<u64>() + self.current.length
    }

    /// Refuses to write after an earlier failure: it is unknown what is on disk, so nothing more may be acknowledged.
    fn poison_on_error(
        &mut self,
        write: impl FnOnce(&mut Log<F>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        let result = write(self);
        self.poisoned = result.is_err();
        result
    }

    fn buffer_record(&mut self, kind: Kind, position: Position, payload: &[u8]) {
        let location = self.location(self.buffer.len());
        Record { kind, position, payload }.encode(location, &mut self.buffer);
    }

    /// The location `ahead` bytes after the end of what is durable.
    fn location(&self, ahead: usize) -> Location {
        Location { segment: self.current.number, offset: self.current.length + ahead as u64 }
    }

    fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.file.write_at(self.current.length, &self.buffer)?;
        self.file.sync()?;
        self.current.length += self.buffer.len() as u64;
        self.buffer.clear();
        Watermark { segment: self.current.number, length: self.current.length }
            .write(&mut self.watermark)?;
        if self.current.length >= self.options.segment_bytes { self.roll() } else { Ok(()) }
    }

    /// Truncates a torn write, or starts the first segment.
    fn truncate_torn_tail(&mut self) -> Result<(), Error> {
        self.file.truncate(self.current.length)?;
        if self.current.length == 0 {
            return self.start_segment();
        }
        self.file.sync()?;
        Ok(self.folder.sync()?)
    }

    /// Closes the current segment and starts the next one.
    fn roll(&mut self) -> Result<(), Error> {
        let next = Segment { number: self.current.number + 1, length: 0, max_index: 0 };
        self.file = self.folder.open(&segment::file_name(next.number))?;
        self.closed.push_back(mem::replace(&mut self.current, next));
        self.start_segment()
    }

    /// Writes the header, the snapshot's position and the hard state, so that older segments aren't needed for them.
    fn start_segment(&mut self) -> Result<(), Error> {
        let previous_length = self.closed.back().map_or(0, |segment| segment.length);
        let mut bytes = segment::header(self.current.number, previous_length);
        let base = Record { kind: Kind::Base, position: self.base, payload: &[] };
        base.encode(self.location(bytes.len()), &mut bytes);
        if !self.hard_state.is_empty() {
            let state = Record {
                kind: Kind::HardState,
                position: Position::default(),
                payload: &self.hard_state,
            };
            state.encode(self.location(bytes.len()), &mut bytes);
        }
        self.file.write_at(0, &bytes)?;
        self.file.sync()?;
        self.folder.sync()?;
        self.current.length = bytes.len() as u64;
        Ok(Watermark { segment: self.current.number, length: self.current.length }
            .write(&mut self.watermark)?)
    }

    /// Makes `last` the base. Adds a reset record if the log doesn't contain that entry.
    fn advance_base(&mut self, last: Position) {
        let covered =
            usize::try_from(last.index.saturating_sub(self.base.index)).unwrap_or(usize::MAX);
        let held = covered == 0 || self.terms.get(covered - 1) == Some(&last.term);
        if held {
            self.terms.drain(..covered);
        } else {
            self.terms.clear();
            self.buffer_record(Kind::Reset, last, &[]);
        }
        self.base = last;
    }

    /// Removes the oldest segments of which a snapshot up to index `included` includes all entries.
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
