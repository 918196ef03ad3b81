//! Plans membership changes, one at a time.
//!
//! A replacement in progress is recorded in the configuration ([`Member::replaces`]), so a later leader continues it.
//!
//! A replica that has just joined may be lost at any moment, so the log must not come to need it for a quorum. While a
//! member and its successor both vote, the configuration is a joint one
//! ([`Config::has_quorum`](crate::member::Config::has_quorum)), whose quorums the others
//! can form alone. A replica that replaces none makes quorums larger where the number of voters is odd; it gets its vote
//! there only if all voters have confirmed it, or else in the place of the one that has been silent for longest.

use std::time::Duration;

use common::{clock::Moment, name};

use crate::{
    member::{Change, Config, Id, Member},
    node::Node,
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

/// The next change that a leader should propose to continue a replacement or an addition, if any.
///
/// A learner that has caught up gets a vote, then the member that it replaces is removed. With a `removal` policy a learner
/// that replaces none may take the place of a voter that doesn't reply.
pub fn next_change(node: &Node, now: Moment, removal: Option<&Removal>) -> Option<Change> {
    let status = node.status();
    if !status.settled {
        return None;
    }
    let config = &status.config;
    if let Some(old) = config.replaced_voters().next() {
        return Some(Change::Remove(old));
    }
    let learner = config
        .members()
        .iter()
        .find(|member| !member.voter && node.has_caught_up(member.id, now))?;
    let replaces_voter = learner.replaces.is_some_and(|old| config.is_voter(old));
    let is_even = config.voters().count().is_multiple_of(2);
    if replaces_voter || is_even {
        return Some(Change::Promote(learner.id));
    }
    let confirmed = |id: &Id| *id == status.id || node.has_caught_up(*id, now);
    if config.voters().all(|id| confirmed(&id)) {
        return Some(Change::Promote(learner.id));
    }
    let silent = silent_voter(node, config, now, removal?.after)?;
    let is_enough = config.voters().filter(confirmed).count() > config.voters().count() / 2;
    is_enough.then(|| Change::AddLearner(Member { replaces: Some(silent), ..learner.clone() }))
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
