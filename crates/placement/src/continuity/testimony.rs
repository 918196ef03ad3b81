//! What a majority of the control instances that would have a stream's record says of a stream that has none.

use std::time::Duration;

use common::{collections::Map, name};
use fleet::exchange::{Origin, Testimony};

use crate::continuity::{OLDEST_MARGIN, ms};

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
/// acknowledgements, and began it at another version.
pub fn judge(testimonies: &[Testimony], holders: usize, retention: Duration) -> Verdict {
    let majority = majority(holders);
    let has = |testimony: &&Testimony| testimony.origin.is_some();
    let having = testimonies.iter().filter(has).count();
    let is_complete = |testimony: &&Testimony| testimony.complete_ms >= ms(retention);
    let lacking = testimonies.iter().filter(|other| !has(other)).filter(is_complete).count();
    let latest = testimonies
        .iter()
        .filter_map(|testimony| testimony.origin.as_ref())
        .max_by_key(|origin| origin.run);
    match latest {
        Some(origin) if having >= majority => Verdict::Recorded(origin.clone()),
        Some(_) if lacking >= majority => Verdict::Unrecorded,
        Some(_) => Verdict::Unclear,
        None if testimonies.len() >= majority => Verdict::Unrecorded,
        None => Verdict::Unclear,
    }
}

/// Time since a version was first and last seen by any of them, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Age {
    first_ms: u64,
    last_ms: u64,
}

/// The version at which a stream began that has no record, if those that have answered can tell.
///
/// With one version that is the version. With several it is the one that came clearly before the others, if none of those
/// that have answered may have lost a record.
pub fn conclude(testimonies: &[Testimony], retention: Duration) -> Option<name::Software> {
    let retention_ms = ms(retention);
    let mut ages: Map<&name::Software, Age> = Map::default();
    for version in testimonies.iter().flat_map(|testimony| &testimony.versions) {
        let known = Age { first_ms: version.first_ms, last_ms: version.last_ms };
        let age = ages.entry(&version.software).or_insert(known);
        age.first_ms = age.first_ms.max(version.first_ms);
        age.last_ms = age.last_ms.min(version.last_ms);
    }
    ages.retain(|_, age| age.last_ms < retention_ms);
    let (oldest, oldest_age) = ages.iter().max_by_key(|(_, age)| age.first_ms)?;
    let others = ages.iter().filter(|(software, _)| *software != oldest);
    let Some(next_ms) = others.map(|(_, age)| age.first_ms).max() else {
        return Some((*oldest).clone());
    };
    let complete = testimonies.iter().all(|testimony| testimony.complete_ms >= retention_ms);
    let is_clear = oldest_age.first_ms >= next_ms.saturating_add(ms(OLDEST_MARGIN));
    (complete && is_clear).then(|| (*oldest).clone())
}
