//! Drives one call from its admission to the end of its response.

use std::{
    collections::VecDeque,
    future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use common::{cancel, clock::Moment};
use hyper::{Response, http};
use route::request::{Dispatch, Event, Execution, Ticket};
use slog::{Logger, info};
use telemetry::span;
use tokio::{
    sync::mpsc,
    time::{self, Instant, Sleep},
};
use wire::outcome;

use crate::{
    body::Body,
    call::Call,
    event::{self, Kind},
    exchange::{Exchange, Step},
    offered,
    output::Output,
    progress::Progress,
    protocol::Protocol,
    race::Race,
    response,
    router::{self, Update},
};

/// Interval of the comments that are sent in an open stream while no part of it arrives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a call continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    End,
}

/// What a driver waits for besides its attempts.
#[derive(Debug)]
struct Signals {
    updates: mpsc::Receiver<Update>,
    /// Updates that arrived while a step was carried out.
    deferred: VecDeque<Update>,
    deadline: Pin<Box<Sleep>>,
    heartbeat: Pin<Box<Sleep>>,
}

impl Signals {
    /// Waits until the deadline has passed or the router preempts an attempt.
    async fn interrupt(&mut self, attempt: u32) -> Interruption {
        loop {
            let update = tokio::select! {
                biased;
                () = self.deadline.as_mut() => return Interruption::Deadline,
                update = self.updates.recv(), if !self.updates.is_closed() => update,
            };
            match update {
                Some(Update::Preempt(number)) if number == attempt => {
                    return Interruption::Preemption;
                }
                Some(update) => self.deferred.push_back(update),
                None => {}
            }
        }
    }
}

/// Why a step is not carried out to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    Deadline,
    Preemption,
}

/// What happened.
#[derive(Debug)]
enum Next {
    Update(Option<Update>),
    /// A step of the attempt with this number.
    Step(u32, Step),
    Heartbeat,
    CallerGone,
    Deadline,
}

/// An admitted call with all that it needs until the end of its response.
pub(crate) struct Driver<P> {
    pub(crate) protocol: P,
    pub(crate) router: router::Handle,
    pub(crate) offered: offered::Meter,
    pub(crate) spans: span::Exporter,
    pub(crate) log: Logger,
    pub(crate) call: Arc<Call>,
    pub(crate) ticket: Ticket,
    /// The attempts that run.
    pub(crate) race: Race<Exchange<P>>,
    /// Cancelled when the caller has disconnected.
    pub(crate) gone: cancel::Token,
    pub(crate) output: Output,
    pub(crate) progress: Progress,
    pub(crate) attempts: u32,
}

impl<P: Protocol> Driver<P> {
    /// Runs the call until its response has ended; `updates` are the router's decisions on it.
    pub(crate) async fn run(mut self, updates: mpsc::Receiver<Update>, span: span::Span) {
        let arrived = Moment::now();
        let mut signals = Signals {
            updates,
            deferred: VecDeque::new(),
            deadline: Box::pin(time::sleep(self.call.deadline.since(arrived))),
            heartbeat: Box::pin(time::sleep(HEARTBEAT_INTERVAL)),
        };
        while self.step(&mut signals).await == Flow::Continue {}
        self.cancel_attempts();
        let owner = &self.call.binding.service.owner;
        self.offered.record_completion(owner, self.progress.delivered);
        info!(self.log, "request"; "partner" => %owner.partner, "service" => %owner.service,
            "attempts" => self.attempts, "tokens" => self.progress.delivered,
            "ms" => u64::try_from(Moment::now().since(arrived).as_millis()).unwrap_or(u64::MAX),
            "trace" => self.trace());
        self.spans.end(span);
    }

    /// Waits until something happens and handles it.
    async fn step(&mut self, signals: &mut Signals) -> Flow {
        match self.next(signals).await {
            Next::Update(update) => self.handle_update(update).await,
            Next::Step(number, step) => {
                // A caller that reads slowly delays neither the deadline nor a preemption.
                let interruption = tokio::select! {
                    biased;
                    flow = self.handle_step(number, step) => return flow,
                    interruption = signals.interrupt(number) => interruption,
                };
                match interruption {
                    Interruption::Deadline => self.expire().await,
                    Interruption::Preemption => {
                        self.preempt(number);
                        Flow::Continue
                    }
                }
            }
            Next::Heartbeat => {
                signals.heartbeat.as_mut().reset(self.send_heartbeat());
                Flow::Continue
            }
            Next::CallerGone => self.abandon().await,
            Next::Deadline => self.expire().await,
        }
    }

    async fn next(&mut self, signals: &mut Signals) -> Next {
        if let Some(update) = signals.deferred.pop_front() {
            return Next::Update(Some(update));
        }
        // Once the router has ended, only the running attempts matter.
        let awaits_update = !signals.updates.is_closed() || self.race.is_empty();
        tokio::select! {
            biased;
            () = self.gone.cancelled() => Next::CallerGone,
            update = signals.updates.recv(), if awaits_update => Next::Update(update),
            () = signals.deadline.as_mut() => Next::Deadline,
            (number, step) = future::poll_fn(|context| poll_race(&mut self.race, context)) => {
                Next::Step(number, step)
            }
            () = signals.heartbeat.as_mut() => Next::Heartbeat,
        }
    }

    async fn handle_update(&mut self, update: Option<Update>) -> Flow {
        match update {
            Some(Update::Dispatch(dispatch)) => {
                self.start_attempt(*dispatch);
                Flow::Continue
            }
            Some(Update::Preempt(number)) => {
                self.preempt(number);
                Flow::Continue
            }
            Some(Update::Refuse(refusal)) => self.fail(response::Error::Refused { refusal }).await,
            Some(Update::Fail(Execution::MayHaveRun)) => {
                let problem = String::from("every attempt failed");
                self.fail(response::Error::TargetFailed { problem }).await
            }
            None if !self.race.is_empty() => Flow::Continue,
            Some(Update::Fail(Execution::NotRun)) | None => {
                self.fail(response::Error::unavailable()).await
            }
        }
    }

    /// Starts an attempt, unless a silent one has made progress since the router dispatched this one; the router then
    /// gets to know that.
    fn start_attempt(&mut self, dispatch: Dispatch) {
        if !self.race.admits_another() {
            return;
        }
        self.attempts += 1;
        let (protocol, call) = (self.protocol.clone(), Arc::clone(&self.call));
        let number = dispatch.attempt;
        let exchange = Exchange::start(protocol, call, dispatch, self.progress.delivered);
        self.race.add(number, exchange);
    }

    /// Carries out a step of an attempt.
    async fn handle_step(&mut self, number: u32, step: Step) -> Flow {
        match step {
            Step::Event(event) => self.forward_event(number, event).await,
            Step::Whole(_) if self.output.has_begun() => {
                self.end_attempt(number, Event::Broken).await
            }
            Step::Whole(response) => self.forward_whole(number, response).await,
            Step::Head(_) if self.output.has_begun() => {
                self.end_attempt(number, Event::Broken).await
            }
            Step::Head(head) => self.begin(number, head).await,
            Step::Part(part) => self.send_part(number, part).await,
            Step::End => self.finish(number).await,
            Step::Cut => {
                self.output.truncate();
                self.end_attempt(number, Event::Finished).await
            }
            Step::Oversized => {
                self.output.fail(response::Error::ResponseTooLarge).await;
                self.end_attempt(number, Event::Finished).await
            }
            Step::Silent => self.suspend(number).await,
            Step::Failed(event) => self.end_attempt(number, event).await,
        }
    }

    /// Forwards an event of a stream of tokens.
    async fn forward_event(&mut self, number: u32, event: event::Event) -> Flow {
        let kind = event.kind();
        if kind != Kind::Other {
            self.prefer(number, kind).await;
        }
        let Some(exchange) = self.race.get_mut(number) else {
            return Flow::Continue;
        };
        if kind != Kind::Other
            && !self.output.has_begun()
            && let Some(head) = exchange.head.clone()
        {
            self.output.begin(head);
        }
        if self.output.has_begun() && self.output.send_part(event.0).await.is_err() {
            return self.abandon().await;
        }
        exchange.touch();
        match kind {
            Kind::Token => self.progress.count_token(),
            Kind::Done => return self.finish(number).await,
            Kind::Other => {}
        }
        Flow::Continue
    }

    async fn forward_whole(&mut self, number: u32, response: Response<Body>) -> Flow {
        self.prefer(number, Kind::Done).await;
        self.output.send_whole(response);
        self.finish(number).await
    }

    /// Sends the head of a response that is forwarded as it arrives.
    async fn begin(&mut self, number: u32, head: http::response::Parts) -> Flow {
        self.prefer(number, Kind::Token).await;
        self.output.begin(head);
        Flow::Continue
    }

    async fn send_part(&mut self, number: u32, part: Bytes) -> Flow {
        if self.output.send_part(part).await.is_err() {
            return self.abandon().await;
        }
        if let Some(exchange) = self.race.get_mut(number) {
            exchange.touch();
        }
        Flow::Continue
    }

    /// Lets an attempt that brings the next part go on as the only one, and reports its first token or, after a
    /// silence, that it goes on. The end of the response is reported apart.
    async fn prefer(&mut self, number: u32, kind: Kind) {
        let Some(progress) = self.race.prefer(number) else {
            return;
        };
        for cancelled in progress.cancelled {
            self.end_span(cancelled, "cancelled");
        }
        if progress.resumed {
            self.log_attempt(number, "attempt_resumed");
        }
        let Some(exchange) = self.race.get_mut(number) else {
            return;
        };
        let is_first = self.progress.delivered == exchange.attempt.delivered;
        match kind {
            Kind::Token if is_first => self.report(number, Event::Started).await,
            Kind::Token if progress.resumed => self.report(number, Event::Resumed).await,
            Kind::Token | Kind::Done | Kind::Other => {}
        }
    }

    /// Keeps an attempt whose target is silent, while the router may start another.
    async fn suspend(&mut self, number: u32) -> Flow {
        if self.race.suspend(number) {
            self.log_attempt(number, "attempt_silent");
            self.report(number, Event::Silent).await;
        }
        Flow::Continue
    }

    /// Ends an attempt that the router has preempted; another follows later.
    fn preempt(&mut self, number: u32) {
        if let Some(exchange) = self.race.remove(number) {
            self.end_span(exchange, "preempted");
        }
    }

    /// Ends the call after a complete response.
    async fn finish(&mut self, number: u32) -> Flow {
        self.output.finish();
        self.progress.record(&self.call.binding.service.owner);
        self.end_attempt(number, Event::Finished).await
    }

    /// Ends an attempt and reports how it ended to the router, which decides what follows.
    async fn end_attempt(&mut self, number: u32, event: Event) -> Flow {
        if let Some(exchange) = self.race.remove(number) {
            self.end_span(exchange, label(event));
        }
        self.report(number, event).await;
        if event == Event::Finished { Flow::End } else { Flow::Continue }
    }

    async fn report(&mut self, attempt: u32, event: Event) {
        metrics::counter!("daisydrum_attempts_total", "event" => label(event)).increment(1);
        let ticket = self.ticket;
        self.router.report(router::Report { ticket, attempt, event }).await;
    }

    async fn fail(&mut self, error: response::Error) -> Flow {
        self.output.fail(error).await;
        Flow::End
    }

    /// Ends a call whose caller has disconnected.
    async fn abandon(&mut self) -> Flow {
        metrics::counter!("daisydrum_callers_gone_total").increment(1);
        self.router.cancel(self.ticket).await;
        Flow::End
    }

    /// Ends a call whose deadline has passed.
    async fn expire(&mut self) -> Flow {
        self.router.cancel(self.ticket).await;
        let execution = if self.attempts == 0 {
            outcome::Execution::NotRun
        } else {
            outcome::Execution::MayHaveRun
        };
        self.fail(response::Error::DeadlineExceeded { execution }).await
    }

    /// Sends a comment if nothing was sent for the interval; returns when to check again.
    fn send_heartbeat(&self) -> Instant {
        let (now, due) = (Instant::now(), self.progress.last_token() + HEARTBEAT_INTERVAL);
        if now < due {
            return due;
        }
        if self.output.has_begun() {
            self.output.send_heartbeat();
        }
        now + HEARTBEAT_INTERVAL
    }

    /// Cancels the attempts that still run.
    fn cancel_attempts(&mut self) {
        for exchange in std::mem::take(&mut self.race).into_runs() {
            self.end_span(exchange, "cancelled");
        }
    }

    fn end_span(&self, exchange: Exchange<P>, ending: &str) {
        let mut span = exchange.span;
        span.set("ending", &ending);
        self.spans.end(span);
    }

    fn log_attempt(&mut self, number: u32, event: &'static str) {
        let trace = self.trace();
        if let Some(exchange) = self.race.get_mut(number) {
            info!(self.log, "{}", event; "target" => %exchange.dispatch.target, "attempt" => number,
                "tokens" => self.progress.delivered, "trace" => trace);
        }
    }

    fn trace(&self) -> String {
        format!("{:032x}", self.call.span.trace)
    }
}

/// Polls the attempts of a call for the next step of one of them.
fn poll_race<P: Protocol>(
    race: &mut Race<Exchange<P>>,
    context: &mut Context<'_>,
) -> Poll<(u32, Step)> {
    for (number, exchange) in race.iter_mut() {
        if let Poll::Ready(step) = exchange.poll_step(context) {
            return Poll::Ready((number, step));
        }
    }
    Poll::Pending
}

/// Label of an event in metrics.
fn label(event: Event) -> &'static str {
    match event {
        Event::Started => "started",
        Event::Silent => "silent",
        Event::Resumed => "resumed",
        Event::Finished => "finished",
        Event::Full => "full",
        Event::Unavailable => "unavailable",
        Event::Unsent => "unsent",
        Event::Broken => "broken",
    }
}
