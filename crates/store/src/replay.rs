//! Recovery: replays the segments of a folder and combines them with the newest snapshot.

use std::collections::VecDeque;

use crate::{
    entry::{Entry, Position, Recovery},
    error::{Corruption, Error},
    folder::Folder,
    record::{Kind, Record},
    segment::{self, Tail},
    snapshot,
    watermark::Watermark,
};

/// A segment of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub number: u64,
    /// Length of its valid part, in bytes.
    pub length: u64,
    /// Highest index of its entries.
    pub max_index: u64,
}

/// Result of replaying a folder.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub recovery: Recovery,
    pub segments: VecDeque<Segment>,
    /// Highest index that a snapshot included, according to the segments.
    base: u64,
    /// Whether entries were dropped because they don't contain the snapshot's last entry.
    pub has_stale_entries: bool,
}

/// Reads a folder. Fails when synced records are missing or changed.
pub(crate) fn read(folder: &impl Folder) -> Result<Replay, Error> {
    let snapshot = snapshot::load(folder)?;
    let numbers = segment::numbers(&folder.list()?);
    let watermark = Watermark::read(folder)?;
    check_sequence(&numbers, watermark)?;
    let mut replay = Replay::default();
    for number in &numbers {
        let tail = tail(*number, &numbers, watermark);
        replay.read_segment(folder, *number, tail)?;
    }
    replay.recovery.snapshot = snapshot;
    replay.join_snapshot(numbers.first().copied().unwrap_or_default())?;
    Ok(replay)
}

/// Checks that no segment is missing between the first and the last, nor the one that the watermark names.
fn check_sequence(numbers: &[u64], watermark: Option<Watermark>) -> Result<(), Error> {
    let missing = |number| Error::Corrupt {
        file: segment::file_name(number),
        offset: 0,
        corruption: Corruption::Missing,
    };
    if let Some(pair) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        return Err(missing(pair[0] + 1));
    }
    match watermark {
        Some(watermark) if numbers.last().is_none_or(|last| *last < watermark.segment) => {
            Err(missing(watermark.segment))
        }
        _ => Ok(()),
    }
}

/// Length up to which the segment is known to be synced, in bytes.
fn synced(number: u64, watermark: Option<Watermark>) -> u64 {
    watermark
        .filter(|watermark| watermark.segment == number)
        .map_or(0, |watermark| watermark.length)
}

/// How the segment may end.
fn tail(number: u64, numbers: &[u64], watermark: Option<Watermark>) -> Tail {
    if numbers.last() != Some(&number) {
        return Tail::Closed { synced: synced(number, watermark) };
    }
    let synced = synced(number, watermark);
    Tail::Open { synced }
}

impl Replay {
    fn read_segment(&mut self, folder: &impl Folder, number: u64, tail: Tail) -> Result<(), Error> {
        let bytes = folder.read(&segment::file_name(number))?;
        if let Some(previous) = self.segments.back()
            && segment::previous_length(number, &bytes)
                .is_some_and(|length| length != previous.length)
        {
            return Err(corrupt(previous.number, previous.length, Corruption::Short));
        }
        let mut max_index = 0;
        let length = segment::scan(number, &bytes, tail, |offset, record| {
            if record.kind == Kind::Entry {
                max_index = max_index.max(record.position.index);
            }
            self.apply(record).map_err(|corruption| corrupt(number, offset, corruption))
        })?;
        self.segments.push_back(Segment { number, length, max_index });
        Ok(())
    }

    fn apply(&mut self, record: Record<'_>) -> Result<(), Corruption> {
        match record.kind {
            Kind::HardState => self.recovery.hard_state = Some(record.payload.to_vec()),
            Kind::Reset => self.recovery.entries.clear(),
            Kind::Base => self.base = self.base.max(record.position.index),
            Kind::Entry => self.push(record)?,
        }
        Ok(())
    }

    fn push(&mut self, record: Record<'_>) -> Result<(), Corruption> {
        let entries = &mut self.recovery.entries;
        if let Some(first) = entries.first() {
            let offset =
                record.position.index.checked_sub(first.position.index).ok_or(Corruption::Gap)?;
            let kept = usize::try_from(offset).ok().filter(|kept| *kept <= entries.len());
            entries.truncate(kept.ok_or(Corruption::Gap)?);
        }
        entries.push(Entry { position: record.position, payload: record.payload.to_vec() });
        Ok(())
    }

    /// Drops the entries that the snapshot includes, or all entries if they don't contain its last one.
    fn join_snapshot(&mut self, first_segment: u64) -> Result<(), Error> {
        let entries = &mut self.recovery.entries;
        let last =
            self.recovery.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.last);
        if last.index < self.base {
            return Err(Error::Corrupt {
                file: snapshot::file_name(self.base),
                offset: 0,
                corruption: Corruption::Missing,
            });
        }
        let Some(first) = entries.first().map(|entry| entry.position.index) else {
            return Ok(());
        };
        if first > last.index + 1 {
            return Err(corrupt(first_segment, 0, Corruption::Gap));
        }
        if first == last.index + 1 {
            return Ok(());
        }
        match entries.iter().position(|entry| entry.position == last) {
            Some(at) => drop(entries.drain(..=at)),
            None => {
                entries.clear();
                self.has_stale_entries = true;
            }
        }
        Ok(())
    }
}

fn corrupt(number: u64, offset: u64, corruption: Corruption) -> Error {
    Error::Corrupt { file: segment::file_name(number), offset, corruption }
}
