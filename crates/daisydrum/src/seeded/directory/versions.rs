//! What a control instance knows of the software versions of services, and of the origins of streams.

use common::{clock::Moment, collections::Set, name};
use fleet::{
    exchange::{Beginning, ServiceVersions, Testimony},
    registry::State,
};
use placement::continuity::lifetime;

use crate::seeded::directory::{Directory, Inner, VERSION_RETENTION};

impl Directory {
    /// Whether a software version of a service is known, with or without targets.
    pub(crate) fn knows_version(&self, service: &name::Service, software: &name::Software) -> bool {
        let inner = self.lock();
        let versions = inner.history.versions(service);
        versions.is_some_and(|versions| versions.contains(software))
    }

    /// Whether targets of a service are known to have a software version.
    pub(crate) fn has_version(&self, service: &name::Service, software: &name::Software) -> bool {
        let inner = self.lock();
        let versions = inner.history.versions(service);
        versions.is_some_and(|versions| versions.is_present(software))
    }

    /// Records that a target has a software version.
    pub(crate) fn see_version(&self, service: &name::Service, software: &name::Software) {
        self.lock().history.see(service, software, Moment::now());
    }

    /// Records how long an earlier process had known the software versions of services at `at`.
    pub(crate) fn restore_versions(&self, versions: &[ServiceVersions], at: Moment) {
        let mut inner = self.lock();
        for ServiceVersions { service, ages } in versions {
            inner.history.restore(service, ages, at);
        }
    }

    /// Supposes that software versions which were not observed to be absent have had targets until `now`.
    pub(crate) fn resume_versions(&self, now: Moment) {
        self.lock().history.resume(now);
    }

    /// Records how long another instance has known the software versions of services.
    pub(crate) fn learn_versions(&self, versions: &[ServiceVersions], now: Moment) {
        let mut inner = self.lock();
        for ServiceVersions { service, ages } in versions {
            inner.history.learn(service, ages, now);
        }
    }

    /// How long each version of each service has been known.
    pub(crate) fn versions(&self, now: Moment) -> Vec<ServiceVersions> {
        let inner = self.lock();
        let versions = inner.history.iter();
        versions
            .map(|(service, versions)| ServiceVersions {
                service: service.clone(),
                ages: versions.ages(now),
            })
            .collect()
    }

    /// Records which software versions the targets that take requests have, and forgets versions and origins that have
    /// expired; returns the services of which a version counts as absent from now on.
    pub(crate) fn refresh_versions(&self, now: Moment) -> Vec<name::Service> {
        let mut inner = self.lock();
        let Inner { registry, restored, history, ledger, .. } = &mut *inner;
        let known = registry.targets().filter(|target| target.state < State::Lost);
        // Targets that may not be used yet are no reason to take their versions for absent.
        let targets = known.chain(restored.targets());
        let present: Set<(&name::Service, &name::Software)> =
            targets.map(|target| (&target.service, &target.software)).collect();
        for (service, software) in &present {
            history.see(service, software, now);
        }
        let absent =
            history.observe(|service, software| present.contains(&(service, software)), now);
        history.expire(VERSION_RETENTION, now);
        ledger.expire(now);
        absent
    }

    /// Keeps the origins of streams that were recorded at `at`.
    pub(crate) fn keep_origins(&self, beginnings: Vec<Beginning>, at: Moment, now: Moment) {
        let mut inner = self.lock();
        for Beginning { stream, origin, lifetime_ms } in beginnings {
            let until = at + lifetime::recorded(lifetime_ms);
            if until > now {
                inner.ledger.keep(&stream, origin, until, now);
            }
        }
    }

    /// Since when no origin is missing.
    pub(crate) fn complete_since(&self) -> Moment {
        self.lock().ledger.complete_since()
    }

    /// Records that all origins are here again that an earlier process acknowledged since `since`.
    pub(crate) fn restore_origins(&self, since: Moment) {
        self.lock().ledger.restore(since);
    }

    /// Whether this origin of a stream is kept, for as long as asked but for some time under way.
    pub(crate) fn keeps_origin(&self, beginning: &Beginning, now: Moment) -> bool {
        let Beginning { stream, origin, lifetime_ms } = beginning;
        let until = now + lifetime::recorded(*lifetime_ms).saturating_sub(lifetime::MARGIN);
        self.lock().ledger.keeps(stream, origin, until)
    }

    /// The streams whose origins are kept.
    pub(crate) fn origins(&self, now: Moment) -> Vec<Beginning> {
        let inner = self.lock();
        let origins = inner.ledger.origins();
        origins
            .map(|(stream, origin, until)| Beginning {
                stream: stream.to_owned(),
                origin: origin.clone(),
                lifetime_ms: u64::try_from(until.since(now).as_millis()).ok(),
            })
            .collect()
    }

    /// What this instance knows of a stream and of the versions of its service.
    pub(crate) fn testify(&self, stream: &str, service: Option<&name::Service>) -> Testimony {
        let inner = self.lock();
        let versions = service.and_then(|service| inner.history.versions(service));
        inner.ledger.testify(stream, versions, Moment::now())
    }
}
