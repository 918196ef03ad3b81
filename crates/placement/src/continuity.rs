//! Where a stream may go on after it broke off: only at the service and the software version that began it.
//!
//! Within a response the instance knows both. A caller that takes a stream up may reach any instance, and the first one
//! may be gone. While a service has had more than one version lately, the instance that begins a stream therefore
//! records its origin in the [`ledger`]s of a few control instances, which are the first for the stream by
//! [`crate::rendezvous`], and forwards no event before a majority of them has it ([`tally`]). An instance that takes a
//! stream up asks the same control instances, whatever it believes itself: its own view may be old. [`testimony`]
//! concludes from what a majority of them says, of which at least one has the record if there is one.
//!
//! How long a caller may come back is a property of its stream, fixed when it begins ([`lifetime`]); no configuration in
//! force later changes it. A record is kept until the stream that it is of can't be taken up any more. A stream is not
//! recorded only if its lifetime is at most [`lifetime::UNRECORDED`] and there has been one version only for
//! [`RETENTION`], which is longer. A stream without a record therefore began within `RETENTION`, and at the oldest
//! version: before the others came nothing was recorded, and since then an instance that can't have an origin recorded
//! begins the stream at the oldest version. If which one is the oldest isn't clear, a stream without a record is refused.
//!
//! A version whose targets come back after all instances have forgotten it arrives anew: meanwhile streams began at
//! another one without a record. Control instances therefore observe when a version has no targets ([`presence`]).

pub mod ledger;
pub mod lifetime;
pub mod presence;
pub mod tally;
pub mod testimony;

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use fleet::exchange::{Origin, Testimony, VersionAge};

use crate::continuity::presence::{Presence, Span};

/// Instances of each kind at which the origin of a stream is recorded.
pub const HOLDERS: usize = 3;
/// Time for which a version that has gone may have begun a stream that has no record and may be taken up.
pub const RETENTION: Duration = lifetime::UNRECORDED.saturating_add(lifetime::MARGIN);
/// Time after which an entry instance no longer records origins on account of a version that has gone: a control instance
/// may learn later that it has gone.
pub const VERSION_RETENTION: Duration = RETENTION.saturating_add(OLDEST_MARGIN);
/// Time by which a version must have come before all others to be the oldest one. Instances learn of a version, and of its
/// end, at different times.
const OLDEST_MARGIN: Duration = Duration::from_secs(2);
/// Streams whose origins are kept.
const MAX_ORIGINS: usize = 16_384;

/// Origins of streams that other instances recorded here, and of this instance's own.
#[derive(Clone, Debug)]
pub struct Origins {
    origins: Map<String, Held>,
    capacity: usize,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins::with_capacity(MAX_ORIGINS)
    }
}

#[derive(Clone, Debug)]
struct Held {
    origin: Origin,
    /// Until when the stream may be taken up.
    until: Moment,
}

impl Origins {
    /// Keeps the origins of at most `capacity` streams.
    pub fn with_capacity(capacity: usize) -> Origins {
        Origins { origins: Map::default(), capacity }
    }

    /// Records the origin of the stream that the request `stream` began and that may be taken up until then. Of several,
    /// that of the latest run holds: the earlier ones ended before their first event.
    ///
    /// Returns until when the streams may be taken up whose origins had to be removed for it, if there are any.
    pub fn record(
        &mut self,
        stream: &str,
        origin: Origin,
        until: Moment,
        now: Moment,
    ) -> Option<Moment> {
        if let Some(held) = self.origins.get_mut(stream) {
            if held.origin.run <= origin.run {
                *held = Held { origin, until: until.max(held.until) };
            }
            return None;
        }
        let evicted = if self.origins.len() >= self.capacity { self.evict(now) } else { None };
        self.origins.insert(stream.to_owned(), Held { origin, until });
        evicted
    }

    /// The streams whose origins are kept, and until when each may be taken up.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Origin, Moment)> {
        self.origins.iter().map(|(stream, held)| (stream.as_str(), &held.origin, held.until))
    }

    /// Whether this origin of a stream is kept until then.
    pub fn keeps(&self, stream: &str, origin: &Origin, until: Moment) -> bool {
        let held = self.origins.get(stream);
        held.is_some_and(|held| held.origin == *origin && held.until >= until)
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
    pub fn expire(&mut self, now: Moment) {
        self.origins.retain(|_, held| held.until > now);
    }

    /// Removes expired origins; if most have not expired, those that expire next, a half of all. Returns when the last of
    /// these would have expired.
    fn evict(&mut self, now: Moment) -> Option<Moment> {
        self.expire(now);
        if self.origins.len() < self.capacity / 2 {
            return None;
        }
        let mut ends: Vec<Moment> = self.origins.values().map(|held| held.until).collect();
        let middle = ends.len() / 2;
        let median = *ends.select_nth_unstable(middle).1;
        self.origins.retain(|_, held| held.until > median);
        Some(median)
    }
}

/// Software versions that the targets of one service have had.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    versions: Map<name::Software, Presence>,
}

impl Versions {
    /// Records that a target has, or had until now, this version.
    pub fn see(&mut self, software: &name::Software, now: Moment) {
        self.learn(software, now, now);
        if let Some(presence) = self.versions.get_mut(software) {
            presence.see(now);
        }
    }

    /// Records when a version was first and last seen by another instance.
    pub fn learn(&mut self, software: &name::Software, first: Moment, last: Moment) {
        self.merge(software, &[Span { first, last }]);
    }

    /// Records what another instance knows of the versions.
    pub fn learn_ages(&mut self, ages: &[VersionAge], now: Moment) {
        for (software, spans) in spans(ages, now) {
            self.merge(software, &spans);
        }
    }

    /// Records what an earlier process of this instance knew of the versions at `at`.
    pub fn restore(&mut self, ages: &[VersionAge], at: Moment) {
        self.learn_ages(ages, at);
        for age in ages {
            if let Some(presence) = self.versions.get_mut(&age.software) {
                presence.restore(at);
            }
        }
    }

    /// Supposes that the versions which were not observed to be absent have had targets until `now`.
    pub fn resume(&mut self, now: Moment) {
        for presence in self.versions.values_mut().filter(|presence| !presence.is_absent()) {
            presence.see(now);
        }
    }

    /// Records that targets have the versions for which `has_target` holds, and that no target that this instance knows
    /// has the others; returns whether one of these counts as absent from now on.
    pub fn observe(&mut self, has_target: impl Fn(&name::Software) -> bool, now: Moment) -> bool {
        let mut is_changed = false;
        for (software, presence) in &mut self.versions {
            if has_target(software) {
                presence.see(now);
            } else {
                is_changed |= presence.miss(now);
            }
        }
        is_changed
    }

    /// Whether a version is known.
    pub fn contains(&self, software: &name::Software) -> bool {
        self.versions.contains_key(software)
    }

    /// Whether a version is known that has targets as far as this instance has observed.
    pub fn is_present(&self, software: &name::Software) -> bool {
        self.versions.get(software).is_some_and(|presence| !presence.is_absent())
    }

    /// The ages of all versions; a version that was absent has one for each time in which it had targets, so that
    /// instances of earlier builds, which know of no absences, take the first and the last time of all.
    pub fn ages(&self, now: Moment) -> Vec<VersionAge> {
        let age = |software: &name::Software, span: Span| VersionAge {
            software: software.clone(),
            first_ms: ms(now.since(span.first)),
            last_ms: ms(now.since(span.last)),
        };
        self.versions
            .iter()
            .flat_map(|(software, presence)| {
                presence.spans().into_iter().map(move |span| age(software, span))
            })
            .collect()
    }

    /// Whether no version is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Removes versions that no target has had for `retention`.
    pub fn expire(&mut self, retention: Duration, now: Moment) {
        self.versions.retain(|_, presence| now.since(presence.last()) < retention);
    }

    /// The version that all targets have had, unless there were several lately.
    pub fn sole(&self) -> Option<&name::Software> {
        let mut versions = self.versions.keys();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// The version that all targets have had for the whole of `retention`, so that no stream that may still be taken up
    /// began at another one.
    pub fn settled(&self, retention: Duration, now: Moment) -> Option<&name::Software> {
        let software = self.sole()?;
        let presence = self.versions.get(software)?;
        (now.since(presence.first()) >= retention).then_some(software)
    }

    /// The version that came clearly before all others, if callers come back to a stream within `retention`.
    pub fn oldest(&self, retention: Duration) -> Option<&name::Software> {
        let remembered = retention.saturating_sub(OLDEST_MARGIN);
        let forgotten = retention + OLDEST_MARGIN;
        let arrivals = self
            .versions
            .iter()
            .map(|(software, presence)| (software, presence.arrival(remembered, forgotten)));
        let (oldest, arrival) = arrivals.clone().min_by_key(|(_, arrival)| arrival.latest)?;
        let others = arrivals.filter(|(software, _)| *software != oldest);
        let next = others.map(|(_, arrival)| arrival.earliest).min();
        next.is_none_or(|next| next.since(arrival.latest) >= OLDEST_MARGIN).then_some(oldest)
    }

    fn merge(&mut self, software: &name::Software, spans: &[Span]) {
        let Some(first) = spans.first() else {
            return;
        };
        self.versions.entry(software.clone()).or_insert_with(|| Presence::new(*first)).merge(spans);
    }
}

/// The spans of each version, by time.
fn spans(ages: &[VersionAge], now: Moment) -> Map<&name::Software, Vec<Span>> {
    let mut versions: Map<&name::Software, Vec<Span>> = Map::default();
    for VersionAge { software, first_ms, last_ms } in ages {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        let span = Span { first: ago(*first_ms), last: ago(*last_ms) };
        versions.entry(software).or_default().push(span);
    }
    versions.values_mut().for_each(|spans| spans.sort_by_key(|span| span.first));
    versions
}

/// Versions of all services.
#[derive(Clone, Debug, Default)]
pub struct History {
    services: Map<name::Service, Versions>,
}

impl History {
    /// Records that a target of a service has, or had until now, this version.
    pub fn see(&mut self, service: &name::Service, software: &name::Software, now: Moment) {
        self.versions_mut(service).see(software, now);
    }

    /// Records how long another instance has known the versions of a service.
    pub fn learn(&mut self, service: &name::Service, ages: &[VersionAge], now: Moment) {
        self.versions_mut(service).learn_ages(ages, now);
    }

    /// Records how long an earlier process of this instance had known the versions of a service at `at`.
    pub fn restore(&mut self, service: &name::Service, ages: &[VersionAge], at: Moment) {
        self.versions_mut(service).restore(ages, at);
    }

    /// Supposes that the versions which were not observed to be absent have had targets until `now`.
    pub fn resume(&mut self, now: Moment) {
        self.services.values_mut().for_each(|versions| versions.resume(now));
    }

    /// Records which versions have targets and which have none, as far as this instance knows; returns the services of
    /// which a version counts as absent from now on.
    pub fn observe(
        &mut self,
        has_target: impl Fn(&name::Service, &name::Software) -> bool,
        now: Moment,
    ) -> Vec<name::Service> {
        let mut changed = Vec::new();
        for (service, versions) in &mut self.services {
            if versions.observe(|software| has_target(service, software), now) {
                changed.push(service.clone());
            }
        }
        changed
    }

    /// Versions of a service.
    pub fn versions(&self, service: &name::Service) -> Option<&Versions> {
        self.services.get(service)
    }

    /// Versions of each service.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Service, &Versions)> {
        self.services.iter()
    }

    /// Removes versions that no target has had for `retention`.
    pub fn expire(&mut self, retention: Duration, now: Moment) {
        self.services.values_mut().for_each(|versions| versions.expire(retention, now));
        self.services.retain(|_, versions| !versions.is_empty());
    }

    fn versions_mut(&mut self, service: &name::Service) -> &mut Versions {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Versions::default());
        }
        self.services.get_mut(service).expect("invariant: inserted above")
    }
}

/// What is known of the origin of a stream that this instance didn't begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answers {
    /// An instance knows it.
    Known(Origin),
    /// A majority of the control instances that would have the record has answered, and a majority doesn't have it; what
    /// they say.
    Unrecorded(Vec<Testimony>),
    /// The control instances are of a build that keeps no records. All entry instances that would have one have run for
    /// long enough and have none.
    UnrecordedAtEntries,
    /// The control instances are of a build that keeps no records, and some entry instances that would have one have not
    /// answered or have just started.
    MissingAtEntries,
    /// Too few control instances have answered.
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
pub fn decide(versions: Option<&Versions>, answers: Answers, retention: Duration) -> Decision {
    let software = match (answers, versions) {
        (Answers::Known(Origin { service, software, .. }), _) => {
            return Decision::At { service: Some(service), software };
        }
        (Answers::Unrecorded(testimonies), _) => testimony::conclude(&testimonies, retention),
        (Answers::UnrecordedAtEntries, Some(versions)) => versions.oldest(retention).cloned(),
        (Answers::MissingAtEntries, Some(versions)) => versions.sole().cloned(),
        (Answers::UnrecordedAtEntries | Answers::MissingAtEntries | Answers::Missing, _) => None,
    };
    match software {
        Some(software) => Decision::At { service: None, software },
        None => Decision::Refuse,
    }
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
