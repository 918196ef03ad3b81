//! Index of the targets' prefix caches: which target is expected to have the longest prefix of a prompt cached.
//!
//! It is built from the targets' cache events, which may be late, lost or out of order, and from the prompts that this
//! instance dispatched. Each entry therefore has a confidence, which falls with its age and with each missed event.

use std::time::Duration;

use common::{
    clock::Moment,
    collections::{Map, Set},
    random,
};
use wire::target::{Change, Event};

use crate::request::Target;

/// Maximum number of pieces in the index. It has two generations; once the recent one exceeds half of the maximum, it
/// replaces the older one.
const MAX_PIECES: usize = 200_000;
/// Maximum number of holders in the index for one piece.
const MAX_HOLDERS: usize = 4;
/// Age at which the confidence in an entry has halved.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Factor on the confidence in a target's entries for each of its events that was missed since they were made.
const MISSED_EVENT_FACTOR: f64 = 0.98;
/// Confidence below which a holder is ignored.
const MIN_CONFIDENCE: f64 = 0.1;
/// Missing events whose numbers are at most this far below the highest one are still expected, out of order.
const REORDER_WINDOW: u64 = 256;

/// A target that is expected to have a piece cached.
#[derive(Clone, Copy, Debug)]
struct Holder {
    target: Target,
    seen: Moment,
    /// Number of the event that reported it, or 0 for a dispatch of this instance.
    number: u64,
    /// Missed events of the target at that time.
    missed: u64,
}

/// Sequence numbers seen in a target's stream of cache events.
#[derive(Clone, Debug)]
struct Stream {
    highest: u64,
    /// Skipped numbers whose events may still arrive.
    missing: Set<u64>,
    /// Count of all skipped events that have not arrived.
    missed: u64,
}

/// A target that is expected to have a prefix of a prompt cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match {
    /// The target.
    pub target: Target,
    /// Length of the prefix, in whole pieces.
    pub pieces: usize,
    /// Confidence that it is still cached, from 0 to 1.
    pub confidence: f64,
}

/// The holders of each piece, by the piece's chained hash.
#[derive(Debug, Default)]
pub struct Index {
    recent: Map<u64, Vec<Holder>>,
    older: Map<u64, Vec<Holder>>,
    streams: Map<Target, Stream>,
}

impl Index {
    /// Applies a cache event, which may be late, duplicated or out of order.
    pub fn apply_event(&mut self, target: Target, event: &Event, now: Moment) {
        self.track_sequence(target, event.number);
        match event.change {
            Change::Stored => self.insert(event.piece, target, event.number, now),
            Change::Removed => self.remove(event.piece, target, event.number),
        }
    }

    /// Records that a prompt was sent to a target, which will have its pieces cached.
    pub fn record_dispatch(&mut self, target: Target, pieces: &[u64], now: Moment) {
        for piece in pieces {
            self.insert(*piece, target, 0, now);
        }
    }

    /// Removes all entries of a target whose process has ended or restarted.
    pub fn remove_target(&mut self, target: Target) {
        self.streams.remove(&target);
        for map in [&mut self.recent, &mut self.older] {
            map.retain(|_, holders| {
                holders.retain(|holder| holder.target != target);
                !holders.is_empty()
            });
        }
    }

    /// Targets that are expected to have a prefix cached with sufficient confidence, those of the longest first.
    ///
    /// A target is returned once for each of its prefixes.
    pub fn longest_matches(&self, pieces: &[u64], now: Moment) -> impl Iterator<Item = Match> {
        (0..pieces.len()).rev().flat_map(move |index| {
            self.holders(pieces[index]).filter_map(move |holder| {
                let confidence = self.confidence(holder, now);
                let found = Match { target: holder.target, pieces: index + 1, confidence };
                (confidence >= MIN_CONFIDENCE).then_some(found)
            })
        })
    }

    /// Expected number of a prompt's pieces that a target has cached: the longest prefix, weighted by its confidence.
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

    fn track_sequence(&mut self, target: Target, number: u64) {
        let new_stream = Stream { highest: number, missing: Set::default(), missed: 0 };
        let stream = self.streams.entry(target).or_insert(new_stream);
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

/// Weight of a target for a piece in rendezvous hashing (Thaler and Ravishankar 1996); the highest weight wins.
pub fn rendezvous_weight(piece: u64, target_hash: u64) -> u64 {
    random::mix(piece ^ target_hash)
}
