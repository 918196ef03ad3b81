//! When an instance sends its notices of load, and for which target.
//!
//! Load: each entry instance notifies the keepers of an engine's cell ([`crate::cell`]) of what it sends there, so that the
//! notices of an instance don't depend on the number of the others. The datagrams that it sends are bounded by
//! [`DATAGRAMS_PER_S`] whatever the traffic: notices wait until they may be sent, are merged
//! meanwhile, and the oldest are dropped if too many wait. Only estimates of load age by that; a notice that must reach all
//! others soon is sent at once and delays the next ones.

use std::{collections::VecDeque, time::Duration};

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
};
use fleet::exchange::Notice;

/// Datagrams that an instance sends in a second, over some seconds.
pub const DATAGRAMS_PER_S: u64 = 1_000;
/// Notices in one datagram, so that it fits into a packet of the usual size.
pub const MAX_NOTICES: usize = 10;
/// Notices that wait; older ones are dropped.
const MAX_WAITING: usize = 256;
/// Notices that are sent together.
const MAX_TAKEN: usize = 40;
/// Placements whose targets are remembered for the notices of their ends.
const MAX_PLACEMENTS: usize = 4_096;
const MICROSECONDS_PER_S: u64 = 1_000_000;

/// Notices that wait to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: VecDeque<Addressed>,
    /// Targets of placements whose prompts have not been computed, by their numbers.
    targets: Map<u64, Vec<name::Target>>,
    /// When the datagrams that have been sent are paid for.
    next_at: Moment,
    dropped: u64,
}

/// A notice of load and the targets that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addressed {
    /// The targets.
    pub targets: Vec<name::Target>,
    /// The notice.
    pub notice: Notice,
}

impl Outbox {
    /// Adds notices; returns those that are sent to all others at once.
    pub fn add(&mut self, notices: impl IntoIterator<Item = Notice>) -> Vec<Notice> {
        let mut urgent = Vec::new();
        for notice in notices {
            let targets = match &notice {
                Notice::Placed(placement) => {
                    let prefill = placement.prefill.iter();
                    let targets: Vec<name::Target> =
                        prefill.chain([&placement.target]).cloned().collect();
                    self.remember(placement.number, targets.clone());
                    Some(targets)
                }
                Notice::Finished { number, .. } | Notice::Withdrawn { number } => {
                    self.targets.remove(number)
                }
                Notice::Held { target, .. } | Notice::Declined { target, .. } => {
                    Some(vec![target.clone()])
                }
                Notice::Unreached { .. }
                | Notice::Condition { .. }
                | Notice::Suspicions { .. }
                | Notice::Crashes(_)
                | Notice::Reach(_) => {
                    urgent.push(notice);
                    continue;
                }
                // Sent by earlier builds, or to a single instance.
                Notice::Sent(_)
                | Notice::Computed { .. }
                | Notice::Inquiry(_)
                | Notice::Loads(_) => None,
            };
            let Some(targets) = targets else {
                continue;
            };
            if self.waiting.len() >= MAX_WAITING {
                self.waiting.pop_front();
                self.dropped += 1;
            }
            self.waiting.push_back(Addressed { targets, notice });
        }
        urgent
    }

    fn remember(&mut self, number: u64, targets: Vec<name::Target>) {
        // An instance has far fewer prompts under way; numbers that are never named again must not add up.
        if self.targets.len() >= MAX_PLACEMENTS {
            self.targets.clear();
        }
        self.targets.insert(number, targets);
    }

    /// Time until the notices that wait are sent; `None` if there are none.
    pub fn until_due(&self, now: Moment) -> Option<Duration> {
        (!self.waiting.is_empty()).then(|| self.next_at.since(now))
    }

    /// Takes the notices that are sent now, the oldest first.
    pub fn take(&mut self) -> Vec<Addressed> {
        self.merge();
        let count = self.waiting.len().min(MAX_TAKEN);
        self.waiting.drain(..count).collect()
    }

    /// Pays for this many datagrams, to all receivers together.
    pub fn pay(&mut self, datagrams: usize, now: Moment) {
        let us = (datagrams as u64).saturating_mul(MICROSECONDS_PER_S) / DATAGRAMS_PER_S;
        self.next_at = self.next_at.max(now) + Duration::from_micros(us);
    }

    /// Number of notices that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Number of notices that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no notice waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes what later notices make void: prompts that were withdrawn meanwhile, and parts named twice.
    fn merge(&mut self) {
        let number = |addressed: &Addressed| match &addressed.notice {
            Notice::Withdrawn { number } => Some(*number),
            _ => None,
        };
        let withdrawn: Set<u64> = self.waiting.iter().filter_map(number).collect();
        let is_unsent = |addressed: &Addressed| match &addressed.notice {
            Notice::Placed(placement) => withdrawn.contains(&placement.number),
            _ => false,
        };
        let unsent: Vec<bool> = self.waiting.iter().map(is_unsent).collect();
        let waiting = std::mem::take(&mut self.waiting);
        for (addressed, is_unsent) in waiting.into_iter().zip(unsent) {
            let is_repeated = matches!(addressed.notice, Notice::Held { .. })
                && self.waiting.contains(&addressed);
            if !is_unsent && !is_repeated {
                self.waiting.push_back(addressed);
            }
        }
    }
}
