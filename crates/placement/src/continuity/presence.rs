//! When the targets of a service had a software version.

use std::{cmp::Reverse, time::Duration};

use common::clock::Moment;

/// Time without a target after which a version counts as absent; instances see their targets at least twice as often.
pub const ABSENT_AFTER: Duration = Duration::from_secs(1);
/// Absences that are kept of a version, the longest ones.
const MAX_ABSENCES: usize = 4;

/// A time in which no target had a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// When a target was last seen.
    pub from: Moment,
    /// When the next one was seen.
    pub until: Moment,
}

impl Absence {
    /// How long it lasted.
    pub fn duration(&self) -> Duration {
        self.until.since(self.from)
    }
}

/// When a version arrived, as far as instances can agree on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The earliest time that an instance may suppose.
    pub earliest: Moment,
    /// The latest one.
    pub latest: Moment,
}

/// A continuous time in which targets had a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// When one was first seen.
    pub first: Moment,
    /// When one was last seen.
    pub last: Moment,
}

/// When targets that take requests had a version, apart from what this instance could not observe.
#[derive(Clone, Debug)]
pub struct Presence {
    first: Moment,
    last: Moment,
    /// Since when this instance has observed that no target has it.
    absent_since: Option<Moment>,
    /// By time, without overlaps.
    absences: Vec<Absence>,
}

impl Presence {
    /// A version that was seen during one span.
    pub fn new(span: Span) -> Presence {
        let Span { first, last } = span;
        Presence { first, last, absent_since: None, absences: Vec::new() }
    }

    /// When it was first seen.
    pub fn first(&self) -> Moment {
        self.first
    }

    /// When it was last seen.
    pub fn last(&self) -> Moment {
        self.last
    }

    /// Whether this instance has observed that no target has it any more.
    pub fn is_absent(&self) -> bool {
        self.absent_since.is_some()
    }

    /// Records that a target has it now.
    pub fn see(&mut self, now: Moment) {
        self.last = self.last.max(now);
        if let Some(from) = self.absent_since.take() {
            self.add_absence(Absence { from, until: now });
        }
    }

    /// Records that no target that this instance knows has it now; returns whether it counts as absent from now on.
    pub fn miss(&mut self, now: Moment) -> bool {
        let is_new = self.absent_since.is_none() && now.since(self.last) >= ABSENT_AFTER;
        if is_new {
            self.absent_since = Some(self.last);
        }
        is_new
    }

    /// Records what an earlier process of this instance observed until `at`.
    pub fn restore(&mut self, at: Moment) {
        self.absent_since = (at.since(self.last) >= ABSENT_AFTER).then_some(self.last);
    }

    /// Adds spans that another instance knows, by time; it observed that no target had the version between them.
    pub fn merge(&mut self, spans: &[Span]) {
        for span in spans {
            self.first = self.first.min(span.first);
            self.last = self.last.max(span.last);
        }
        for pair in spans.windows(2) {
            self.add_absence(Absence { from: pair[0].last, until: pair[1].first });
        }
    }

    /// The spans in which targets had it, by time.
    pub fn spans(&self) -> Vec<Span> {
        let ends = self.absences.iter().map(|absence| absence.from);
        let last = self.absent_since.unwrap_or(self.last);
        let starts = self.absences.iter().map(|absence| absence.until);
        std::iter::once(self.first)
            .chain(starts)
            .zip(ends.chain([last]))
            .map(|(first, last)| Span { first, last })
            .collect()
    }

    /// When it arrived: after the last absence in which instances have forgotten it. All remember it up to `remembered`
    /// after its last target, and none for as long as `forgotten`.
    pub fn arrival(&self, remembered: Duration, forgotten: Duration) -> Arrival {
        let mut arrival = Arrival { earliest: self.first, latest: self.first };
        for absence in &self.absences {
            if absence.duration() >= forgotten {
                arrival.earliest = absence.until;
            }
            if absence.duration() >= remembered {
                arrival.latest = absence.until;
            }
        }
        arrival
    }

    /// Of absences that overlap, the earliest start and the earliest end hold: an instance that was cut off may have
    /// missed a target's return, and one that was just started the end of the version.
    fn add_absence(&mut self, mut absence: Absence) {
        self.absences.retain(|other| {
            let overlaps = other.from < absence.until && absence.from < other.until;
            if overlaps {
                absence.from = absence.from.min(other.from);
                absence.until = absence.until.min(other.until);
            }
            !overlaps
        });
        if absence.duration() < ABSENT_AFTER {
            return;
        }
        self.absences.push(absence);
        if self.absences.len() > MAX_ABSENCES {
            self.absences.sort_by_key(|absence| Reverse(absence.duration()));
            self.absences.truncate(MAX_ABSENCES);
        }
        self.absences.sort_by_key(|absence| absence.from);
    }
}
