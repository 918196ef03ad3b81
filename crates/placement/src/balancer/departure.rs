//! Targets that leave, and what is kept of those that were removed.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::registry::{State, Target};

use crate::{
    balancer::{Balancer, Entry, Key, LEAVING_GRACE},
    condition::Condition,
};

/// Time for which the condition of a removed target is kept; targets that were lost announce themselves again within
/// it.
const REMOVED_RETENTION: Duration = Duration::from_secs(120);

/// Condition of the process of a target that was removed.
#[derive(Clone, Debug)]
pub(super) struct Removed {
    started_unix_ms: u64,
    condition: Condition,
    at: Moment,
}

impl Balancer {
    /// Keeps a target that has left without saying before that it would: it serves on for a while, as one that leaves does.
    pub(super) fn keep_leaving(&mut self, key: Key, target: &Target, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let is_same = entry.target.started_unix_ms == target.started_unix_ms;
        if target.state != State::Gone || entry.target.state != State::Ready || !is_same {
            return false;
        }
        entry.target.state = State::Draining;
        entry.leaving_since = Some(now);
        entry.has_left = true;
        true
    }

    /// Removes targets that have left and serve no longer.
    pub fn remove_left(&mut self, now: Moment) {
        let over = |entry: &Entry| {
            entry.has_left
                && entry.leaving_since.is_none_or(|since| now.since(since) >= LEAVING_GRACE)
        };
        let left = self.entries.iter().filter(|(_, entry)| over(entry));
        let left: Vec<(Key, name::Target)> =
            left.map(|(key, entry)| (key, entry.target.name.clone())).collect();
        for (key, target) in left {
            self.names.remove(&target);
            self.remove(key, now);
        }
    }

    pub(super) fn remove(&mut self, key: Key, now: Moment) {
        self.cells_outdated = true;
        self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_RETENTION);
        if let Some(Entry { target, condition, .. }) = self.entries.remove(key) {
            let started_unix_ms = target.started_unix_ms;
            self.removed.insert(target.name, Removed { started_unix_ms, condition, at: now });
        }
    }

    /// The condition of a target's process before it was removed.
    pub(super) fn restore_condition(&mut self, target: &Target) -> Condition {
        let removed = self.removed.remove(&target.name);
        let same = removed.filter(|removed| removed.started_unix_ms == target.started_unix_ms);
        same.map(|removed| removed.condition).unwrap_or_default()
    }
}

/// Whether the cells may differ after an update of a target.
pub(super) fn is_placed_apart(before: &Target, after: &Target) -> bool {
    let place = |target: &Target| (target.state, target.stage, target.started_unix_ms);
    place(before) != place(after)
}

/// When a target was first known to leave, if it does.
pub(super) fn leaving_since(target: &Target, since: Option<Moment>, now: Moment) -> Option<Moment> {
    (target.state == State::Draining).then(|| since.unwrap_or(now))
}
