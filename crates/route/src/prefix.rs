//! Which target holds the longest prefix of a prompt, from late and gapped events and own dispatches.

use std::time::Duration;

use common::{
    clock::Moment,
    collections::{Map, Set},
    random,
};
use wire::target::{Change, Event};

use crate::request::Target;

/// Pieces that are remembered at most; the whole memory is renewed by halves.
const MAX_PIECES: usize = 200_000;
/// Holders of one piece that are remembered.
const MAX_HOLDERS: usize = 4;
/// Age at which knowledge counts half.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Factor on the trust in a target's pieces for each event that was missed since they were seen.
const MISSED_EVENT_FACTOR: f64 = 0.98;
/// Trust below which a holder is not considered.
const MIN_CONFIDENCE: f64 = 0.1;
/// Event numbers after a gap that are still awaited out of order.
const REORDER_WINDOW: u64 = 256;

/// Who holds a piece.
#[derive(Clone, Copy, Debug)]
struct Holder {
    target: Target,
    seen: Moment,
    /// Number of the event that told, or 0 for an own dispatch.
    number: u64,
    /// Events of the target that had been missed by then.
    missed: u64,
}

/// A target's stream of events.
#[derive(Clone, Debug)]
struct Stream {
    highest: u64,
    /// Numbers that were skipped and may still come.
    missing: Set<u64>,
    /// Events skipped and not come since.
    missed: u64,
}

/// A target and how much of a prompt it is expected to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match {
    /// The target.
    pub target: Target,
    /// Whole pieces from the prompt's start.
    pub pieces: usize,
    /// Trust in this, from 0 to 1.
    pub confidence: f64,
}

/// Pieces and their holders.
#[derive(Debug, Default)]
pub struct Index {
    recent: Map<u64, Vec<Holder>>,
    older: Map<u64, Vec<Holder>>,
    streams: Map<Target, Stream>,
}

impl Index {
    /// Takes in an event, which may be late, doubled or out of order.
    pub fn apply_event(&mut self, target: Target, event: &Event, now: Moment) {
        self.follow(target, event.number);
        match event.change {
            Change::Stored => self.insert(event.piece, target, event.number, now),
            Change::Removed => self.remove(event.piece, target, event.number),
        }
    }

    /// Takes in that a prompt was sent to a target, which will hold its pieces.
    pub fn record_dispatch(&mut self, target: Target, pieces: &[u64], now: Moment) {
        for piece in pieces {
            self.insert(*piece, target, 0, now);
        }
    }

    /// Forgets a target whose process has ended or started anew.
    pub fn remove_target(&mut self, target: Target) {
        self.streams.remove(&target);
        for map in [&mut self.recent, &mut self.older] {
            map.retain(|_, holders| {
                holders.retain(|holder| holder.target != target);
                !holders.is_empty()
            });
        }
    }

    /// Targets that hold the longest prefix, longest first, as far as they are trusted.
    pub fn longest_matches(&self, pieces: &[u64], now: Moment) -> impl Iterator<Item = Match> {
        (0..pieces.len()).rev().flat_map(move |index| {
            self.holders(pieces[index]).filter_map(move |holder| {
                let confidence = self.confidence(holder, now);
                let found = Match { target: holder.target, pieces: index + 1, confidence };
                (confidence >= MIN_CONFIDENCE).then_some(found)
            })
        })
    }

    /// How much of a prompt one target is expected to hold.
    pub fn expected_pieces(&self, target: Target, pieces: &[u64], now: Moment) -> f64 {
        let holds = |piece: &u64| self.holders(*piece).find(|holder| holder.target == target);
        let found =
            pieces.iter().enumerate().rev().find_map(|(at, piece)| Some((at, holds(piece)?)));
        found.map_or(0.0, |(at, holder)| (at + 1) as f64 * self.confidence(holder, now))
    }

    fn holders(&self, piece: u64) -> impl Iterator<Item = &Holder> {
        let recent = self.recent.get(&piece);
        let older = if recent.is_none() { self.older.get(&piece) } else { None };
        recent.or(older).into_iter().flatten()
    }

    fn confidence(&self, holder: &Holder, now: Moment) -> f64 {
        let age = now.since(holder.seen).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let missed = self.missed(holder.target).saturating_sub(holder.missed);
        let exponent = i32::try_from(missed).unwrap_or(i32::MAX);
        MISSED_EVENT_FACTOR.powi(exponent) * 0.5_f64.powf(age)
    }

    fn missed(&self, target: Target) -> u64 {
        self.streams.get(&target).map_or(0, |stream| stream.missed)
    }

    fn follow(&mut self, target: Target, number: u64) {
        let fresh = Stream { highest: number, missing: Set::default(), missed: 0 };
        let stream = self.streams.entry(target).or_insert(fresh);
        if number <= stream.highest {
            if stream.missing.remove(&number) {
                stream.missed -= 1;
            }
            return;
        }
        let skipped = number - stream.highest - 1;
        let awaited = skipped.min(REORDER_WINDOW);
        stream.missing.extend(number - awaited..number);
        stream.missed += skipped;
        stream.highest = number;
        if skipped > 0 {
            stream.missing.retain(|missing| missing + REORDER_WINDOW >= number);
        }
    }

    fn insert(&mut self, piece: u64, target: Target, number: u64, now: Moment) {
        let missed = self.missed(target);
        let older = self.older.remove(&piece);
        let holders = self.recent.entry(piece).or_insert_with(|| older.unwrap_or_default());
        let known = holders.iter().position(|holder| holder.target == target);
        if let Some(at) = known {
            if number != 0 && number < holders[at].number {
                return;
            }
            holders.remove(at);
        }
        holders.insert(0, Holder { target, seen: now, number, missed });
        holders.truncate(MAX_HOLDERS);
        if self.recent.len() > MAX_PIECES / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    fn remove(&mut self, piece: u64, target: Target, number: u64) {
        for map in [&mut self.recent, &mut self.older] {
            if let Some(holders) = map.get_mut(&piece) {
                holders.retain(|holder| holder.target != target || holder.number > number);
            }
        }
    }
}

/// Weight of a target for a piece by rendezvous hashing (Thaler and Ravishankar 1996).
pub fn rendezvous_weight(piece: u64, target_hash: u64) -> u64 {
    random::mix(piece ^ target_hash)
}
