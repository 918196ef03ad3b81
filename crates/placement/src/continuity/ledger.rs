//! The origins of streams that a control instance keeps for the entry instances, which may all lose theirs at once.
//!
//! Load: while a service has two versions, three records for each stream that begins, 45,000 a second in the largest
//! fleet; none while it has one.

use std::time::Duration;

use common::clock::Moment;
use fleet::exchange::{Origin, Testimony};

use crate::continuity::{Origins, Versions, ms};

/// Streams whose origins are kept.
const MAX_ORIGINS: usize = 131_072;
/// Time for which they are kept; callers come back sooner.
pub const RETENTION: Duration = Duration::from_secs(30);

/// Origins of streams, and since when they are complete.
#[derive(Clone, Debug)]
pub struct Ledger {
    origins: Origins,
    /// All origins are kept that were recorded since then and have not expired.
    complete_since: Moment,
}

impl Ledger {
    /// Creates an empty ledger at `now`, before which an earlier process may have acknowledged others.
    pub fn new(now: Moment) -> Ledger {
        Ledger { origins: Origins::with_capacity(MAX_ORIGINS), complete_since: now }
    }

    /// Takes over that all origins are here again that an earlier process acknowledged since `since`.
    pub fn restore(&mut self, since: Moment) {
        self.complete_since = self.complete_since.min(since);
    }

    /// Since when no record is missing.
    pub fn complete_since(&self) -> Moment {
        self.complete_since
    }

    /// Keeps the origin of a stream that was recorded at `at`.
    pub fn keep(&mut self, stream: &str, origin: Origin, at: Moment) {
        if let Some(evicted) = self.origins.record(stream, origin, RETENTION, at) {
            self.complete_since = self.complete_since.max(evicted);
        }
    }

    /// What this instance says of a stream and of the versions of its service.
    pub fn testify(&self, stream: &str, versions: Option<&Versions>, now: Moment) -> Testimony {
        Testimony {
            origin: self.origins.get(stream).cloned(),
            complete_ms: ms(now.since(self.complete_since)),
            versions: versions.map_or_else(Vec::new, |versions| versions.ages(now)),
        }
    }

    /// The streams whose origins are kept, with the time of each record.
    pub fn origins(&self) -> impl Iterator<Item = (&str, &Origin, Moment)> {
        self.origins.iter()
    }

    /// Number of streams whose origins are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Removes the origins of streams that no caller comes back to.
    pub fn expire(&mut self, now: Moment) {
        self.origins.expire(RETENTION, now);
    }
}
