//! Where a stream begins, at which alone it may go on; see [`placement::continuity`].

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::config::Retry;
use placement::{
    balancer::selection::{Reason, Refusal},
    continuity::{Answers, Decision, tally::Outcome},
    hedge,
};
use slog::info;

use crate::{error::Error, progress::Beginning, recording::Recording, stream::Driver};

/// Retry-After if it isn't known where a stream began.
const UNKNOWN_ORIGIN_RETRY: Duration = Duration::from_millis(400);

/// Number of the run in the record of a stream that has had runs at peers, which count their own runs from 0; above theirs
/// and below that of streams that are taken up.
const CONFIRMED_RUN: u32 = 1 << 16;
/// The same where it is decided already at which version the stream goes on.
pub(super) const DECIDED_RUN: u32 = u32::MAX;

/// Time after which an origin that wasn't recorded is recorded once more.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a stream begins with the first event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// It does.
    Begins,
    /// Its origin is not recorded, and an instance at which the caller takes the stream up would suppose that it began at
    /// the oldest software version; it is begun there.
    BeginsElsewhere,
    /// It isn't certain whether its origin is recorded, so that it can begin nowhere.
    Uncertain,
}

impl Driver {
    /// Finds out where the stream began that the request takes up, or whose first events it has forwarded.
    pub(super) async fn find_beginning(&self) -> Result<Beginning, Error> {
        let request = &self.request;
        let origins = &request.gateway.origins;
        let service = request.sole_service();
        let resumes = request.metadata.resumes.as_deref();
        let is_own = self.first_event_at.is_some();
        let stream = resumes.or(is_own.then_some(request.metadata.id.as_str()));
        // What this instance believes of the versions may be old, so that it asks even if it knows of one only.
        let answers = match stream.and_then(|stream| origins.get(stream)) {
            Some(origin) => Answers::Known(origin),
            None => origins.find(stream, service).await,
        };
        let decision = origins.decide(service, answers);
        info!(request.gateway.log, "stream_taken_up"; "id" => &request.metadata.id,
            "resumes" => stream.unwrap_or_default(),
            "last_event" => ?self.last_event_id, "decision" => ?decision);
        match decision {
            Decision::At { service, software } => Ok(Beginning { service, software }),
            Decision::Refuse => Err(Error::Refused(Refusal {
                reason: Reason::UnknownOrigin,
                retry_after: UNKNOWN_ORIGIN_RETRY.min(request.remaining() / 3),
                expected: None,
            })),
        }
    }

    /// Finds out where the stream began whose first events a peer of an earlier build has brought: such peers don't say it,
    /// but record it like others.
    pub(super) async fn ensure_beginning(&self) -> Result<(), Error> {
        if self.first_event_at.is_some() && self.request.progress().began.is_none() {
            let beginning = self.find_beginning().await?;
            self.request.progress().began = Some(beginning);
        }
        Ok(())
    }

    /// The oldest software version, at which a new stream begins for which no record is needed, while none can be made.
    pub(super) fn beginning_without_record(&self) -> Option<Beginning> {
        let request = &self.request;
        let origins = &request.gateway.origins;
        if request.route().retry != Retry::Resume || !origins.is_unable_to_record() {
            return None;
        }
        let service = request.sole_service()?;
        let software = origins.oldest_version(service)?;
        let serves = request.gateway.balancer().serves_version(service, &software);
        serves.then(|| Beginning { service: Some(service.clone()), software })
    }

    /// Fixes where the stream begins, before its first event is forwarded, which `run` has brought.
    pub(super) async fn confirm_beginning(&mut self, run: hedge::Run) -> Confirmation {
        let Some(live) = self.runs.iter_mut().find(|live| live.run == run) else {
            return Confirmation::Begins;
        };
        let mut recording = live.recording.take();
        if self.request.progress().began.is_some() {
            self.follow_record(recording);
            return Confirmation::Begins;
        }
        let Some(beginning) = live.beginning.clone() else {
            return Confirmation::Begins;
        };
        let started = self.race.started();
        let is_relayed = self.request.progress().relays > 0;
        // Another run may have had another origin recorded, which would hold otherwise.
        let number = if is_relayed && started > 1 && self.request.needs_record() {
            Some(CONFIRMED_RUN)
        } else {
            (recording.is_some() && run.0 + 1 < started).then_some(started)
        };
        if let Some(number) = number
            && let Some(service) = beginning.service.as_ref().or(self.request.sole_service())
        {
            recording = Some(self.request.record_origin(&beginning, service, number));
        }
        let mut outcome = Outcome::Recorded;
        if let Some(recording) = &recording {
            outcome = self.resolve(recording, &beginning).await;
            self.request.gateway.origins.set_recorded(outcome);
        }
        if let Some(oldest) = self.supposed_version(&beginning)
            && outcome != Outcome::Recorded
            && self.may_resume()
        {
            info!(self.request.gateway.log, "origin_not_recorded";
                "id" => &self.request.metadata.id, "software" => %beginning.software,
                "oldest" => %oldest, "outcome" => ?outcome);
            if outcome == Outcome::Uncertain {
                return Confirmation::Uncertain;
            }
            self.request.progress().began = Some(Beginning { software: oldest, ..beginning });
            return Confirmation::BeginsElsewhere;
        }
        self.request.progress().began = Some(beginning);
        self.follow_record(recording);
        Confirmation::Begins
    }

    /// The version at which an instance would suppose that the stream began that finds no record, if it is another one.
    fn supposed_version(&self, beginning: &Beginning) -> Option<name::Software> {
        let oldest = self.request.gateway.origins.oldest_version(self.request.sole_service()?)?;
        (oldest != beginning.software).then_some(oldest)
    }

    /// Waits for the record of where the stream begins, and withdraws it if that takes too long. It waits for longer where the
    /// stream can't begin otherwise: the version at which streams without a record begin has no targets any more, or it
    /// isn't certain that there is no record.
    async fn resolve(&self, recording: &Recording, beginning: &Beginning) -> Outcome {
        if recording.resolve().await {
            return Outcome::Recorded;
        }
        let Some(oldest) = self.supposed_version(beginning) else {
            // A late record of the version at which the stream begins anyway does no harm.
            return recording.withdraw();
        };
        let serves = |service| self.request.gateway.balancer().serves_version(service, &oldest);
        let serves = self.request.sole_service().is_some_and(serves);
        let mut outcome = if serves { recording.withdraw() } else { Outcome::Uncertain };
        if outcome == Outcome::Uncertain {
            let is_recorded = recording.ascertain().await;
            outcome = if is_recorded { Outcome::Recorded } else { recording.withdraw() };
        }
        outcome
    }

    /// Has the origin of a stream recorded later that wasn't before its first event, if the stream may outlive the versions
    /// that are remembered without a record.
    fn follow_record(&mut self, recording: Option<Recording>) {
        if let Some(recording) = recording.filter(|_| self.request.is_long_lived()) {
            self.unrecorded = Some(Unrecorded::new(recording, Moment::now()));
        }
    }

    /// Time until [`Driver::record_again`] is due, if it is.
    pub(super) fn until_record(&self) -> Option<Duration> {
        self.unrecorded.as_ref().map(|unrecorded| unrecorded.due_at.since(Moment::now()))
    }

    /// Records the origin once more unless it is recorded by now.
    pub(super) fn record_again(&mut self) {
        let Some(Unrecorded { recording, .. }) = self.unrecorded.take() else {
            return;
        };
        let request = &self.request;
        let Some(began) = request.progress().began.clone().filter(|_| !recording.is_recorded())
        else {
            return;
        };
        if let Some(service) = began.service.as_ref().or(request.sole_service()) {
            let recording = request.record_origin(&began, service, DECIDED_RUN);
            self.unrecorded = Some(Unrecorded::new(recording, Moment::now()));
        }
    }
}

/// A long-lived stream that goes on while its origin may not be recorded.
#[derive(Debug)]
pub(super) struct Unrecorded {
    recording: Recording,
    /// When it is recorded once more.
    due_at: Moment,
}

impl Unrecorded {
    fn new(recording: Recording, now: Moment) -> Unrecorded {
        Unrecorded { recording, due_at: now + RECORD_INTERVAL }
    }
}
