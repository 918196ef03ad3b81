//! Plans membership changes, one at a time.
//!
//! A replacement in progress is recorded in the configuration ([`Member::replaces`]), so a later leader continues it.

use std::time::Duration;

use common::name;

use crate::{
    member::{Change, Id, Member},
    status::Status,
};

/// When a leader removes members that don't reply.
///
/// Otherwise a member that never returns would count for the quorum forever. One that returns asks to join again, with
/// its identity and its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removal {
    /// Time without a reply after which a member is removed.
    pub after: Duration,
    /// Number of voters below which none is removed: `2f + 1`, so that an entry on a quorum outlives `f` disks.
    pub min_voters: usize,
}

/// The next change that a leader should propose to continue a replacement, if any.
///
/// A learner that lags by at most `max_promotion_lag` entries is promoted, then the member that it replaces is removed.
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

/// The change that removes the member that has not replied for longest, if that is long enough.
///
/// `silence` returns how long a member has not replied to this leader. Fewer voters need a smaller quorum, so the
/// removal of one that doesn't reply never costs the log its quorum.
pub fn remove_silent(
    status: &Status,
    silence: impl Fn(Id) -> Option<Duration>,
    removal: &Removal,
) -> Option<Change> {
    let config = &status.config;
    if !status.settled {
        return None;
    }
    let spare_voter = config.voters().count() > removal.min_voters;
    config
        .members()
        .iter()
        .filter(|member| member.id != status.id && (spare_voter || !member.voter))
        .filter_map(|member| Some((silence(member.id)?, member.id)))
        .filter(|(silence, _)| *silence >= removal.after)
        .max()
        .map(|(_, id)| Change::Remove(id))
}

/// The change by which a member that stops leaves; none if too few voters would stay.
pub fn leave(status: &Status, id: Id, removal: &Removal) -> Option<Change> {
    let config = &status.config;
    let spare = !config.is_voter(id) || config.voters().count() > removal.min_voters;
    (status.settled && config.member(id).is_some() && spare).then_some(Change::Remove(id))
}

/// The voter that should lead after this leader: the one that lacks the fewest entries.
pub fn successor(status: &Status) -> Option<Id> {
    let voters = status.lags.iter().filter(|lag| status.config.is_voter(lag.id));
    voters.min_by_key(|lag| lag.entries).map(|lag| lag.id)
}

/// The change with which a replica that lost its state, and so has a new identity, replaces its instance's old replica.
///
/// First removes a learner of the instance that was never promoted. Returns none if `id` is a member, if this replica
/// accepts no change now, or if `instance` has no member; see [`add`] for a replica on a new instance.
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

/// The change that adds a learner on an instance without a member.
///
/// Returns none if `id` or another replica on `instance` is a member, or if this replica accepts no change now.
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

/// The change that adds a learner on instance `new`, to replace the voter on instance `old`.
///
/// Returns none if `id` is a member, if this replica accepts no change now, or if `old` has no voter.
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
