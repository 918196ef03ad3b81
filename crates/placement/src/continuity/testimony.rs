//! What a majority of the control instances that would have a stream's record says of a stream that has none.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::exchange::{Origin, Testimony};

use crate::continuity::{Versions, lifetime, ms};

/// Time to which the ages in testimonies are related; later than any of them.
const NOW: Moment = Moment(u64::MAX);

/// Number of instances that are a majority of `holders`.
pub fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

/// What the holders of a stream's origin say together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A majority has the origin.
    Recorded(Origin),
    /// There is no record that an event of the stream was forwarded after.
    Unrecorded,
    /// Too few have answered to tell.
    Unclear,
}

/// Decides whether an origin is recorded, from the answers of some of `holders` instances.
///
/// An origin that only a minority has was not recorded in time: the instance that began the stream didn't get the
/// acknowledgements, and began it at another version. Instances that may have lost a record don't count among those that
/// have none, unless it makes no difference, as there has been one version only, or no others are left to answer.
pub fn judge(testimonies: &[Testimony], holders: usize, retention: Duration) -> Verdict {
    let majority = majority(holders);
    let has = |testimony: &&Testimony| testimony.origin.is_some();
    let having = testimonies.iter().filter(has).count();
    let is_complete = |testimony: &&Testimony| is_complete(testimony, retention);
    let lacking = testimonies.iter().filter(|other| !has(other)).filter(is_complete).count();
    let latest = testimonies
        .iter()
        .filter_map(|testimony| testimony.origin.as_ref())
        .max_by_key(|origin| origin.run);
    match latest {
        Some(origin) if having >= majority => Verdict::Recorded(origin.clone()),
        Some(_) if lacking >= majority => Verdict::Unrecorded,
        Some(_) => Verdict::Unclear,
        None if lacking >= majority || testimonies.len() == holders => Verdict::Unrecorded,
        None if testimonies.len() >= majority && conclude(testimonies, retention).is_some() => {
            Verdict::Unrecorded
        }
        None => Verdict::Unclear,
    }
}

/// Whether the instance has lost no record of a stream that may be taken up.
fn is_complete(testimony: &Testimony, retention: Duration) -> bool {
    testimony.complete_ms >= ms(retention)
}

/// The versions that targets had within `reach`.
fn versions_within(reach: Duration, testimonies: &[Testimony]) -> Versions {
    let mut versions = Versions::default();
    for testimony in testimonies {
        versions.learn_ages(&testimony.versions, NOW);
    }
    versions.expire(reach, NOW);
    versions
}

/// The version at which a stream began that has no record, if those that have answered can tell.
///
/// With one version that is the version. With several it is the one that came clearly before the others, if most of those
/// that have answered can't have lost a record: a record that a majority had would be known to one of them. A record that
/// may be lost may be of a stream of any lifetime, so that versions which have gone long ago count as well.
pub fn conclude(testimonies: &[Testimony], retention: Duration) -> Option<name::Software> {
    let complete = testimonies.iter().filter(|testimony| is_complete(testimony, retention));
    let are_complete = 2 * complete.count() > testimonies.len();
    let reach = if are_complete { retention } else { lifetime::LONGEST + lifetime::MARGIN };
    let versions = versions_within(reach, testimonies);
    let is_clear = are_complete || versions.sole().is_some();
    versions.oldest(retention).filter(|_| is_clear).cloned()
}
