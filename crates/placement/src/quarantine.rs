//! Which parts of prompts end the engines that generate on them, and must not be sent any more.
//!
//! A part is blamed when an engine's process ends while a request with it is at its beginning, unless an answer with
//! the part succeeded lately: requests share most of their parts, so those that are sound succeed all the time. What
//! counts is a sequence of ends: an end raises the count of a part only if the request was sent when the end before was
//! known. Engines that end together, however many, raise it by one.
//!
//! The state of a part is a pair: how often a success has cleared it, and the ends since. The greater pair in
//! lexicographic order wins, so instances may exchange states in any order, repeatedly and with losses (a join
//! semilattice; Shapiro et al. 2011, "Conflict-free replicated data types"). Several instances that see one end, or one
//! success, arrive at the same pair.
//!
//! At [`MAX_ENDS`] the part is quarantined. One instance may send one request with it when a delay has passed, which
//! grows with each further end. Where no answer has shown yet which of a request's parts are sound, several of them are
//! quarantined together, and requests that have some of these but not all are tried at once: those that end no engine
//! clear what they have.

mod ledger;
pub mod report;
pub mod request;

use std::time::Duration;

use common::clock::Moment;
use fleet::exchange::Suspicion;

use crate::quarantine::ledger::{Ledger, Successes};

/// Ends, each of a request that was sent after the one before, at which a part is quarantined.
pub const MAX_ENDS: u32 = 4;
/// Ends from which a request that was broken off is not sent again, so that no single request quarantines a part.
const MAX_ENDS_FOR_RETRY: u32 = 2;
/// Time from the quarantine until a request with the part is tried, and by how much it grows with each further end.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(30);
const TRIAL_DELAY_FACTOR: u32 = 4;
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);
/// Parts that were quarantined within this time of each other, with as many ends, were blamed for the same ends.
const JOINT_TOLERANCE: Duration = Duration::from_millis(500);
/// Time between two tries of a part that was quarantined together with others, by requests that lack one of those.
const JOINT_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Time for which a success shows that a part is sound.
const SUCCESS_TTL: Duration = Duration::from_secs(60);
/// Parts whose state is kept.
const MAX_PARTS: usize = 1_024;
/// Parts whose last success is kept.
const MAX_SUCCESSES: usize = 8_192;

/// How often a part was cleared, and the ends since; ordered lexicographically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    clearings: u32,
    ends: u32,
}

impl ledger::Standing for Standing {
    fn join(&mut self, other: &Standing) {
        *self = (*self).max(*other);
    }

    fn blame(&self) -> u32 {
        self.ends
    }

    fn is_quarantined(&self) -> bool {
        self.ends >= MAX_ENDS
    }
}

type Entry = ledger::Entry<Standing>;

impl Entry {
    /// Time until a request with the part may be tried; none if the part is not quarantined.
    fn wait(&self, now: Moment) -> Option<Duration> {
        let further = self.standing.ends.checked_sub(MAX_ENDS)?;
        let delay = FIRST_TRIAL_DELAY
            .saturating_mul(TRIAL_DELAY_FACTOR.saturating_pow(further))
            .min(MAX_TRIAL_DELAY);
        let from = self.tried_at.map_or(self.since, |tried| tried.max(self.since));
        Some((from + delay).since(now))
    }

    /// Time until the part may be tried by a request that lacks another part which was quarantined together with it.
    fn joint_wait(&self, now: Moment) -> Duration {
        self.tried_at.map_or(Duration::ZERO, |tried| (tried + JOINT_TRIAL_DELAY).since(now))
    }
}

/// What an instance knew of the parts of a request when it was sent.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Vec<(u64, Standing)>);

/// Whether this instance may try quarantined parts; one instance of the fleet may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trials {
    /// It may.
    Allowed,
    /// Another instance may, or this one doesn't know the fleet yet.
    Denied,
}

/// The parts that a service's engines have ended on, as one instance knows them.
#[derive(Clone, Debug)]
pub struct Quarantine {
    entries: Ledger<u64, Standing>,
    /// Last success of each part at this instance.
    successes: Successes<u64>,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine {
            entries: Ledger::new(MAX_PARTS),
            successes: Successes::new(SUCCESS_TTL, MAX_SUCCESSES),
        }
    }
}

impl Quarantine {
    /// Admits a request with these parts, or returns the time until one with the part may be tried.
    ///
    /// # Errors
    ///
    /// Returns the longest wait if a part is quarantined and no trial is due.
    pub fn admit(
        &mut self,
        parts: impl Iterator<Item = u64> + Clone,
        trials: impl Fn(u64) -> Trials,
        now: Moment,
    ) -> Result<Ticket, Duration> {
        let mut longest = Duration::ZERO;
        for part in parts.clone() {
            let Some(entry) = self.entries.get(part) else {
                continue;
            };
            let Some(wait) = entry.wait(now) else {
                continue;
            };
            let joint = self.is_joint_part_missing(part, entry, &parts);
            let wait = if joint { entry.joint_wait(now) } else { wait };
            let shortest = match trials(part) {
                Trials::Allowed => Duration::ZERO,
                Trials::Denied if joint => JOINT_TRIAL_DELAY,
                Trials::Denied => FIRST_TRIAL_DELAY,
            };
            longest = longest.max(wait).max(shortest);
        }
        if !longest.is_zero() {
            return Err(longest);
        }
        let standing = |part: u64| {
            let entry = self.entries.get_mut(part)?;
            if entry.standing.ends >= MAX_ENDS {
                entry.tried_at = Some(now);
            }
            Some((part, entry.standing))
        };
        Ok(Ticket(parts.filter_map(standing).collect()))
    }

    /// Whether a part was quarantined together with one that is not among `parts`.
    fn is_joint_part_missing(
        &self,
        part: u64,
        entry: &Entry,
        parts: &(impl Iterator<Item = u64> + Clone),
    ) -> bool {
        self.entries.iter().any(|(other, joint)| {
            other != part
                && joint.standing.ends == entry.standing.ends
                && joint.since.since(entry.since).max(entry.since.since(joint.since))
                    <= JOINT_TOLERANCE
                && !parts.clone().any(|part| part == other)
        })
    }

    /// What is known now of the parts of an admitted request, before another engine generates for it; nothing if one
    /// was quarantined since the admission.
    pub fn renew(&self, parts: impl Iterator<Item = u64>, ticket: &Ticket) -> Option<Ticket> {
        let mut renewed = Vec::new();
        for part in parts {
            let Some(entry) = self.entries.get(part) else {
                continue;
            };
            if entry.standing.ends >= MAX_ENDS && !ticket.0.contains(&(part, entry.standing)) {
                return None;
            }
            renewed.push((part, entry.standing));
        }
        Some(Ticket(renewed))
    }

    /// Whether any of these parts could be blamed for the end of an engine.
    pub fn is_any_unproven(&self, mut parts: impl Iterator<Item = u64>, now: Moment) -> bool {
        parts.any(|part| !self.successes.is_proven(part, now))
    }

    /// Whether a request with these parts may be sent again after it was broken off.
    pub fn may_retry(&self, mut parts: impl Iterator<Item = u64>) -> bool {
        let ends = |part: u64| self.entries.get(part).map_or(0, |entry| entry.standing.ends);
        parts.all(|part| ends(part) < MAX_ENDS_FOR_RETRY)
    }

    /// Records that the process of an engine ended while a request was at its beginning; returns the states that
    /// changed, for the other instances.
    pub fn record_end(
        &mut self,
        parts: impl Iterator<Item = u64>,
        ticket: &Ticket,
        now: Moment,
    ) -> Vec<Suspicion> {
        let mut changed = Vec::new();
        for part in parts {
            if self.successes.is_proven(part, now) {
                continue;
            }
            let known = ticket.0.iter().find(|(other, _)| *other == part);
            let Standing { clearings, ends } =
                known.map_or_else(Standing::default, |known| known.1);
            let standing = Standing { clearings, ends: ends.saturating_add(1) };
            if self.entries.raise(part, standing, now, now) {
                changed.push(suspicion(part, standing, Duration::ZERO));
            }
        }
        changed
    }

    /// Records that an answer to a request with these parts succeeded; returns the states that changed.
    pub fn record_success(
        &mut self,
        parts: impl Iterator<Item = u64>,
        now: Moment,
    ) -> Vec<Suspicion> {
        let mut changed = Vec::new();
        for part in parts {
            self.successes.record(part, now);
            changed.extend(self.clear(part, now));
        }
        changed
    }

    /// Merges the state of a part at another instance; returns an objection if answers with the part succeed here.
    pub fn merge(&mut self, suspicion: &Suspicion, now: Moment) -> Option<Suspicion> {
        let Suspicion { part, clearings, ends, age_ms } = *suspicion;
        let since = now - Duration::from_millis(age_ms);
        self.entries.raise(part, Standing { clearings, ends }, since, now);
        if self.successes.is_proven(part, now) { self.clear(part, now) } else { None }
    }

    /// The states that other instances should have, the quarantined parts first.
    pub fn suspicions(&self, now: Moment) -> Vec<Suspicion> {
        let mut kept: Vec<Suspicion> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.expired(now))
            .map(|(part, entry)| suspicion(part, entry.standing, now.since(entry.since)))
            .collect();
        kept.sort_unstable_by_key(|suspicion| (std::cmp::Reverse(suspicion.ends), suspicion.part));
        kept
    }

    /// Number of quarantined parts.
    pub fn quarantined(&self) -> usize {
        self.entries.quarantined()
    }

    /// Clears a part that is blamed.
    fn clear(&mut self, part: u64, now: Moment) -> Option<Suspicion> {
        let Standing { clearings, ends } = self.entries.get(part)?.standing;
        if ends == 0 {
            return None;
        }
        let standing = Standing { clearings: clearings.saturating_add(1), ends: 0 };
        self.entries.raise(part, standing, now, now);
        Some(suspicion(part, standing, Duration::ZERO))
    }
}

fn suspicion(part: u64, standing: Standing, age: Duration) -> Suspicion {
    let Standing { clearings, ends } = standing;
    Suspicion { part, clearings, ends, age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX) }
}
