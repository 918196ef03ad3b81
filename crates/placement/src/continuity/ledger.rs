//! The origins of streams that a control instance keeps for the entry instances, which may all lose theirs at once.
//!
//! Load: three records for each stream that begins, 45,000 a second in the largest fleet, while a service has two versions;
//! while it has one, only for streams with a long [`lifetime`].

use common::clock::Moment;
use fleet::exchange::{Origin, Testimony};

use crate::continuity::{Origins, RETENTION, Versions, lifetime, ms};

/// Streams whose origins are kept.
const MAX_ORIGINS: usize = 131_072;

/// Origins of streams, and since when they are complete.
#[derive(Clone, Debug)]
pub struct Ledger {
    origins: Origins,
    /// [`RETENTION`] before the last stream ends whose record was lost. Instances that take a stream up trust a ledger that
    /// is complete for that long.
    complete_since: Moment,
}

impl Ledger {
    /// Creates an empty ledger at `now`, before which an earlier process may have acknowledged origins of any lifetime.
    pub fn new(now: Moment) -> Ledger {
        let complete_since = now + lifetime::LONGEST + lifetime::MARGIN - RETENTION;
        Ledger { origins: Origins::with_capacity(MAX_ORIGINS), complete_since }
    }

    /// Takes over that all origins are here again that an earlier process acknowledged, whose ledger was complete since
    /// `since`, or that there was no earlier process.
    pub fn restore(&mut self, since: Moment) {
        self.complete_since = self.complete_since.min(since);
    }

    /// Since when no record is missing; see [`Testimony::complete_ms`].
    pub fn complete_since(&self) -> Moment {
        self.complete_since
    }

    /// Keeps the origin of a stream that may be taken up until then.
    pub fn keep(&mut self, stream: &str, origin: Origin, until: Moment, now: Moment) {
        if let Some(evicted) = self.origins.record(stream, origin, until, now) {
            self.complete_since = self.complete_since.max(evicted - RETENTION);
        }
    }

    /// Whether this origin of a stream is kept until then.
    pub fn keeps(&self, stream: &str, origin: &Origin, until: Moment) -> bool {
        self.origins.keeps(stream, origin, until)
    }

    /// What this instance says of a stream and of the versions of its service.
    pub fn testify(&self, stream: &str, versions: Option<&Versions>, now: Moment) -> Testimony {
        Testimony {
            origin: self.origins.get(stream).cloned(),
            complete_ms: ms(now.since(self.complete_since)),
            versions: versions.map_or_else(Vec::new, |versions| versions.ages(now)),
        }
    }

    /// The streams whose origins are kept, and until when each may be taken up.
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
        self.origins.expire(now);
    }
}
