//! Where a stream may go on after it broke off: only at the service and the software version that began it.
//!
//! Within a response the instance knows both. A caller that takes a stream up may reach any instance, and the first one
//! may be gone. While a service has had more than one version lately, the instance that begins a stream therefore
//! records its origin at a few others, the first for the stream by [`crate::rendezvous`], and an instance that takes it up
//! asks them. While there has been one version only,
//! nothing is recorded, and every stream goes on at that version.
//!
//! Shortly after a second version has come, a stream without an origin began at the first one: before, nothing was
//! recorded, and since then an instance begins streams at other versions only if it reaches one that records them.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use fleet::exchange::Origin;

/// Instances at which the origin of a stream is recorded.
pub const HOLDERS: usize = 3;
/// Time beyond the longest timeout of a route for which origins and versions that have gone are kept.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);
/// Streams whose origins are kept.
const MAX_ORIGINS: usize = 16_384;

/// Time for which a caller may come back to a stream, if no route lasts longer than `longest`.
pub fn retention(longest: Duration) -> Duration {
    longest + RETENTION_MARGIN
}

/// Origins of streams that other instances recorded here, and of this instance's own.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    origins: Map<String, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    origin: Origin,
    at: Moment,
}

impl Origins {
    /// Records the origin of the stream that the request `stream` began. Of several, that of the latest run holds: the
    /// earlier ones ended before their first event.
    pub fn record(&mut self, stream: &str, origin: Origin, retention: Duration, now: Moment) {
        if let Some(held) = self.origins.get_mut(stream) {
            if held.origin.run <= origin.run {
                *held = Held { origin, at: now };
            }
            return;
        }
        if self.origins.len() >= MAX_ORIGINS {
            self.evict(retention, now);
        }
        self.origins.insert(stream.to_owned(), Held { origin, at: now });
    }

    /// Origin of a stream, if it is known.
    pub fn get(&self, stream: &str) -> Option<&Origin> {
        self.origins.get(stream).map(|held| &held.origin)
    }

    /// Number of streams whose origins are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Removes the origins of streams that no caller comes back to.
    pub fn expire(&mut self, retention: Duration, now: Moment) {
        self.origins.retain(|_, held| now.since(held.at) < retention);
    }

    /// Removes expired origins; if most have not expired, the older half.
    fn evict(&mut self, retention: Duration, now: Moment) {
        self.expire(retention, now);
        if self.origins.len() < MAX_ORIGINS / 2 {
            return;
        }
        let mut times: Vec<Moment> = self.origins.values().map(|held| held.at).collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.origins.retain(|_, held| held.at > median);
    }
}

/// Software versions that the targets of one service have had.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    versions: Map<name::Software, Seen>,
}

/// When a version was first and last seen at a target that took requests.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Moment,
    last: Moment,
}

impl Versions {
    /// Records that a target has, or had until now, this version.
    pub fn see(&mut self, software: &name::Software, now: Moment) {
        let seen = self.versions.entry(software.clone()).or_insert(Seen { first: now, last: now });
        seen.last = seen.last.max(now);
    }

    /// Removes versions that no target has had for `retention`.
    pub fn expire(&mut self, retention: Duration, now: Moment) {
        self.versions.retain(|_, seen| now.since(seen.last) < retention);
    }

    /// The version that all targets have had, unless there were several lately.
    pub fn sole(&self) -> Option<&name::Software> {
        let mut versions = self.versions.keys();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// The version that all targets had before the others came, if that was so lately that a stream from then may still
    /// be taken up.
    pub fn sole_before(&self, retention: Duration, now: Moment) -> Option<&name::Software> {
        let (oldest, oldest_seen) = self.versions.iter().min_by_key(|(_, seen)| seen.first)?;
        let others = self.versions.iter().filter(|(software, _)| *software != oldest);
        let next = others.map(|(_, seen)| seen.first).min()?;
        (next > oldest_seen.first && now.since(next) < retention).then_some(oldest)
    }
}

/// What the instances that would hold the origin of a stream answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answers {
    /// One of them knows it.
    Known(Origin),
    /// All have answered, have run for long enough, and none does.
    Unknown,
    /// None that has answered does, but others have not, or have just started.
    Missing,
}

/// Where a stream that a caller takes up may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// At this version, of this service if it is known.
    At {
        /// The service that began the stream.
        service: Option<name::Service>,
        /// Its version.
        software: name::Software,
    },
    /// Nowhere: it isn't known which version began it.
    Refuse,
}

/// Decides where a stream may go on whose origin this instance doesn't know; without `versions`, the service has had none.
pub fn decide(
    versions: Option<&Versions>,
    answers: Answers,
    retention: Duration,
    now: Moment,
) -> Decision {
    let software = match (answers, versions) {
        (Answers::Known(Origin { service, software, .. }), _) => {
            return Decision::At { service: Some(service), software };
        }
        (Answers::Unknown, Some(versions)) => versions.sole_before(retention, now),
        (Answers::Unknown | Answers::Missing, _) => None,
    };
    match software {
        Some(software) => Decision::At { service: None, software: software.clone() },
        None => Decision::Refuse,
    }
}
