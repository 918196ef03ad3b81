//! Origins of streams and the software versions of services: the state that all requests of an instance share, and the
//! questions to other instances. The decisions are in [`placement::continuity`].

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use fleet::{exchange::Origin, registry::Target};
use placement::continuity::{self, Answers, Origins, Versions};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of questions to other instances; those that find it full are not asked.
const MAX_QUEUED_QUESTIONS: usize = 256;

/// What is asked of the instances that hold the origin of a stream.
#[derive(Debug)]
pub enum Question {
    /// To keep it.
    Record {
        /// Id of the request that began the stream.
        stream: String,
        /// The origin.
        origin: Origin,
        /// Notified once one of them keeps it.
        recorded: oneshot::Sender<()>,
    },
    /// To name it.
    Find {
        /// Id of the request that began the stream.
        stream: String,
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
    versions: Map<name::Service, Versions>,
    retention: Duration,
}

impl Table {
    /// Creates an empty table; the receiver yields the questions to other instances.
    pub(crate) fn new() -> (Table, mpsc::Receiver<Question>) {
        let (questions, receiver) = mpsc::channel(MAX_QUEUED_QUESTIONS);
        let inner = Inner { retention: continuity::retention(Duration::ZERO), ..Inner::default() };
        (Table { inner: Mutex::new(inner), started: Moment::now(), questions }, receiver)
    }

    /// Sets the longest timeout of a route.
    pub(crate) fn set_longest_timeout(&self, longest: Duration) {
        self.lock().retention = continuity::retention(longest);
    }

    /// Records the software of a target that is known, or was until now.
    pub(crate) fn see_target(&self, target: &Target) {
        self.see([(&target.service, &target.software)].into_iter());
    }

    /// Records the software of all targets that are known, and forgets what has expired.
    pub(crate) fn refresh<'a>(
        &self,
        targets: impl Iterator<Item = (&'a name::Service, &'a name::Software)>,
    ) {
        self.see(targets);
        let now = Moment::now();
        let mut inner = self.lock();
        let retention = inner.retention;
        inner.versions.values_mut().for_each(|versions| versions.expire(retention, now));
        inner.origins.expire(retention, now);
    }

    fn see<'a>(&self, targets: impl Iterator<Item = (&'a name::Service, &'a name::Software)>) {
        let now = Moment::now();
        let mut inner = self.lock();
        for (service, software) in targets {
            if let Some(versions) = inner.versions.get_mut(service) {
                versions.see(software, now);
            } else {
                let mut versions = Versions::default();
                versions.see(software, now);
                inner.versions.insert(service.clone(), versions);
            }
        }
    }

    /// The software version that all targets of a service have had lately, if it is one.
    pub(crate) fn sole_version(&self, service: &name::Service) -> Option<name::Software> {
        self.lock().versions.get(service)?.sole().cloned()
    }

    /// The version that all targets of a service had before others came, if that was lately.
    pub(crate) fn sole_before(&self, service: &name::Service) -> Option<name::Software> {
        let inner = self.lock();
        let versions = inner.versions.get(service)?;
        versions.sole_before(inner.retention, Moment::now()).cloned()
    }

    /// Number of streams whose origins are kept.
    pub(crate) fn len(&self) -> usize {
        self.lock().origins.len()
    }

    /// Origin of a stream, if this instance knows it.
    pub fn get(&self, stream: &str) -> Option<Origin> {
        self.lock().origins.get(stream).cloned()
    }

    /// Keeps the origin of a stream.
    pub fn keep(&self, stream: &str, origin: Origin) {
        let mut inner = self.lock();
        let retention = inner.retention;
        inner.origins.record(stream, origin, retention, Moment::now());
    }

    /// Keeps the origin of a stream here and at the instances that hold it; the receiver is notified once one does.
    pub(crate) fn record(&self, stream: &str, origin: Origin) -> oneshot::Receiver<()> {
        self.keep(stream, origin.clone());
        let (recorded, receiver) = oneshot::channel();
        self.ask(Question::Record { stream: stream.to_owned(), origin, recorded });
        receiver
    }

    /// Asks the instances that hold the origin of a stream.
    pub(crate) async fn find(&self, stream: &str) -> Answers {
        let (answers, receiver) = oneshot::channel();
        self.ask(Question::Find { stream: stream.to_owned(), answers });
        receiver.await.unwrap_or(Answers::Missing)
    }

    /// Decides where a stream may go on by these answers.
    pub(crate) fn decide(
        &self,
        service: Option<&name::Service>,
        answers: Answers,
    ) -> continuity::Decision {
        let inner = self.lock();
        let versions = service.and_then(|service| inner.versions.get(service));
        continuity::decide(versions, answers, inner.retention, Moment::now())
    }

    /// Time since the process started, from before which no origin is known.
    pub fn running_time(&self) -> Duration {
        Moment::now().since(self.started)
    }

    /// Time for which a caller may come back to a stream.
    pub fn retention(&self) -> Duration {
        self.lock().retention
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
