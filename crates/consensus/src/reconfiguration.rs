//! Finishes the replacement of a replica, one change at a time.
//!
//! All that is under way stands in the configuration, so any later leader goes on where the last one stopped.

use common::name;

use crate::{
    member::{Change, Id, Member},
    status::Status,
};

/// The next change that a leader should propose, if any.
///
/// A learner that has caught up is promoted, then the member that it replaces is removed.
pub fn next_change(status: &Status, max_promotion_lag: u64) -> Option<Change> {
    if !status.settled {
        return None;
    }
    let config = &status.config;
    let replaced = config
        .members()
        .iter()
        .filter(|member| member.voter)
        .filter_map(|member| member.replaces)
        .find(|old| config.member(*old).is_some());
    if let Some(old) = replaced {
        return Some(Change::Remove(old));
    }
    let caught_up =
        |id| status.lags.iter().any(|lag| lag.id == id && lag.entries <= max_promotion_lag);
    config
        .members()
        .iter()
        .find(|member| !member.voter && caught_up(member.id))
        .map(|member| Change::Promote(member.id))
}

/// The change that lets a replica without any state join in the place of the one that its instance kept before.
///
/// Nothing if it has joined, if another change is under way, or if no member stands at `instance`; a replica at a new
/// place is added by an operator.
pub fn rejoin(status: &Status, id: Id, instance: &name::Instance) -> Option<Change> {
    if !status.settled || status.config.member(id).is_some() {
        return None;
    }
    let at_instance = |member: &&Member| member.instance == *instance;
    let unpromoted =
        status.config.members().iter().filter(at_instance).find(|member| !member.voter);
    if let Some(learner) = unpromoted {
        return Some(Change::Remove(learner.id));
    }
    let newest = |member: &&Member| {
        let replaced = |other: &Member| other.replaces == Some(member.id);
        !status.config.members().iter().any(replaced)
    };
    let old = status.config.members().iter().filter(at_instance).find(newest)?;
    let replaces = Some(old.id);
    Some(Change::AddLearner(Member { id, instance: instance.clone(), voter: false, replaces }))
}

/// The change that adds a replica at a place where no member stands.
///
/// Nothing if it is a member, if another change is under way, or if a member stands at `instance`.
pub fn add(status: &Status, id: Id, instance: &name::Instance) -> Option<Change> {
    let known = |member: &Member| member.id == id || member.instance == *instance;
    if !status.settled || status.config.members().iter().any(known) {
        return None;
    }
    Some(Change::AddLearner(Member {
        id,
        instance: instance.clone(),
        voter: false,
        replaces: None,
    }))
}

/// The change that lets a replica at a new place join, to take the place of the one at `old`.
pub fn replace(
    status: &Status,
    id: Id,
    old: &name::Instance,
    new: &name::Instance,
) -> Option<Change> {
    let config = &status.config;
    if !status.settled || config.member(id).is_some() {
        return None;
    }
    let old = config.members().iter().find(|member| member.instance == *old && member.voter)?;
    let replaces = Some(old.id);
    Some(Change::AddLearner(Member { id, instance: new.clone(), voter: false, replaces }))
}
