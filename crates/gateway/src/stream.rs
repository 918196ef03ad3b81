//! Requests whose response is a stream of events.
//!
//! Only complete events are forwarded. Where the route allows it, a stream that ends early is resumed at another target
//! after the last event that the caller received, under the head of the first response.

mod beginning;

use std::{sync::Arc, time::Duration};

use common::{cancel, clock::Moment};
use derive_more::Display;
use entry::{
    body::{Body, Truncated},
    event::Splitter,
};
use fleet::config::{Delivery, Retry};
use http_body_util::{BodyExt, Limited};
use hyper::{Response, body::Incoming};
use placement::health::Outcome;
use platform::request::Step;
use slog::{debug, info};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    connection,
    dispatch::Dispatch,
    error::Error,
    metric::{self, Stage},
    request::{Beginning, Execution, Pending, Progress},
    state::ms,
};

/// Events that are queued for a caller that reads slowly.
const MAX_QUEUED_EVENTS: usize = 32;
/// A first event or computed prompt is overdue after this many times the predicted time plus a fixed margin. Shorter
/// limits have prompts computed twice whenever the engines are busy.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MARGIN: Duration = Duration::from_millis(600);
/// A stream that may be resumed is given up after a pause of this many times the route's gap between events.
const SILENCE_GAP_FACTOR: u32 = 4;
/// Limit of the error response of an engine, in bytes.
const MAX_ERROR_BYTES: usize = 1024 * 1024;
/// Limit of a response to a prefill request, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 4 * 1024;

/// Events on their way to the caller.
type Events = mpsc::Sender<Result<bytes::Bytes, Truncated>>;

/// The caller's end of the response.
enum Output {
    /// The caller waits for the response head.
    Head(oneshot::Sender<Result<Response<Body>, Error>>),
    /// The caller has the head and receives events.
    Events(Events),
    /// The response has ended or the caller has closed the connection.
    Closed,
}

/// How an attempt ended.
enum Ending {
    /// The stream is complete.
    Complete,
    /// The target responded with an error, which was forwarded.
    Forwarded,
    /// No target ran the request.
    NotRun,
    /// The target may have run the request, and the stream is incomplete.
    Incomplete(Cause),
    /// The caller has closed the connection.
    CallerGone,
}

/// Why a stream went no further.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Cause {
    /// The target sent nothing for too long.
    #[display("silence")]
    Silence,
    /// The connection to the target was lost, or the target ended the response early.
    #[display("connection lost")]
    ConnectionLost,
    /// The target responded with an error, or with what is no response to the request.
    #[display("error response")]
    ErrorResponse,
    /// The target sent an event that is too large.
    #[display("oversized event")]
    OversizedEvent,
    /// The responses of other requests hold all of the memory.
    #[display("no memory")]
    NoMemory,
    /// It wasn't recorded elsewhere where the stream begins.
    #[display("origin not recorded")]
    OriginNotRecorded,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
}

/// Serves one request: runs its attempts and forwards events to the caller.
struct Driver {
    request: Arc<Pending>,
    output: Output,
    progress: Progress,
    /// Id of the last event that the caller received.
    last_event_id: Option<u64>,
    /// When the first event was forwarded.
    first_event_at: Option<Moment>,
    last_event_at: Moment,
    /// Longest pause between two events.
    longest_pause: Duration,
    event_count: u32,
    /// Where the stream begins if the current attempt brings the first event.
    beginning: Option<Beginning>,
    /// Times that this was recorded at other instances.
    recordings: u32,
    /// Notified once another instance has recorded it.
    recorded: Option<oneshot::Receiver<()>>,
    /// Why the last attempt ended early.
    cause: Option<Cause>,
    /// Why no further attempt was made.
    denied: Option<String>,
}

/// Serves a request; returns the response head, with a body that streams the events.
pub(crate) async fn run(request: Arc<Pending>) -> Result<Response<Body>, Error> {
    let (head, receiver) = oneshot::channel();
    let cancelled = cancel::Token::new();
    let guard = cancelled.clone().drop_guard();
    let last_event_id = request.metadata.resume_after;
    let driver = Driver {
        request,
        output: Output::Head(head),
        progress: Progress::default(),
        last_event_id,
        first_event_at: None,
        last_event_at: Moment::default(),
        longest_pause: Duration::ZERO,
        event_count: 0,
        beginning: None,
        recordings: 0,
        recorded: None,
        cause: None,
        denied: None,
    };
    tokio::spawn(async move { cancelled.run_until_cancelled(driver.run()).await });
    let response = receiver.await.unwrap_or(Err(Error::TargetFailed))?;
    Ok(response.map(|body| body.guarded(guard)))
}

impl Driver {
    async fn run(mut self) {
        let request = Arc::clone(&self.request);
        let outcome = match time::timeout(request.remaining(), self.run_attempts()).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.cause = Some(Cause::Deadline);
                Err(Error::Timeout)
            }
        };
        if let Some(first_event_at) = self.first_event_at {
            metric::observe(Stage::FirstEvent, first_event_at.since(request.arrived));
            metric::observe(Stage::LongestPause, self.longest_pause);
            debug!(request.gateway.log, "stream_ended"; "id" => &request.metadata.id,
                "route" => &request.route().name, "whole" => outcome.is_ok(),
                "first_ms" => ms(first_event_at.since(request.arrived)),
                "longest_pause_ms" => ms(self.longest_pause), "runs" => self.progress.runs + 1,
                "events" => self.event_count, "ms" => request.age_ms());
        }
        if let Err(error) = outcome {
            self.fail(error).await;
        }
    }

    async fn run_attempts(&mut self) -> Result<(), Error> {
        let request = Arc::clone(&self.request);
        if request.metadata.takes_stream_up() {
            self.progress.began = Some(self.find_beginning().await?);
        }
        loop {
            let mut dispatch = match request.dispatch(&mut self.progress) {
                Ok(dispatch) => dispatch,
                Err(error) if self.progress.runs > 0 => {
                    self.denied = Some(error.to_string());
                    return Err(Error::TargetFailed);
                }
                Err(error) => return Err(error),
            };
            match self.attempt(&mut dispatch).await {
                Ending::Complete | Ending::Forwarded | Ending::CallerGone => return Ok(()),
                Ending::NotRun => continue,
                Ending::Incomplete(cause) => {
                    self.cause = Some(cause);
                    self.progress.runs += 1;
                }
            }
            if !request.may_retry(&self.progress) || !dispatch.may_retry() {
                self.denied = Some(String::from("the request may not run again"));
                return Err(Error::TargetFailed);
            }
            metrics::counter!("daisydrum_streams_resumed_total").increment(1);
            info!(request.gateway.log, "stream_resumed"; "id" => &request.metadata.id,
                "runs" => self.progress.runs, "last_event" => ?self.last_event_id,
                "ms" => request.age_ms());
        }
    }

    async fn attempt(&mut self, dispatch: &mut Dispatch) -> Ending {
        let request = Arc::clone(&self.request);
        let predicted = Duration::from_secs_f64(
            (dispatch.plan.first_token_at_ms - request.now_ms()).max(0.0) / 1e3,
        );
        let overdue = predicted.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN;
        let mut prefilled = None;
        let mut step = Step::Run;
        if let Some(key) = dispatch.plan.prefill {
            let unreached = self.progress.unreached;
            self.progress.prefills += 1;
            let result =
                time::timeout(overdue, prefill(&request, dispatch, key, &mut self.progress)).await;
            let Ok(Some(source)) = result else {
                if result.is_err() {
                    info!(request.gateway.log, "prompt_overdue"; "id" => &request.metadata.id,
                        "limit_ms" => ms(overdue));
                    dispatch.record_outcome(key, Outcome::Broken);
                }
                if self.progress.unreached > unreached {
                    self.progress.prefills -= 1;
                }
                self.progress.avoid.push(key);
                return Ending::NotRun;
            };
            dispatch.record_prompt_computed_at(key);
            if !request.choose_receiver(dispatch, key, &self.progress) {
                request.release_handle(source.address, &source.handle);
                return Ending::NotRun;
            }
            if !dispatch.renew_ticket() {
                request.release_handle(source.address, &source.handle);
                return Ending::NotRun;
            }
            step = Step::Decode { address: source.address, handle: source.handle.clone() };
            prefilled = Some(source);
        }
        self.record_beginning(dispatch);
        let limit = if self.may_resume() { overdue } else { request.remaining() };
        let key = dispatch.plan.target;
        let sent_at = Moment::now();
        let response = request.send(dispatch, key, &mut self.progress, step, self.last_event_id);
        let Ok(execution) = time::timeout(limit, response).await else {
            info!(request.gateway.log, "answer_overdue"; "id" => &request.metadata.id,
                "limit_ms" => ms(limit));
            dispatch.record_outcome(key, Outcome::Broken);
            self.progress.avoid.push(key);
            return Ending::Incomplete(Cause::Silence);
        };
        match execution {
            Execution::Responded(response, connection) => {
                if prefilled.is_some() {
                    metric::observe(Stage::Transfer, Moment::now().since(sent_at));
                }
                let ending = self.forward_response(dispatch, response, limit).await;
                if matches!(ending, Ending::Complete | Ending::Forwarded)
                    && let Some(destination) = dispatch.destination(key)
                {
                    request.gateway.pool.put(destination.address, connection);
                }
                ending
            }
            Execution::NotRun => {
                if let Some(source) = prefilled {
                    request.release_handle(source.address, &source.handle);
                }
                Ending::NotRun
            }
            Execution::MayHaveRun => Ending::Incomplete(Cause::ErrorResponse),
            Execution::Disconnected => {
                dispatch.examine_end().await;
                Ending::Incomplete(Cause::ConnectionLost)
            }
        }
    }

    fn may_resume(&self) -> bool {
        let request = &self.request;
        request.route().retry == Retry::Resume && request.may_retry_after_next(&self.progress)
    }

    async fn forward_response(
        &mut self,
        dispatch: &mut Dispatch,
        response: Response<Incoming>,
        first_event_limit: Duration,
    ) -> Ending {
        let key = dispatch.plan.target;
        let unframed = connection::is_unframed(&response);
        let (head, mut body) = response.into_parts();
        if !head.status.is_success() || !platform::response::is_authentic(&head.headers) {
            return self.forward_error_response(dispatch, head, body).await;
        }
        dispatch.record_head();
        if let Output::Head(_) = self.output {
            let (events, queue) = mpsc::channel(MAX_QUEUED_EVENTS);
            let mut response = Response::new(Body::stream(queue));
            *response.status_mut() = head.status;
            *response.headers_mut() = platform::request::end_to_end_headers(&head.headers);
            if let Output::Head(caller) =
                std::mem::replace(&mut self.output, Output::Events(events))
                && caller.send(Ok(response)).is_err()
            {
                self.output = Output::Closed;
                return Ending::CallerGone;
            }
        }
        let mut splitter = Splitter::default();
        let mut reservation = self.request.gateway.buffers.reservation();
        let mut limit = first_event_limit;
        let cause = loop {
            let Ok(frame) = time::timeout(limit, body.frame()).await else {
                break Cause::Silence;
            };
            let bytes = match frame {
                None if splitter.is_empty()
                    && (!unframed || self.is_unframed_end_complete(dispatch).await) =>
                {
                    dispatch.record_outcome(key, Outcome::Success);
                    dispatch.record_success();
                    return Ending::Complete;
                }
                None | Some(Err(_)) => break Cause::ConnectionLost,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if splitter.push(&bytes).is_err() {
                break Cause::OversizedEvent;
            }
            while let Some(event) = splitter.take() {
                dispatch.record_event();
                if !self.confirm_beginning().await {
                    return Ending::Incomplete(Cause::OriginNotRecorded);
                }
                if !self.forward_event(event).await {
                    return Ending::CallerGone;
                }
            }
            if !reservation.resize(splitter.len()) {
                break Cause::NoMemory;
            }
            limit = self.pause_limit();
        };
        info!(self.request.gateway.log, "stream_broke_off"; "id" => &self.request.metadata.id,
            "target" => dispatch.target_name(key), "parts" => self.request.metadata.shared_part_ids(),
            "last_event" => ?self.last_event_id, "cause" => %cause, "limit_ms" => ms(limit),
            "ms" => self.request.age_ms());
        dispatch.record_outcome(key, Outcome::Broken);
        if cause == Cause::ConnectionLost {
            dispatch.examine_end().await;
        }
        self.progress.avoid.push(key);
        Ending::Incomplete(cause)
    }

    /// Whether an unframed response that ended between two events is complete.
    async fn is_unframed_end_complete(&self, dispatch: &Dispatch) -> bool {
        self.last_event_id.is_some() && dispatch.is_listening().await
    }

    /// Longest pause between events before the stream is given up.
    fn pause_limit(&self) -> Duration {
        match self.request.route().delivery {
            Delivery::Stream { gap } if self.may_resume() => gap * SILENCE_GAP_FACTOR,
            Delivery::Stream { .. } | Delivery::Whole => self.request.remaining(),
        }
    }

    /// Forwards an event unless the caller has received it before; `false` if the caller has closed the connection.
    async fn forward_event(&mut self, event: entry::event::Event) -> bool {
        let id = event.id();
        if id.is_some() && id <= self.last_event_id {
            return true;
        }
        self.last_event_id = id.or(self.last_event_id);
        self.event_count += 1;
        let now = Moment::now();
        if self.first_event_at.replace(self.first_event_at.unwrap_or(now)).is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.last_event_at));
        }
        self.last_event_at = now;
        match &self.output {
            Output::Events(events) => events.send(Ok(event.0)).await.is_ok(),
            Output::Head(_) | Output::Closed => false,
        }
    }

    /// Forwards the error response of a target unless the stream can be resumed elsewhere. One that would tell the
    /// caller that the request did not run is replaced.
    async fn forward_error_response(
        &mut self,
        dispatch: &Dispatch,
        head: hyper::http::response::Parts,
        body: Incoming,
    ) -> Ending {
        let key = dispatch.plan.target;
        dispatch.record_outcome(key, Outcome::Error);
        self.progress.avoid.push(key);
        let mut reservation = self.request.gateway.buffers.reservation();
        let body = match reservation.read(body, MAX_ERROR_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                info!(self.request.gateway.log, "response_not_read";
                    "id" => &self.request.metadata.id, "target" => dispatch.target_name(key),
                    "fault" => %error);
                return Ending::Incomplete(Cause::ErrorResponse);
            }
        };
        let buffered = crate::whole::Buffered { head, body, _reservation: reservation };
        let is_final = !self.may_resume();
        if !is_final || buffered.head.status.is_success() || buffered.reads_as_not_run() {
            return Ending::Incomplete(Cause::ErrorResponse);
        }
        match std::mem::replace(&mut self.output, Output::Closed) {
            Output::Head(caller) => {
                let _closed = caller.send(Ok(buffered.into_response()));
                Ending::Forwarded
            }
            output @ (Output::Events(_) | Output::Closed) => {
                self.output = output;
                Ending::Incomplete(Cause::ErrorResponse)
            }
        }
    }

    async fn fail(&mut self, error: Error) {
        match std::mem::replace(&mut self.output, Output::Closed) {
            Output::Head(caller) => {
                let _closed = caller.send(Err(error));
            }
            Output::Events(events) => {
                let cause = self.cause.map(|cause| cause.to_string()).unwrap_or_default();
                metrics::counter!("daisydrum_streams_cut_total", "cause" => cause.clone())
                    .increment(1);
                info!(self.request.gateway.log, "stream_cut"; "id" => &self.request.metadata.id,
                    "route" => &self.request.route().name, "runs" => self.progress.runs,
                    "last_event" => ?self.last_event_id, "cause" => cause,
                    "denied" => self.denied.take().unwrap_or_default(),
                    "ms" => self.request.age_ms(), "fault" => %error,
                    "config" => self.request.config.version);
                let _closed = events.send(Err(Truncated)).await;
            }
            Output::Closed => {}
        }
    }
}

/// A computed prompt that waits for another target to take it over.
struct Prefilled {
    address: std::net::SocketAddr,
    handle: String,
}

/// Has an engine compute the prompt; nothing if that fails.
async fn prefill(
    request: &Pending,
    dispatch: &Dispatch,
    key: placement::balancer::Key,
    progress: &mut Progress,
) -> Option<Prefilled> {
    let destination = dispatch.destination(key)?;
    let execution = request.send(dispatch, key, progress, Step::Prefill, None).await;
    let Execution::Responded(response, connection) = execution else {
        return None;
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_PREFILL_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
    if !head.status.is_success() {
        dispatch.record_outcome(key, Outcome::Error);
        return None;
    }
    progress.record_prefill_accepted();
    dispatch.record_outcome(key, Outcome::Success);
    request.gateway.pool.put(destination.address, connection);
    let handle = platform::engine::decode_handle(&body)?;
    Some(Prefilled { address: destination.address, handle })
}
