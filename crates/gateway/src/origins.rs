//! Origins of streams and the software versions of services: the state that all requests of an instance share, and the
//! questions to other instances. The decisions are in [`placement::continuity`].

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{clock::Moment, name};
use fleet::{
    exchange::{Origin, ServiceVersions},
    registry::Target,
};
use placement::continuity::{
    self, Answers, History, Origins, RETENTION, VERSION_RETENTION, tally::Outcome,
};
use tokio::sync::{mpsc, oneshot};

use crate::recording::Recording;

/// Capacity of the queue of questions to other instances; those that find it full are not asked.
const MAX_QUEUED_QUESTIONS: usize = 256;

/// Time after an origin could not be recorded for which streams begin where none is needed.
const UNABLE_TIME: Duration = Duration::from_millis(500);

/// What is asked of the instances that hold the origin of a stream.
#[derive(Debug)]
pub enum Question {
    /// To keep it.
    Record {
        /// Id of the request that began the stream.
        stream: String,
        /// The origin.
        origin: Origin,
        /// Until when the stream may be taken up.
        until: Moment,
        /// What becomes of that.
        recording: Recording,
    },
    /// To name it.
    Find {
        /// Id of the request that began the stream; `None` if the caller doesn't name it.
        stream: Option<String>,
        /// The service; `None` if the route has several.
        service: Option<name::Service>,
        /// Receives what they answer.
        answers: oneshot::Sender<Answers>,
    },
}

/// Origins and versions that an instance knows.
#[derive(Debug)]
pub struct Table {
    inner: Mutex<Inner>,
    started: Moment,
    questions: mpsc::Sender<Question>,
}

#[derive(Debug, Default)]
struct Inner {
    origins: Origins,
    history: History,
    /// When an origin could not be recorded last.
    unrecorded_at: Option<Moment>,
}

impl Table {
    /// Creates an empty table; the receiver yields the questions to other instances.
    pub(crate) fn new() -> (Table, mpsc::Receiver<Question>) {
        let (questions, receiver) = mpsc::channel(MAX_QUEUED_QUESTIONS);
        (Table { inner: Mutex::default(), started: Moment::now(), questions }, receiver)
    }

    /// Records the software of a target that is known, or was until now.
    pub(crate) fn see_target(&self, target: &Target) {
        self.lock().history.see(&target.service, &target.software, Moment::now());
    }

    /// Records how long a control instance has known the versions of services.
    pub fn learn_versions(&self, versions: &[ServiceVersions]) {
        let now = Moment::now();
        let mut inner = self.lock();
        for ServiceVersions { service, ages } in versions {
            inner.history.learn(service, ages, now);
        }
        // Control instances remember versions for longer.
        inner.history.expire(VERSION_RETENTION, now);
    }

    /// Records the software of all targets that are known, and forgets what has expired.
    pub(crate) fn refresh<'a>(
        &self,
        targets: impl Iterator<Item = (&'a name::Service, &'a name::Software)>,
    ) {
        let now = Moment::now();
        let mut inner = self.lock();
        for (service, software) in targets {
            inner.history.see(service, software, now);
        }
        inner.history.expire(VERSION_RETENTION, now);
        inner.origins.expire(now);
    }

    /// The software version that all targets of a service have had for so long that no stream without a record that may be
    /// taken up began at another one, if there is one.
    pub(crate) fn settled_version(&self, service: &name::Service) -> Option<name::Software> {
        let inner = self.lock();
        inner.history.versions(service)?.settled(RETENTION, Moment::now()).cloned()
    }

    /// The version of a service that came clearly before all others.
    pub(crate) fn oldest_version(&self, service: &name::Service) -> Option<name::Software> {
        let inner = self.lock();
        inner.history.versions(service)?.oldest(RETENTION).cloned()
    }

    /// Records whether an origin could be recorded.
    pub(crate) fn set_recorded(&self, outcome: Outcome) {
        let now = Moment::now();
        self.lock().unrecorded_at = (outcome != Outcome::Recorded).then_some(now);
    }

    /// Whether origins could not be recorded lately.
    pub(crate) fn is_unable_to_record(&self) -> bool {
        let unrecorded_at = self.lock().unrecorded_at;
        unrecorded_at.is_some_and(|at| Moment::now().since(at) < UNABLE_TIME)
    }

    /// Number of streams whose origins are kept.
    pub(crate) fn len(&self) -> usize {
        self.lock().origins.len()
    }

    /// Origin of a stream, if this instance knows it.
    pub fn get(&self, stream: &str) -> Option<Origin> {
        self.lock().origins.get(stream).cloned()
    }

    /// Keeps the origin of a stream that may be taken up until then.
    pub fn keep(&self, stream: &str, origin: Origin, until: Moment) {
        let _evicted = self.lock().origins.record(stream, origin, until, Moment::now());
    }

    /// Keeps the origin of a stream that may be taken up until then, here and at the instances that hold it.
    pub(crate) fn record(&self, stream: &str, origin: Origin, until: Moment) -> Recording {
        self.keep(stream, origin.clone(), until);
        let recording = Recording::default();
        let stream = stream.to_owned();
        self.ask(Question::Record { stream, origin, until, recording: recording.clone() });
        recording
    }

    /// Asks the instances that hold the origin of a stream.
    pub(crate) async fn find(
        &self,
        stream: Option<&str>,
        service: Option<&name::Service>,
    ) -> Answers {
        let (answers, receiver) = oneshot::channel();
        let (stream, service) = (stream.map(str::to_owned), service.cloned());
        self.ask(Question::Find { stream, service, answers });
        receiver.await.unwrap_or(Answers::Missing)
    }

    /// Decides where a stream may go on by these answers.
    pub(crate) fn decide(
        &self,
        service: Option<&name::Service>,
        answers: Answers,
    ) -> continuity::Decision {
        let inner = self.lock();
        let versions = service.and_then(|service| inner.history.versions(service));
        continuity::decide(versions, answers, RETENTION)
    }

    /// Time since the process started, from before which no origin is known.
    pub fn running_time(&self) -> Duration {
        Moment::now().since(self.started)
    }

    fn ask(&self, question: Question) {
        if self.questions.try_send(question).is_err() {
            metrics::counter!("daisydrum_origin_questions_unasked_total").increment(1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
