//! Parts of prompts that end engines, and requests that end targets: the state that all requests of an instance share, and
//! the exchange of it with the other instances. The decisions are in [`placement::quarantine`].

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use fleet::{
    exchange::{Crashes, MAX_SUSPICIONS, Notice, Part, Suspicion},
    standing::Record,
};
use placement::quarantine::{
    Quarantine, Ticket, Trials,
    request::{self, Content, Place},
};

/// The quarantine of parts, for each service, and of requests.
#[derive(Debug, Default)]
pub struct Table {
    services: Mutex<Map<name::Service, Quarantine>>,
    requests: Mutex<request::Quarantine>,
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
    ) -> Result<Ticket, Duration> {
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
    pub fn merge(&self, service: &name::Service, suspicions: &[Suspicion]) -> Vec<Notice> {
        let now = Moment::now();
        let mut tables = self.lock();
        let quarantine = tables.entry(service.clone()).or_default();
        let objections: Vec<Suspicion> =
            suspicions.iter().filter_map(|suspicion| quarantine.merge(suspicion, now)).collect();
        notices(service, &objections)
    }

    /// Checks whether a request may be sent; see [`request::Quarantine::admit`].
    ///
    /// # Errors
    ///
    /// Returns the time until this instance may try the quarantined request.
    pub(crate) fn admit_request(
        &self,
        content: Content,
        place: Option<Place>,
        now: Moment,
    ) -> Result<(), Duration> {
        self.lock_requests().admit(content, place, now)
    }

    /// Checks again right before a request is sent; returns the notices for the other instances.
    ///
    /// # Errors
    ///
    /// Returns the time until this instance may try the quarantined request.
    pub(crate) fn begin_request(
        &self,
        content: Content,
        place: Option<Place>,
    ) -> Result<Vec<Notice>, Duration> {
        let changed = self.lock_requests().begin(content, place, Moment::now())?;
        Ok(crash_notices(&changed))
    }

    /// Whether a request is quarantined.
    pub(crate) fn is_request_quarantined(&self, content: Content) -> bool {
        self.lock_requests().is_quarantined(content)
    }

    /// Whether an end of a target could be blamed on a request.
    pub(crate) fn is_request_unproven(&self, content: Content) -> bool {
        self.lock_requests().is_unproven(content, Moment::now())
    }

    /// Records that a process of a target has ended at `ended_at`, while it had a request; returns the notices for the other
    /// instances.
    pub(crate) fn record_request_end(
        &self,
        content: Content,
        process: u64,
        ended_at: Moment,
    ) -> Vec<Notice> {
        let now = Moment::now();
        let changed = self.lock_requests().record_late_end(content, process, ended_at, now);
        crash_notices(&changed)
    }

    /// Records that a request succeeded; returns the notices for the other instances.
    pub(crate) fn record_request_success(&self, content: Content) -> Vec<Notice> {
        let changed = self.lock_requests().record_success(content, Moment::now());
        crash_notices(&changed)
    }

    /// Merges what another instance knows of requests; returns the notices with this instance's objections.
    pub fn merge_crashes(&self, crashes: &[Crashes]) -> Vec<Notice> {
        let now = Moment::now();
        let mut requests = self.lock_requests();
        let objections: Vec<Crashes> =
            crashes.iter().filter_map(|state| requests.merge(state, now)).collect();
        crash_notices(&objections)
    }

    /// All that an instance which starts should know.
    pub fn notices(&self) -> Vec<Notice> {
        let crashes = self.lock_requests().states(Moment::now());
        [self.part_notices(), crash_notices(&crashes)].concat()
    }

    /// What is repeated to the other instances, in case that a notice was lost.
    pub fn repeated_notices(&self) -> Vec<Notice> {
        let crashes = self.lock_requests().repeated_states(Moment::now());
        [self.part_notices(), crash_notices(&crashes)].concat()
    }

    /// What is held against all suspects, the quarantined ones of each kind first.
    pub fn records(&self) -> Vec<Record> {
        let now = Moment::now();
        let requests = self.lock_requests().states(now).into_iter().map(Record::Request);
        let mut records: Vec<Record> = requests.collect();
        for (service, quarantine) in self.lock().iter() {
            let part = |suspicion| Record::Part { service: service.clone(), suspicion };
            records.extend(quarantine.suspicions(now).into_iter().map(part));
        }
        records
    }

    /// Whether a request or a part is quarantined.
    pub fn is_any_quarantined(&self) -> bool {
        self.quarantined_requests() > 0 || self.quarantined().iter().any(|(_, parts)| *parts > 0)
    }

    /// Merges what a control instance keeps; returns the notices with this instance's objections.
    pub fn merge_records(&self, records: Vec<Record>) -> Vec<Notice> {
        let merge = |record| match record {
            Record::Request(crashes) => self.merge_crashes(&[crashes]),
            Record::Part { service, suspicion } => self.merge(&service, &[suspicion]),
        };
        records.into_iter().flat_map(merge).collect()
    }

    fn part_notices(&self) -> Vec<Notice> {
        let now = Moment::now();
        let tables = self.lock();
        let all = |(service, quarantine): (&name::Service, &Quarantine)| {
            notices(service, &quarantine.suspicions(now))
        };
        tables.iter().flat_map(all).collect()
    }

    /// Number of quarantined requests.
    pub(crate) fn quarantined_requests(&self) -> usize {
        self.lock_requests().quarantined_count()
    }

    fn lock_requests(&self) -> MutexGuard<'_, request::Quarantine> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
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

fn crash_notices(crashes: &[Crashes]) -> Vec<Notice> {
    crashes.chunks(MAX_SUSPICIONS).map(|chunk| Notice::Crashes(chunk.to_vec())).collect()
}
