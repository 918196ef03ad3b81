//! A prefix cache of limited capacity with least recently used eviction and an event for each change.

use std::collections::VecDeque;

use common::{collections::Set, piece};
use wire::target;

/// The cached pieces, in order of use with the least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    order: VecDeque<u64>,
    held: Set<u64>,
    events: Vec<target::Event>,
    next_event: u64,
}

impl Cache {
    /// Creates an empty cache with a capacity of `pieces` pieces.
    pub(super) fn new(pieces: u32) -> Cache {
        Cache {
            capacity: usize::try_from(pieces).unwrap_or(usize::MAX),
            order: VecDeque::new(),
            held: Set::default(),
            events: Vec::new(),
            next_event: 1,
        }
    }

    /// Tokens of the longest cached prefix, which is marked as used.
    pub(super) fn lookup(&mut self, pieces: &[u64]) -> u64 {
        let found = pieces.iter().take_while(|piece| self.held.contains(piece)).count();
        for &piece in &pieces[..found] {
            self.touch(piece);
        }
        u64::try_from(found * piece::TOKENS).unwrap_or(u64::MAX)
    }

    /// Stores the pieces of a computed prompt and evicts others where the capacity is exceeded.
    pub(super) fn store(&mut self, pieces: &[u64]) {
        for &piece in pieces {
            if self.held.insert(piece) {
                self.order.push_back(piece);
                self.record(piece, target::Change::Stored);
            } else {
                self.touch(piece);
            }
        }
        while self.held.len() > self.capacity {
            let Some(piece) = self.order.pop_front() else {
                return;
            };
            self.held.remove(&piece);
            self.record(piece, target::Change::Removed);
        }
    }

    /// Drops all pieces.
    pub(super) fn clear(&mut self) {
        while let Some(piece) = self.order.pop_front() {
            self.held.remove(&piece);
            self.record(piece, target::Change::Removed);
        }
    }

    /// Returns the events since the last call.
    pub(super) fn take_events(&mut self) -> Vec<target::Event> {
        std::mem::take(&mut self.events)
    }

    fn touch(&mut self, piece: u64) {
        self.order.retain(|&other| other != piece);
        self.order.push_back(piece);
    }

    fn record(&mut self, piece: u64, change: target::Change) {
        self.events.push(target::Event { number: self.next_event, piece, change });
        self.next_event += 1;
    }
}
