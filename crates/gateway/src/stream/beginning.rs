//! Where a stream begins, at which alone it may go on; see [`placement::continuity`].

use std::time::Duration;

use placement::{
    balancer::selection::{Reason, Refusal},
    continuity::{Answers, Decision},
    hedge,
};
use slog::info;
use tokio::time;

use crate::{error::Error, progress::Beginning, stream::Driver};

/// Longest wait until another instance has recorded where a stream begins; that is done while the prompt is computed.
const RECORD_TIMEOUT: Duration = Duration::from_millis(100);
/// Retry-After if it isn't known where a stream began.
const UNKNOWN_ORIGIN_RETRY: Duration = Duration::from_millis(400);

impl Driver {
    /// Finds out where the stream began that the request takes up.
    pub(super) async fn find_beginning(&self) -> Result<Beginning, Error> {
        let request = &self.request;
        let origins = &request.gateway.origins;
        let service = request.sole_service();
        let decision = if let Some(software) = request.sole_version() {
            Decision::At { service: service.cloned(), software }
        } else {
            let answers = match &request.metadata.resumes {
                Some(stream) => match origins.get(stream) {
                    Some(origin) => Answers::Known(origin),
                    None => origins.find(stream).await,
                },
                None => Answers::Missing,
            };
            origins.decide(service, answers)
        };
        info!(request.gateway.log, "stream_taken_up"; "id" => &request.metadata.id,
            "resumes" => request.metadata.resumes.as_deref().unwrap_or_default(),
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

    /// Fixes where the stream begins, before its first event is forwarded, which `run` has brought.
    ///
    /// Returns `false` if no other instance has recorded that and one at which the caller takes the stream up would
    /// suppose that it began at an earlier software version; the stream is then begun there.
    pub(super) async fn confirm_beginning(&mut self, run: hedge::Run) -> bool {
        if self.request.progress().began.is_some() {
            return true;
        }
        let Some(live) = self.runs.iter_mut().find(|live| live.run == run) else {
            return true;
        };
        let Some(beginning) = live.beginning.clone() else {
            return true;
        };
        let mut recorded = live.recorded.take();
        let started = self.race.started();
        if recorded.is_some()
            && run.0 + 1 < started
            && let Some(service) = &beginning.service
        {
            // A later run may have had another origin recorded, which would hold otherwise.
            recorded = Some(self.request.record_origin(&beginning, service, started));
        }
        let recorded = match recorded {
            Some(recorded) => matches!(time::timeout(RECORD_TIMEOUT, recorded).await, Ok(Ok(()))),
            None => true,
        };
        let service = self.request.sole_service();
        let earlier = service.and_then(|service| self.request.gateway.origins.sole_before(service));
        match earlier.filter(|earlier| *earlier != beginning.software) {
            Some(earlier) if !recorded && self.may_resume() => {
                info!(self.request.gateway.log, "origin_not_recorded";
                    "id" => &self.request.metadata.id, "software" => %beginning.software,
                    "earlier" => %earlier);
                self.request.progress().began = Some(Beginning { software: earlier, ..beginning });
                false
            }
            _ => {
                self.request.progress().began = Some(beginning);
                true
            }
        }
    }
}
