//! Requests whose response is a stream of events.
//!
//! Only complete events are forwarded. Where the route allows it, a stream that ends early is resumed at another target
//! after the last event that the caller received, under the head of the first response. While the target is silent
//! another run is started beside it, and the first that brings the next event goes on; see [`placement::hedge`].

mod beginning;
mod deferral;
mod held;
mod output;
mod relayed;
mod run;
mod start;

use std::{sync::Arc, time::Duration};

use common::{cancel, clock::Moment};
use derive_more::Display;
use entry::body::Body;
use fleet::config::{Delivery, Retry};
use hyper::{Response, http::response};
use placement::{
    balancer::{Key, selection::Reason},
    deferral::Wait,
    hedge::{self, Another, Decision, Race},
};
use slog::{debug, info};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::sync::DropGuard;

use crate::{
    error::Error,
    metric::{self, Stage},
    progress::Beginning,
    recording::Recording,
    request::{Awaited, Pending, RESPONSE_MARGIN, Source},
    state::ms,
    stream::{
        beginning::{Confirmation, Unrecorded},
        output::Output,
        run::{Again, Ending, Update},
    },
    whole::Buffered,
};

/// A first event or computed prompt is overdue after this many times the predicted time plus a fixed margin. Shorter
/// limits have prompts computed twice whenever the engines are busy.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MARGIN: Duration = Duration::from_millis(600);
/// Another target is tried for a stream that may be resumed after a pause of this many times the route's gap between
/// events.
const SILENCE_GAP_FACTOR: u32 = 4;

/// Whether the request is finished.
enum Flow {
    Continue,
    /// The response is complete or has been forwarded, or the caller has closed the connection.
    Finished,
}

/// Why a stream went no further.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Cause {
    /// The connection to the target was lost, or the target ended the response early.
    #[display("connection lost")]
    ConnectionLost,
    /// The target responded with an error, or with what is no response to the request.
    #[display("error response")]
    ErrorResponse,
    /// The target sent an event that is too large.
    #[display("oversized event")]
    OversizedEvent,
    /// The target sent what is no event of the stream.
    #[display("no event")]
    NoEvent,
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

/// A live run.
struct Live {
    run: hedge::Run,
    /// The target that the run waits for, unless a peer selects it.
    target: Option<Key>,
    /// What it waits for.
    awaited: Awaited,
    /// Head of its response, until that is forwarded.
    head: Option<response::Parts>,
    beginning: Option<Beginning>,
    /// The record of where the stream begins.
    recording: Option<Recording>,
    /// Cancels the run when it is dropped.
    _guard: DropGuard,
}

/// Serves one request: starts its runs and forwards events to the caller.
struct Driver {
    request: Arc<Pending>,
    output: Output,
    race: Race,
    runs: Vec<Live>,
    updates: mpsc::Receiver<(hedge::Run, Update)>,
    sender: mpsc::Sender<(hedge::Run, Update)>,
    /// Id of the last event that the caller received.
    last_event_id: Option<u64>,
    /// When the first event was forwarded.
    first_event_at: Option<Moment>,
    last_event_at: Moment,
    /// Longest pause between two events.
    longest_pause: Duration,
    event_count: u32,
    /// The last error response of a target, which is forwarded if no run completes.
    error_response: Option<Buffered>,
    /// The wait for targets of its software version since the last event.
    wait: Option<Wait>,
    /// The record of where it began, while that may not be made.
    unrecorded: Option<Unrecorded>,
    /// Why the last run ended early.
    cause: Option<Cause>,
    /// Why no further run was started.
    denied: Option<String>,
}

/// Serves a request; returns the response head, with a body that streams the events.
pub(crate) async fn run(request: Arc<Pending>) -> Result<Response<Body>, Error> {
    let (head, receiver) = oneshot::channel();
    let cancelled = cancel::Token::new();
    let guard = cancelled.clone().drop_guard();
    let last_event_id = request.metadata.resume_after;
    let (sender, updates) = mpsc::channel(hedge::MAX_LIVE);
    let driver = Driver {
        request,
        output: Output::Head(head),
        race: Race::default(),
        runs: Vec::new(),
        updates,
        sender,
        last_event_id,
        first_event_at: None,
        last_event_at: Moment::default(),
        longest_pause: Duration::ZERO,
        event_count: 0,
        error_response: None,
        wait: None,
        unrecorded: None,
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
        let outcome = match time::timeout(request.remaining(), self.serve()).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.cause = Some(Cause::Deadline);
                Err(Error::Timeout)
            }
        };
        self.runs.clear();
        if let Some(first_event_at) = self.first_event_at {
            metric::observe(Stage::FirstEvent, first_event_at.since(request.arrived));
            metric::observe(Stage::LongestPause, self.longest_pause);
            debug!(request.gateway.log, "stream_ended"; "id" => &request.metadata.id,
                "route" => &request.route().name, "whole" => outcome.is_ok(),
                "first_ms" => ms(first_event_at.since(request.arrived)),
                "longest_pause_ms" => ms(self.longest_pause), "runs" => self.race.started(),
                "events" => self.event_count, "ms" => request.age_ms());
        }
        if let Err(error) = outcome {
            self.fail(error);
        }
    }

    /// Starts runs and forwards what they bring until the response is complete.
    async fn serve(&mut self) -> Result<(), Error> {
        let has_begun = self.request.progress().began.is_some();
        if self.request.metadata.takes_stream_up() && !has_begun {
            let beginning = self.find_beginning().await?;
            self.request.progress().began = Some(beginning);
        } else if !has_begun && let Some(beginning) = self.beginning_without_record() {
            self.request.progress().began = Some(beginning);
        }
        self.follow(Decision::Start).await?;
        loop {
            let until_check = match self.race.next_check() {
                Some(check) => check.since(Moment::now()),
                None => self.request.remaining(),
            };
            let until_refusal = self.until_refusal();
            let until_record = self.until_record();
            tokio::select! {
                biased;
                Some((run, update)) = self.updates.recv() => {
                    if let Flow::Finished = self.apply(run, update).await? {
                        return Ok(());
                    }
                }
                () = time::sleep(until_refusal.unwrap_or_default()), if until_refusal.is_some() => {
                    self.refuse_overdue()?;
                }
                () = time::sleep(until_record.unwrap_or_default()), if until_record.is_some() => {
                    self.record_again();
                }
                () = time::sleep(until_check) => self.check_silence().await?,
            }
        }
    }

    /// Carries out a decision on the runs.
    async fn follow(&mut self, decision: Decision) -> Result<(), Error> {
        match decision {
            Decision::Start => {
                let Err(error) = self.start_or_wait().await else {
                    return Ok(());
                };
                if self.race.after_refusal() == Decision::Wait {
                    return Ok(());
                }
                if !self.request.progress().may_have_run() {
                    return Err(error);
                }
                self.denied = Some(error.to_string());
                Err(Error::TargetFailed)
            }
            Decision::Wait => Ok(()),
            Decision::Fail => {
                self.denied = Some(String::from("the request may not run again"));
                Err(Error::TargetFailed)
            }
        }
    }

    /// Applies what a run has brought.
    async fn apply(&mut self, run: hedge::Run, update: Update) -> Result<Flow, Error> {
        let Some(live) = self.runs.iter_mut().find(|live| live.run == run) else {
            return Ok(Flow::Continue);
        };
        match update {
            Update::Step { target, limit, beginning, recording } => {
                if self.race.renew(run, limit, Moment::now())
                    && let Some(heard) = live.target
                {
                    self.request.record_heard(heard);
                }
                live.target = Some(target);
                live.awaited = Awaited::Answer;
                live.beginning = Some(beginning);
                live.recording = recording;
                Ok(Flow::Continue)
            }
            Update::Began(beginning) => {
                live.beginning = Some(beginning);
                Ok(Flow::Continue)
            }
            Update::Head(head) => {
                live.head = Some(head);
                // Beside other runs it isn't decided yet which one goes on. A peer learns with the head where the stream
                // begins, which is decided before the first event.
                let is_decided = self.race.live() == 1 && self.request.source == Source::Caller;
                if is_decided && self.forward_head(run).is_err() {
                    return Ok(Flow::Finished);
                }
                Ok(Flow::Continue)
            }
            Update::Event(event) => self.apply_event(run, event).await,
            Update::Ended { ending, again } => self.apply_ending(run, ending, again).await,
        }
    }

    async fn apply_event(
        &mut self,
        run: hedge::Run,
        event: entry::event::Event,
    ) -> Result<Flow, Error> {
        let id = event.id();
        if id.is_some() && id <= self.last_event_id {
            self.renew(run);
            return Ok(Flow::Continue);
        }
        let again = match self.confirm_beginning(run).await {
            Confirmation::Begins => None,
            Confirmation::BeginsElsewhere => Some(Again::Allowed),
            Confirmation::Uncertain => Some(Again::Denied),
        };
        if let Some(again) = again {
            let ending = Ending::Incomplete(Cause::OriginNotRecorded);
            return self.apply_ending(run, ending, again).await;
        }
        self.win(run);
        if self.forward_head(run).is_err() || !self.forward_event(event).await {
            return Ok(Flow::Finished);
        }
        self.renew(run);
        Ok(Flow::Continue)
    }

    /// Records a sign of life of a run.
    fn renew(&mut self, run: hedge::Run) {
        let was_silent = self.race.renew(run, self.pause_limit(), Moment::now());
        if let Some(live) = self.runs.iter_mut().find(|live| live.run == run) {
            live.awaited = Awaited::Event;
            if let Some(target) = live.target.filter(|_| was_silent) {
                self.request.record_heard(target);
            }
        }
    }

    /// Lets a run go on alone.
    fn win(&mut self, run: hedge::Run) {
        self.wait = None;
        let heard = self.race.win(run, self.pause_limit(), Moment::now());
        let live = self.runs.iter().find(|live| live.run == run);
        if let Some(target) = live.and_then(|live| live.target)
            && (heard.was_silent || self.request.progress().silent.contains(&target))
        {
            self.request.record_heard(target);
        }
        if !heard.losers.is_empty() {
            self.runs.retain(|live| live.run == run);
            for _ in &heard.losers {
                self.request.progress().end_run();
            }
            info!(self.request.gateway.log, "hedge_decided"; "id" => &self.request.metadata.id,
                "run" => run.0, "was_silent" => heard.was_silent, "ms" => self.request.age_ms());
        }
    }

    async fn apply_ending(
        &mut self,
        run: hedge::Run,
        ending: Ending,
        again: Again,
    ) -> Result<Flow, Error> {
        let request = Arc::clone(&self.request);
        request.progress().end_run();
        let another = match ending {
            Ending::Complete => {
                self.win(run);
                let _closed = self.forward_head(run);
                self.finish();
                return Ok(Flow::Finished);
            }
            Ending::Unclaimed => Another::Denied,
            Ending::NotRun => {
                if self.race.live() == 1 {
                    Another::Allowed
                } else {
                    request.another()
                }
            }
            Ending::Refused(response) => {
                // A refusal says that the request did not run.
                if self.race.live() == 1 && !request.progress().may_have_run() {
                    self.error_response = response.or(self.error_response.take());
                    return Err(Error::TargetFailed);
                }
                Another::Denied
            }
            Ending::Incomplete(cause) => {
                self.cause = Some(cause);
                request.another()
            }
            Ending::Error(response) => {
                self.cause = Some(Cause::ErrorResponse);
                self.error_response = response.or(self.error_response.take());
                request.another()
            }
        };
        self.runs.retain(|live| live.run != run);
        if request.route().retry == Retry::Never && request.progress().may_have_run() {
            // The runs beside it wait for their prompts, and none of them may be answered any more.
            self.runs.clear();
            self.race = Race::default();
        }
        let another = if again == Again::Allowed { another } else { Another::Denied };
        let decision = self.race.after_end(run, another);
        self.follow(decision).await?;
        Ok(Flow::Continue)
    }

    /// Finds silent runs, and starts another one beside them where that is allowed.
    async fn check_silence(&mut self) -> Result<(), Error> {
        for run in self.race.check(Moment::now()) {
            let live = self.runs.iter().find(|live| live.run == run);
            if let Some(live) = live
                && let Some(target) = live.target
            {
                self.request.record_silent(target, live.awaited);
            }
        }
        let in_time = self.request.remaining() > RESPONSE_MARGIN;
        let another = if in_time && self.request.may_run_beside() {
            Another::Allowed
        } else {
            Another::Denied
        };
        let decision = self.race.after_silence(another);
        self.follow(decision).await
    }

    /// Refuses a request whose prompt is still awaited, so that its caller has the time to come back; it has not run.
    fn refuse_overdue(&self) -> Result<(), Error> {
        if self.request.progress().close() {
            Err(self.request.refusal(Reason::PromptOverdue))
        } else {
            Ok(())
        }
    }

    /// Time until [`Driver::refuse_overdue`] is due, if it is.
    fn until_refusal(&self) -> Option<Duration> {
        let request = &self.request;
        let half = request.deadline.since(request.arrived) / 2;
        let awaits_prompt =
            !self.runs.is_empty() && self.runs.iter().all(|live| live.awaited == Awaited::Prompt);
        awaits_prompt.then(|| (request.arrived + half).since(Moment::now()))
    }

    fn may_resume(&self) -> bool {
        self.request.route().retry == Retry::Resume && self.request.has_attempts_left()
    }

    /// Longest pause between events before the target counts as silent.
    fn pause_limit(&self) -> Duration {
        match self.request.route().delivery {
            Delivery::Stream { gap } if self.may_resume() => gap * SILENCE_GAP_FACTOR,
            Delivery::Stream { .. } | Delivery::Whole => self.request.remaining(),
        }
    }
}
