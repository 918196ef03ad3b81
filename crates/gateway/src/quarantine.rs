//! Parts of prompts that end engines: the state that all requests of an instance share, and the exchange of it with the
//! other instances. The decisions are in [`placement::quarantine`].

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use common::{clock::Moment, collections::Map, name};
use fleet::exchange::{MAX_SUSPICIONS, Notice, Part, Suspicion};
use placement::quarantine::{Quarantine, Ticket, Trials};

/// The quarantine of each service.
#[derive(Debug, Default)]
pub struct Table {
    services: Mutex<Map<name::Service, Quarantine>>,
    known: AtomicBool,
}

impl Table {
    /// Admits a request with these shared parts; see [`Quarantine::admit`].
    ///
    /// # Errors
    ///
    /// Returns the time until a request with the quarantined part may be tried.
    pub(crate) fn admit(
        &self,
        service: &name::Service,
        parts: &[Part],
        trials: impl Fn(u64) -> Trials,
        now: Moment,
    ) -> Result<Ticket, std::time::Duration> {
        match self.lock().get_mut(service) {
            Some(quarantine) => quarantine.admit(ids(parts), trials, now),
            None => Ok(Ticket::default()),
        }
    }

    /// What is known now of the parts of an admitted request; nothing if one was quarantined meanwhile.
    pub(crate) fn renew(
        &self,
        service: &name::Service,
        parts: &[Part],
        ticket: &Ticket,
    ) -> Option<Ticket> {
        match self.lock().get(service) {
            Some(quarantine) => quarantine.renew(ids(parts), ticket),
            None => Some(Ticket::default()),
        }
    }

    /// Whether any of these parts could be blamed for the end of an engine.
    pub(crate) fn is_any_unproven(&self, service: &name::Service, parts: &[Part]) -> bool {
        let now = Moment::now();
        match self.lock().get(service) {
            Some(quarantine) => quarantine.is_any_unproven(ids(parts), now),
            None => !parts.is_empty(),
        }
    }

    /// Whether a request with these parts may be sent again after it was broken off.
    pub(crate) fn may_retry(&self, service: &name::Service, parts: &[Part]) -> bool {
        self.lock().get(service).is_none_or(|quarantine| quarantine.may_retry(ids(parts)))
    }

    /// Records the end of an engine during a request; returns the notices for the other instances.
    pub(crate) fn record_end(
        &self,
        service: &name::Service,
        parts: &[Part],
        ticket: &Ticket,
    ) -> Vec<Notice> {
        let mut tables = self.lock();
        let quarantine = tables.entry(service.clone()).or_default();
        notices(service, &quarantine.record_end(ids(parts), ticket, Moment::now()))
    }

    /// Records an answer that succeeded; returns the notices for the other instances.
    pub(crate) fn record_success(&self, service: &name::Service, parts: &[Part]) -> Vec<Notice> {
        if parts.is_empty() {
            return Vec::new();
        }
        let mut tables = self.lock();
        let quarantine = tables.entry(service.clone()).or_default();
        notices(service, &quarantine.record_success(ids(parts), Moment::now()))
    }

    /// Merges what another instance knows; returns the notices with this instance's objections.
    pub(crate) fn merge(&self, service: &name::Service, suspicions: &[Suspicion]) -> Vec<Notice> {
        let now = Moment::now();
        let mut tables = self.lock();
        let quarantine = tables.entry(service.clone()).or_default();
        let objections: Vec<Suspicion> =
            suspicions.iter().filter_map(|suspicion| quarantine.merge(suspicion, now)).collect();
        notices(service, &objections)
    }

    /// All that other instances should know.
    pub fn notices(&self) -> Vec<Notice> {
        let now = Moment::now();
        let tables = self.lock();
        let all = |(service, quarantine): (&name::Service, &Quarantine)| {
            notices(service, &quarantine.suspicions(now))
        };
        tables.iter().flat_map(all).collect()
    }

    /// Whether this instance has learnt what others know, and may answer those that start.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Acquire)
    }

    /// Records that this instance has learnt what others know.
    pub fn set_known(&self) {
        self.known.store(true, Ordering::Release);
    }

    /// Number of quarantined parts of each service.
    pub(crate) fn quarantined(&self) -> Vec<(name::Service, usize)> {
        let tables = self.lock();
        tables.iter().map(|(service, table)| (service.clone(), table.quarantined())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<name::Service, Quarantine>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ids(parts: &[Part]) -> impl Iterator<Item = u64> + Clone {
    parts.iter().map(|part| part.id)
}

fn notices(service: &name::Service, suspicions: &[Suspicion]) -> Vec<Notice> {
    let notice = |chunk: &[Suspicion]| Notice::Suspicions {
        service: service.clone(),
        suspicions: chunk.to_vec(),
    };
    suspicions.chunks(MAX_SUSPICIONS).map(notice).collect()
}
