//! Plans membership changes, one at a time.
//!
//! A replacement in progress is recorded in the configuration ([`Member::replaces`]), so a later leader continues it.
//!
//! A replica that has just joined may be lost at any moment, so the log must never need it for a quorum: as long as the
//! number of voters is odd, a voter that is gone for good is removed before its successor gets a vote, and while it is
//! even the successor gets its vote first. Neither step changes the size of a quorum.

use std::time::Duration;

use common::{clock::Moment, name};

use crate::{
    member::{Change, Config, Id, Member},
    node::Node,
    status::Status,
};

/// Time without a reply after which a voter on another instance than its successor is removed before that one votes.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

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

/// The next change that a leader should propose to continue a replacement or an addition, if any.
///
/// A learner that has caught up gets a vote, and the member that it replaces is removed. With a `removal` policy a voter
/// that doesn't reply makes way for a learner that replaces none.
pub fn next_change(node: &Node, now: Moment, removal: Option<&Removal>) -> Option<Change> {
    let status = node.status();
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
    let learner = config
        .members()
        .iter()
        .find(|member| !member.voter && node.has_caught_up(member.id, now))?;
    if config.voters().count().is_multiple_of(2) {
        return Some(Change::Promote(learner.id));
    }
    let lost = lost_voter(node, config, learner, now)
        .or_else(|| silent_voter(node, config, now, removal?.after));
    if let Some(lost) = lost {
        return Some(Change::Remove(lost));
    }
    // The quorum grows by one, so all voters must be there. One that was lost before the learner came has not confirmed it.
    let confirmed = |id: Id| id == status.id || node.has_caught_up(id, now);
    config.voters().all(confirmed).then_some(Change::Promote(learner.id))
}

/// The voter that a learner replaces, if that one is gone: its instance runs the learner, so that its state is lost, or it
/// has not replied for a while.
fn lost_voter(node: &Node, config: &Config, learner: &Member, now: Moment) -> Option<Id> {
    let old = config.member(learner.replaces?).filter(|old| old.voter)?;
    let is_silent = || node.silence(old.id, now).is_some_and(|silence| silence >= REPLACED_AFTER);
    (old.instance == learner.instance || is_silent()).then_some(old.id)
}

/// The voter that has not replied for longest, if that is at least `after`.
fn silent_voter(node: &Node, config: &Config, now: Moment, after: Duration) -> Option<Id> {
    let silences = config.voters().filter_map(|id| Some((node.silence(id, now)?, id)));
    silences.filter(|(silence, _)| *silence >= after).max().map(|(_, id)| id)
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
/// It also takes the place of a learner of the instance that was never promoted. Returns none if `id` is a member, if this
/// replica accepts no change now, or if `instance` has no member; see [`add`] for a replica on a new instance.
pub fn rejoin(status: &Status, id: Id, instance: &name::Instance) -> Option<Change> {
    if !status.settled || status.config.member(id).is_some() {
        return None;
    }
    let members = || status.config.members().iter();
    let newest = |member: &&Member| !members().any(|other| other.replaces == Some(member.id));
    let old = members().filter(|member| member.instance == *instance).find(newest)?;
    let replaces = if old.voter { Some(old.id) } else { old.replaces };
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
