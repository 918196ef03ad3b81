//! One run of a stream: computes the prompt, sends the request and reads events from its target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::clock::Moment;
use entry::event::{Event, Kind, Sequence, Splitter};
use http_body_util::{BodyExt, Limited};
use hyper::{Response, body::Incoming, http::response::Parts};
use memory::ledger::Class;
use placement::{balancer::Key, health::Outcome, hedge};
use platform::request::Step;
use slog::info;
use tokio::sync::mpsc;

use crate::{
    buffer, connection,
    dispatch::Dispatch,
    metering::Output,
    metric::{self, Stage},
    progress::{Beginning, Claim},
    recording::Recording,
    request::{Execution, Pending},
    stream::{
        Cause,
        beginning::DECIDED_RUN,
        held::{Held, hold},
    },
    whole::Buffered,
};

/// Limit of the error response of an engine, in bytes.
pub(super) const MAX_ERROR_BYTES: usize = 1024 * 1024;
/// Limit of a response to a prefill request, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 4 * 1024;

/// How a run ended.
pub(super) enum Ending {
    /// The stream is complete.
    Complete,
    /// No target ran the request.
    NotRun,
    /// The request was not sent, since other runs have used up its attempts.
    Unclaimed,
    /// A peer refuses the request; nothing if its response can't be forwarded.
    Refused(Option<Buffered>),
    /// The target may have run the request, and the stream is incomplete.
    Incomplete(Cause),
    /// The target responded with an error; nothing if that can't be forwarded.
    Error(Option<Buffered>),
}

/// Whether what ended the run allows another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Again {
    /// It does.
    Allowed,
    /// A part of the prompt is suspected of ending engines.
    Denied,
}

/// What a run has brought.
pub(super) enum Update {
    /// It waits for the response of this target, which counts as silent after `limit`.
    Step {
        /// The target.
        target: Key,
        /// The limit.
        limit: Duration,
        /// Where the stream begins if the run brings its first event.
        beginning: Beginning,
        /// The record of that, unless the service has one version.
        recording: Option<Recording>,
    },
    /// Where the stream began, or begins with its first event; a peer has recorded it.
    Began(Beginning),
    /// The head of a response that succeeds.
    Head(Parts),
    /// An event.
    Event(Event),
    /// Its end.
    Ended {
        /// How it ended.
        ending: Ending,
        /// Whether that allows another run.
        again: Again,
    },
}

/// A run; it is cancelled by dropping it.
pub(super) struct Task {
    pub(super) request: Arc<Pending>,
    pub(super) dispatch: Dispatch,
    pub(super) run: hedge::Run,
    pub(super) updates: mpsc::Sender<(hedge::Run, Update)>,
    /// Id of the event after which the stream is resumed.
    pub(super) resume_after: Option<u64>,
    /// Time after which the target counts as silent before its first event.
    pub(super) limit: Duration,
    /// Whether the caller has received an event.
    pub(super) has_begun: bool,
}

/// The driver has ended.
pub(super) struct Abandoned;

impl Task {
    pub(super) async fn run(mut self) {
        let request = Arc::clone(&self.request);
        let mut claim = None;
        let Ok(ending) = self.execute(&request, &mut claim).await else {
            return;
        };
        let again = if self.dispatch.may_retry() { Again::Allowed } else { Again::Denied };
        let Task { dispatch, updates, run, .. } = self;
        drop(dispatch);
        // Without a receiver nobody waits for the ending.
        let _abandoned = updates.send((run, Update::Ended { ending, again })).await;
        // A run that waits for the claim must not report its end before this one.
        drop(claim);
    }

    /// Carries out the run; `claim` holds the claim of one that the target may have run.
    async fn execute<'a>(
        &mut self,
        request: &'a Arc<Pending>,
        claim: &mut Option<Claim<'a>>,
    ) -> Result<Ending, Abandoned> {
        let mut prefilled = None;
        let mut step = Step::Run;
        if let Some(key) = self.dispatch.plan.prefill {
            let Some(computed) = self.prefill(key).await else {
                return Ok(Ending::NotRun);
            };
            step = Step::Decode { address: computed.address, handle: computed.handle.clone() };
            prefilled = Some(computed);
        }
        let key = self.dispatch.plan.target;
        self.report_step(key).await?;
        *claim = request.claim().await;
        if claim.is_none() {
            return Ok(Ending::Unclaimed);
        }
        let sent_at = Moment::now();
        let execution = request.send(&self.dispatch, key, step, self.resume_after).await;
        let (response, connection) = match execution {
            Execution::Responded(response, connection) => (response, connection),
            Execution::NotRun => {
                if let Some(claim) = claim.take() {
                    claim.withdraw();
                }
                return Ok(Ending::NotRun);
            }
            Execution::MayHaveRun => return Ok(Ending::Incomplete(Cause::ErrorResponse)),
            Execution::Disconnected => {
                self.dispatch.examine_loss().await;
                return Ok(Ending::Incomplete(Cause::ConnectionLost));
            }
        };
        if let Some(mut computed) = prefilled {
            computed.taken = true;
            metric::observe(Stage::Transfer, Moment::now().since(sent_at));
        }
        let ending = self.read_response(response).await?;
        if matches!(ending, Ending::Complete | Ending::Error(Some(_)))
            && let Some(destination) = self.dispatch.destination(key)
        {
            request.gateway.pool.put(destination.address, connection);
        }
        Ok(ending)
    }

    /// Has an engine compute the prompt, and selects the target that takes it over; nothing if that fails.
    async fn prefill(&mut self, key: Key) -> Option<Prefilled> {
        let request = Arc::clone(&self.request);
        let unreached = request.progress().unreached;
        request.progress().prefills += 1;
        let Some(computed) = compute_prompt(&request, &self.dispatch, key).await else {
            let mut progress = request.progress();
            if progress.unreached > unreached {
                progress.prefills -= 1;
            }
            progress.avoid.push(key);
            return None;
        };
        self.dispatch.record_prompt_computed_at(key);
        let taken_over =
            request.choose_receiver(&mut self.dispatch, key) && self.dispatch.renew_ticket();
        taken_over.then_some(computed)
    }

    /// Reports for which target the run waits, and has other instances record where the stream begins where that is needed.
    async fn report_step(&self, target: Key) -> Result<(), Abandoned> {
        let request = &self.request;
        let beginning = self.dispatch.beginning();
        let mut recording = None;
        if !self.has_begun && request.needs_record() {
            // A stream that is taken up has the version that is recorded already; that is kept for longer.
            let taken_up = request.progress().began.is_some();
            let run = if taken_up { DECIDED_RUN } else { self.run.0 };
            recording = Some(request.record_origin(&beginning, self.dispatch.service(), run));
        }
        let limit = if request.has_attempts_left() { self.limit } else { request.remaining() };
        self.report(Update::Step { target, limit, beginning, recording }).await
    }

    async fn report(&self, update: Update) -> Result<(), Abandoned> {
        self.updates.send((self.run, update)).await.map_err(|_closed| Abandoned)
    }

    async fn read_response(&mut self, response: Response<Incoming>) -> Result<Ending, Abandoned> {
        let key = self.dispatch.plan.target;
        let unframed = connection::is_unframed(&response);
        let (head, mut body) = response.into_parts();
        if !head.status.is_success() || !platform::response::is_authentic(&head.headers) {
            return Ok(self.read_error(head, body).await);
        }
        self.dispatch.record_head();
        self.report(Update::Head(head)).await?;
        let mut splitter = Splitter::default();
        let mut sequence =
            self.resume_after.map_or_else(Sequence::default, |_| Sequence::resumed());
        let mut held = Held::new(&self.request);
        let mut has_events = self.resume_after.is_some();
        let mut has_begun = false;
        let mut output = Output::new(&self.request.gateway, self.dispatch.service());
        let cause = 'reading: loop {
            let bytes = match body.frame().await {
                None if splitter.is_empty()
                    && (!unframed || (has_events && self.is_target_listening().await)) =>
                {
                    self.dispatch.record_outcome(key, Outcome::Success);
                    self.dispatch.record_success();
                    return Ok(Ending::Complete);
                }
                None | Some(Err(_)) => break Cause::ConnectionLost,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if splitter.push(&bytes).is_err() {
                break Cause::OversizedEvent;
            }
            if held.count(&splitter).await.is_err() {
                break Cause::NoMemory;
            }
            while let Some(event) = splitter.take() {
                if !sequence.accepts(&event) {
                    break 'reading Cause::NoEvent;
                }
                self.dispatch.record_event();
                if !has_begun {
                    has_begun = true;
                    self.request.count_begun(&self.dispatch, Moment::now());
                }
                if let Some(output) = output.as_mut().filter(|_| event.kind() == Kind::Token) {
                    output.add();
                }
                has_events = true;
                let event = hold(&self.request, event, &self.updates).await?;
                self.report(Update::Event(event)).await?;
            }
            if held.count(&splitter).await.is_err() {
                break Cause::NoMemory;
            }
        };
        info!(self.request.gateway.log, "stream_broke_off"; "id" => &self.request.metadata.id,
            "target" => self.dispatch.target_name(key), "run" => self.run.0,
            "digest" => %self.request.content.whole,
            "parts" => self.request.metadata.shared_part_ids(), "cause" => %cause,
            "ms" => self.request.age_ms());
        self.dispatch.record_outcome(key, Outcome::Broken);
        if cause == Cause::ConnectionLost {
            self.dispatch.examine_loss().await;
        }
        self.request.progress().avoid.push(key);
        Ok(Ending::Incomplete(cause))
    }

    /// Whether the target still accepts connections after an unframed response.
    async fn is_target_listening(&self) -> bool {
        self.dispatch.is_listening(self.request.listening_limit()).await
    }

    /// Reads the error response of a target. One that would tell the caller that the request did not run is dropped.
    async fn read_error(&self, head: Parts, body: Incoming) -> Ending {
        let key = self.dispatch.plan.target;
        self.dispatch.record_outcome(key, Outcome::Error);
        self.request.progress().avoid.push(key);
        let mut reservation = self.request.gateway.memory.reservation(Class::Responses);
        let body = match buffer::read(&mut reservation, body, MAX_ERROR_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                info!(self.request.gateway.log, "response_not_read";
                    "id" => &self.request.metadata.id, "digest" => %self.request.content.whole,
                    "target" => self.dispatch.target_name(key), "fault" => %error);
                return Ending::Error(None);
            }
        };
        let buffered = Buffered { head, body, reservation };
        let forwarded = !buffered.head.status.is_success() && !buffered.reads_as_not_run();
        Ending::Error(forwarded.then_some(buffered))
    }
}

/// A computed prompt that waits for another target to take it over; released if none does.
struct Prefilled {
    request: Arc<Pending>,
    address: SocketAddr,
    handle: String,
    taken: bool,
}

impl Drop for Prefilled {
    fn drop(&mut self) {
        if !self.taken {
            self.request.release_handle(self.address, &self.handle);
        }
    }
}

/// Has an engine compute the prompt; nothing if that fails.
async fn compute_prompt(
    request: &Arc<Pending>,
    dispatch: &Dispatch,
    key: Key,
) -> Option<Prefilled> {
    let destination = dispatch.destination(key)?;
    let execution = request.send(dispatch, key, Step::Prefill, None).await;
    let Execution::Responded(response, connection) = execution else {
        return None;
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_PREFILL_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
    if !head.status.is_success() {
        dispatch.record_outcome(key, Outcome::Error);
        return None;
    }
    request.progress().record_prefill_accepted();
    dispatch.record_outcome(key, Outcome::Success);
    request.gateway.pool.put(destination.address, connection);
    let handle = platform::engine::decode_handle(&body)?;
    let request = Arc::clone(request);
    Some(Prefilled { request, address: destination.address, handle, taken: false })
}
