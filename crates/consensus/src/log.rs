//! Log entries in memory, and the configurations that they set.

use std::collections::VecDeque;

use crate::{
    entry::{Entry, Payload, Position, Snapshot},
    member::Config,
};

/// A configuration and the index from which it applies.
#[derive(Clone, Debug)]
struct IndexedConfig {
    index: u64,
    config: Config,
}

/// The entries after `base`, and the newest snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    /// Position directly before the first entry.
    base: Position,
    entries: VecDeque<Entry>,
    /// Configurations in order of index; the first one applies at `base`.
    configs: Vec<IndexedConfig>,
    pub snapshot: Snapshot,
}

impl Log {
    /// An empty log after `snapshot`.
    pub(crate) fn new(snapshot: Snapshot) -> Log {
        let config = snapshot.config.clone();
        let configs = vec![IndexedConfig { index: snapshot.last.index, config }];
        Log { base: snapshot.last, entries: VecDeque::new(), configs, snapshot }
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// The current configuration: the newest in the log, committed or not.
    pub(crate) fn config(&self) -> &Config {
        &self.newest().config
    }

    /// Index from which the current configuration applies.
    pub(crate) fn config_index(&self) -> u64 {
        self.newest().index
    }

    fn newest(&self) -> &IndexedConfig {
        self.configs.last().expect("invariant: a log has a configuration at its base")
    }

    /// The configuration that applies at `index`.
    pub(crate) fn config_at(&self, index: u64) -> &Config {
        let indexed = self.configs.iter().rfind(|indexed| indexed.index <= index);
        &indexed.unwrap_or(&self.configs[0]).config
    }

    /// Term of the entry at `index`, if it is in memory or at `base`.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    pub(crate) fn position(&self, index: u64) -> Option<Position> {
        self.term(index).map(|term| Position { index, term })
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Offset in `entries` of the entry at `index`.
    fn offset(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base.index + 1)?).ok()
    }

    /// At most `count` entries from `first` on, and at most `bytes` in total unless the first one is larger.
    pub(crate) fn batch(&self, first: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(first) else {
            return Vec::new();
        };
        let mut total = 0;
        let within = |entry: &&Entry| {
            let fits = total == 0 || total + entry.size_bytes() <= bytes;
            total += entry.size_bytes();
            fits
        };
        self.entries.iter().skip(offset).take(count).take_while(within).cloned().collect()
    }

    /// Entries from `first` to `last`, inclusive.
    pub(crate) fn range(&self, first: u64, last: u64) -> Vec<Entry> {
        let count = usize::try_from((last + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        self.batch(first, count, usize::MAX)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Config(config) = &entry.payload {
            self.configs
                .push(IndexedConfig { index: entry.position.index, config: config.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
            self.configs.retain(|indexed| indexed.index < index);
        }
    }

    /// Approximate size of the entries after `index`, in bytes.
    pub(crate) fn bytes_after(&self, index: u64) -> usize {
        let later = self.entries.iter().rev().take_while(|entry| entry.position.index > index);
        later.map(Entry::size_bytes).sum()
    }

    /// Replaces the snapshot, and drops the entries before it except the last `retained`, which have at most
    /// `retained_bytes`.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, retained: u64, retained_bytes: usize) {
        let last = snapshot.last.index;
        let mut base = last.saturating_sub(retained);
        while base < last && self.bytes_after(base) - self.bytes_after(last) > retained_bytes {
            base += 1;
        }
        self.snapshot = snapshot;
        while let Some(entry) = self.entries.front().filter(|entry| entry.position.index <= base) {
            self.base = entry.position;
            self.entries.pop_front();
        }
        let at_base = self.configs.iter().rposition(|indexed| indexed.index <= base).unwrap_or(0);
        self.configs.drain(..at_base);
    }

    /// Installs a received snapshot; keeps the entries after it if the log contains its last entry.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        let suffix = if self.term(last.index) == Some(last.term) {
            self.range(last.index + 1, self.last().index)
        } else {
            Vec::new()
        };
        *self = Log::new(snapshot);
        for entry in suffix {
            self.push(entry);
        }
    }

    /// The last position at or before `from` at which this log can match a log that contains `from`: later entries have
    /// a higher term than `from`.
    pub(crate) fn last_possible_match(&self, from: Position) -> Position {
        let mut index = from.index.min(self.last().index);
        while index > self.base.index && self.term(index).is_some_and(|term| term > from.term) {
            index -= 1;
        }
        self.position(index).unwrap_or(self.base)
    }
}
