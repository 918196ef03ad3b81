//! Drives one call from its admission to the end of its response.

use std::{sync::Arc, time::Duration};

use common::{cancel, clock::Moment};
use route::request::{Dispatch, Event, Execution};
use slog::{Logger, info};
use telemetry::span;
use tokio::{sync::mpsc, time};
use wire::outcome;

use crate::{
    call::Call,
    exchange::{Ending, Exchange},
    offered,
    output::Output,
    progress::Progress,
    protocol::{self, Protocol},
    response,
    router::{self, Update},
};

/// Interval of the comments that are sent in an open stream while no attempt runs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a call continues after an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    End,
}

/// An admitted call with all that it needs until the end of its response.
pub(crate) struct Driver<P> {
    pub(crate) protocol: P,
    pub(crate) router: router::Handle,
    pub(crate) offered: offered::Meter,
    pub(crate) spans: span::Exporter,
    pub(crate) log: Logger,
    pub(crate) call: Arc<Call>,
    pub(crate) admission: router::Admission,
    /// Cancelled when the caller has disconnected.
    pub(crate) gone: cancel::Token,
    pub(crate) output: Output,
    pub(crate) progress: Progress,
    pub(crate) attempts: u32,
}

impl<P: Protocol> Driver<P> {
    /// Runs the call until its response has ended.
    pub(crate) async fn run(mut self, span: span::Span) {
        let arrived = Moment::now();
        while self.step().await == Flow::Continue {}
        let owner = &self.call.binding.service.owner;
        self.offered.record_completion(owner, self.progress.delivered);
        info!(self.log, "request"; "partner" => %owner.partner, "service" => %owner.service,
            "attempts" => self.attempts, "tokens" => self.progress.delivered,
            "ms" => u64::try_from(Moment::now().since(arrived).as_millis()).unwrap_or(u64::MAX),
            "trace" => format!("{:032x}", self.call.span.trace));
        self.spans.end(span);
    }

    /// Waits for the router's next update and carries it out.
    async fn step(&mut self) -> Flow {
        let update = tokio::select! {
            biased;
            () = self.gone.cancelled() => return self.abandon().await,
            () = time::sleep(self.remaining()) => return self.expire().await,
            () = time::sleep(HEARTBEAT_INTERVAL), if self.output.has_begun() => {
                self.output.send_heartbeat();
                return Flow::Continue;
            }
            update = self.admission.updates.recv() => update,
        };
        match update {
            Some(Update::Dispatch(dispatch)) => self.attempt(&dispatch).await,
            Some(Update::Preempt(_)) => Flow::Continue,
            Some(Update::Refuse(refusal)) => self.fail(response::Error::Refused { refusal }).await,
            Some(Update::Fail(Execution::MayHaveRun)) => {
                let problem = String::from("every attempt failed");
                self.fail(response::Error::TargetFailed { problem }).await
            }
            Some(Update::Fail(Execution::NotRun)) | None => {
                self.fail(response::Error::unavailable()).await
            }
        }
    }

    /// Runs an attempt and reports its end to the router.
    async fn attempt(&mut self, dispatch: &Dispatch) -> Flow {
        self.attempts += 1;
        let mut span = span::Span::start("attempt", Some(self.call.span));
        span.set("target", &dispatch.target);
        span.set("attempt", &dispatch.attempt);
        let ending = self.exchange(dispatch, span.context).await;
        span.set("ending", &format!("{ending:?}"));
        self.spans.end(span);
        match ending {
            Some(Ending::Event(event)) => {
                if event == Event::Finished {
                    self.progress.record(&self.call.binding.service.owner);
                }
                self.report(dispatch, event).await
            }
            Some(Ending::Gone) => self.abandon().await,
            Some(Ending::Cut) => self.report(dispatch, Event::Finished).await,
            None if self.gone.is_cancelled() => self.abandon().await,
            None if self.remaining().is_zero() => self.expire().await,
            None => Flow::Continue,
        }
    }

    /// Runs an attempt; `None` if the caller disconnects, the deadline passes or the router preempts the attempt first.
    async fn exchange(&mut self, dispatch: &Dispatch, context: span::Context) -> Option<Ending> {
        let remaining = self.remaining();
        let attempt = protocol::Attempt {
            span: context,
            model: dispatch.model.clone(),
            delivered: self.progress.delivered,
            kv_handle: None,
            relay: dispatch.relay,
        };
        let exchange = Exchange {
            protocol: &self.protocol,
            router: &self.router,
            call: &self.call,
            dispatch,
            attempt,
            output: &mut self.output,
            progress: &mut self.progress,
        };
        tokio::select! {
            biased;
            ending = exchange.run() => Some(ending),
            () = self.gone.cancelled() => None,
            () = time::sleep(remaining) => None,
            () = preempted(&mut self.admission.updates, dispatch.attempt) => None,
        }
    }

    async fn report(&mut self, dispatch: &Dispatch, event: Event) -> Flow {
        metrics::counter!("daisydrum_attempts_total", "event" => label(event)).increment(1);
        let report = router::Report { ticket: dispatch.ticket, attempt: dispatch.attempt, event };
        self.router.report(report).await;
        if event == Event::Finished { Flow::End } else { Flow::Continue }
    }

    async fn fail(&mut self, error: response::Error) -> Flow {
        self.output.fail(error).await;
        Flow::End
    }

    /// Ends a call whose caller has disconnected.
    async fn abandon(&mut self) -> Flow {
        metrics::counter!("daisydrum_callers_gone_total").increment(1);
        self.router.cancel(self.admission.ticket).await;
        Flow::End
    }

    /// Ends a call whose deadline has passed.
    async fn expire(&mut self) -> Flow {
        self.router.cancel(self.admission.ticket).await;
        let execution = if self.attempts == 0 {
            outcome::Execution::NotRun
        } else {
            outcome::Execution::MayHaveRun
        };
        self.fail(response::Error::DeadlineExceeded { execution }).await
    }

    fn remaining(&self) -> Duration {
        self.call.deadline.since(Moment::now())
    }
}

/// Waits until the router preempts an attempt.
async fn preempted(updates: &mut mpsc::Receiver<Update>, attempt: u32) {
    loop {
        match updates.recv().await {
            Some(Update::Preempt(number)) if number == attempt => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

/// Label of an event in metrics.
fn label(event: Event) -> &'static str {
    match event {
        Event::Started => "started",
        Event::Finished => "finished",
        Event::Full => "full",
        Event::Unavailable => "unavailable",
        Event::Unsent => "unsent",
        Event::Broken => "broken",
    }
}
