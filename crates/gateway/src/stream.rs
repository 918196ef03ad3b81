//! Requests whose answer is a stream of events.
//!
//! Only whole events are passed on. Where the route allows it, a stream that breaks off is continued at another
//! target after the last event that the caller holds, under the head of the first answer.

use std::{sync::Arc, time::Duration};

use common::{cancel, clock::Moment};
use entry::{
    body::{Body, Cut},
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
    error::Error,
    job::{Job, Reply, Trail},
    metric::{self, Stage},
    sent::Sent,
    state::ms,
};

/// Events that may wait for a caller that reads slowly.
const QUEUED_EVENTS: usize = 32;
/// A first event or computed prompt is overdue after this many times the predicted time, and a fixed time. Sooner,
/// prompts are computed twice whenever the engines are busy.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MARGIN: Duration = Duration::from_millis(600);
/// A stream that may be resumed counts as silent after this many of its longest pauses.
const SILENCE_GAPS: u32 = 4;
/// Largest answer to a call that only computes a prompt.
const MAX_HANDLE_BYTES: usize = 4 * 1024;

type Parts = mpsc::Sender<Result<bytes::Bytes, Cut>>;

/// Where the answer goes.
enum Output {
    /// The caller waits for the head.
    Head(oneshot::Sender<Result<Response<Body>, Error>>),
    /// The caller holds the head.
    Events(Parts),
    /// The caller has gone.
    Gone,
}

/// How an attempt ended.
enum Ending {
    /// The stream ended whole.
    Complete,
    /// The target answered with something else than a stream, which was passed on.
    Answered,
    /// The target did not run the request.
    NotRun,
    /// The target may have run the request, and the stream is not whole.
    Broken,
    /// The caller has gone.
    Gone,
}

struct Driver {
    job: Arc<Job>,
    output: Output,
    trail: Trail,
    /// The last event that the caller holds.
    last: Option<u64>,
    /// When the first event was passed on, and the longest pause since.
    first: Option<Moment>,
    latest: Moment,
    longest_pause: Duration,
    events: u32,
}

/// Carries a request out; returns the head of the answer, whose body follows as it comes.
pub(crate) async fn run(job: Arc<Job>) -> Result<Response<Body>, Error> {
    let (head, answered) = oneshot::channel();
    let gone = cancel::Token::new();
    let guard = gone.clone().drop_guard();
    let last = job.metadata.resume_after;
    let driver = Driver {
        job,
        output: Output::Head(head),
        trail: Trail::default(),
        last,
        first: None,
        latest: Moment::default(),
        longest_pause: Duration::ZERO,
        events: 0,
    };
    tokio::spawn(async move { gone.run_until_cancelled(driver.run()).await });
    let response = answered.await.unwrap_or(Err(Error::TargetFailed))?;
    Ok(response.map(|body| body.guarded(guard)))
}

impl Driver {
    async fn run(mut self) {
        let job = Arc::clone(&self.job);
        let outcome = match time::timeout(job.remaining(), self.attempts()).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(Error::Timeout),
        };
        if let Some(first) = self.first {
            metric::observe(Stage::FirstEvent, first.since(job.arrived));
            metric::observe(Stage::LongestPause, self.longest_pause);
            debug!(job.gateway.log, "stream_ended"; "id" => &job.metadata.id, "route" => &job.route().name,
                "whole" => outcome.is_ok(), "first_ms" => ms(first.since(job.arrived)),
                "longest_pause_ms" => ms(self.longest_pause), "runs" => self.trail.runs + 1,
                "events" => self.events, "ms" => job.age_ms());
        }
        if let Err(fault) = outcome {
            self.fail(fault).await;
        }
    }

    async fn attempts(&mut self) -> Result<(), Error> {
        let job = Arc::clone(&self.job);
        loop {
            let mut sent = match job.place(&mut self.trail) {
                Ok(sent) => sent,
                Err(_) if self.trail.runs > 0 => return Err(Error::TargetFailed),
                Err(fault) => return Err(fault),
            };
            match self.attempt(&mut sent).await {
                Ending::Complete | Ending::Answered | Ending::Gone => return Ok(()),
                Ending::NotRun => continue,
                Ending::Broken => self.trail.runs += 1,
            }
            if !job.may_run_again(&self.trail) {
                return Err(Error::TargetFailed);
            }
            metrics::counter!("daisydrum_streams_resumed_total").increment(1);
            info!(job.gateway.log, "stream_resumed"; "id" => &job.metadata.id, "runs" => self.trail.runs,
                "last_event" => ?self.last, "ms" => job.age_ms());
        }
    }

    async fn attempt(&mut self, sent: &mut Sent) -> Ending {
        let job = Arc::clone(&self.job);
        let predicted =
            Duration::from_secs_f64((sent.plan.first_token_at_ms - job.now_ms()).max(0.0) / 1e3);
        let overdue = predicted.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN;
        let mut handle = None;
        let mut step = Step::Run;
        if let Some(key) = sent.plan.prefill {
            let unreached = self.trail.unreached;
            self.trail.prefills += 1;
            let computed = time::timeout(overdue, prefill(&job, sent, key, &mut self.trail)).await;
            let Ok(Some(source)) = computed else {
                if computed.is_err() {
                    info!(job.gateway.log, "prompt_overdue"; "id" => &job.metadata.id,
                        "limit_ms" => ms(overdue));
                    sent.judge(key, Outcome::Broken);
                }
                if self.trail.unreached > unreached {
                    self.trail.prefills -= 1;
                }
                self.trail.avoid.push(key);
                return Ending::NotRun;
            };
            sent.computed_at(key);
            if !job.choose_receiver(sent, key, &self.trail) {
                job.release(source.address, &source.handle);
                return Ending::NotRun;
            }
            step = Step::Decode { address: source.address, handle: source.handle.clone() };
            handle = Some(source);
        }
        let limit = if self.may_resume() { overdue } else { job.remaining() };
        let key = sent.plan.target;
        let called_at = Moment::now();
        let called = job.call(sent, key, &mut self.trail, step, self.last);
        let Ok(reply) = time::timeout(limit, called).await else {
            info!(job.gateway.log, "answer_overdue"; "id" => &job.metadata.id, "limit_ms" => ms(limit));
            sent.judge(key, Outcome::Broken);
            self.trail.avoid.push(key);
            return Ending::Broken;
        };
        match reply {
            Reply::Head(response, connection) => {
                if handle.is_some() {
                    metric::observe(Stage::Transfer, Moment::now().since(called_at));
                }
                let ending = self.pass_on(sent, response, limit).await;
                if matches!(ending, Ending::Complete | Ending::Answered)
                    && let Some(place) = sent.place(key)
                {
                    job.gateway.pool.put(place.address, connection);
                }
                ending
            }
            Reply::NotRun => {
                if let Some(source) = handle {
                    job.release(source.address, &source.handle);
                }
                Ending::NotRun
            }
            Reply::Broken => Ending::Broken,
        }
    }

    fn may_resume(&self) -> bool {
        let job = &self.job;
        job.route().retry == Retry::Resume && job.may_run_again_after_next(&self.trail)
    }

    async fn pass_on(
        &mut self,
        sent: &mut Sent,
        response: Response<Incoming>,
        first_limit: Duration,
    ) -> Ending {
        let key = sent.plan.target;
        let (head, mut body) = response.into_parts();
        if !head.status.is_success() || !platform::response::is_authentic(&head.headers) {
            return self.pass_on_failure(sent, head, body).await;
        }
        if let Output::Head(_) = self.output {
            let (parts, queue) = mpsc::channel(QUEUED_EVENTS);
            let mut answer = Response::new(Body::stream(queue));
            *answer.status_mut() = head.status;
            *answer.headers_mut() = platform::request::end_to_end_headers(&head.headers);
            if let Output::Head(caller) = std::mem::replace(&mut self.output, Output::Events(parts))
                && caller.send(Ok(answer)).is_err()
            {
                self.output = Output::Gone;
                return Ending::Gone;
            }
        }
        let mut splitter = Splitter::default();
        let mut limit = first_limit;
        loop {
            let Ok(frame) = time::timeout(limit, body.frame()).await else {
                break;
            };
            let bytes = match frame {
                None if splitter.is_empty() => {
                    sent.judge(key, Outcome::Success);
                    return Ending::Complete;
                }
                None | Some(Err(_)) => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if splitter.push(&bytes).is_err() {
                break;
            }
            while let Some(event) = splitter.take() {
                sent.begun();
                if !self.pass_on_event(event).await {
                    return Ending::Gone;
                }
            }
            limit = self.pause_limit();
        }
        info!(self.job.gateway.log, "stream_broke_off"; "id" => &self.job.metadata.id,
            "last_event" => ?self.last, "limit_ms" => ms(limit), "ms" => self.job.age_ms());
        sent.judge(key, Outcome::Broken);
        self.trail.avoid.push(key);
        Ending::Broken
    }

    /// Longest pause between events before the stream is continued elsewhere.
    fn pause_limit(&self) -> Duration {
        match self.job.route().delivery {
            Delivery::Stream { gap } if self.may_resume() => gap * SILENCE_GAPS,
            Delivery::Stream { .. } | Delivery::Whole => self.job.remaining(),
        }
    }

    /// Passes an event on unless the caller holds it; `false` if the caller has gone.
    async fn pass_on_event(&mut self, event: entry::event::Event) -> bool {
        let id = event.id();
        if id.is_some() && id <= self.last {
            return true;
        }
        self.last = id.or(self.last);
        self.events += 1;
        let now = Moment::now();
        if self.first.replace(self.first.unwrap_or(now)).is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.latest));
        }
        self.latest = now;
        match &self.output {
            Output::Events(parts) => parts.send(Ok(event.0)).await.is_ok(),
            Output::Head(_) | Output::Gone => false,
        }
    }

    /// Passes on a target's own failure; one that could be mistaken for a promise is replaced.
    async fn pass_on_failure(
        &mut self,
        sent: &Sent,
        head: hyper::http::response::Parts,
        body: Incoming,
    ) -> Ending {
        let key = sent.plan.target;
        sent.judge(key, Outcome::Error);
        self.trail.avoid.push(key);
        let limit = crate::whole::MAX_ANSWER_BYTES;
        let Ok(body) = Limited::new(body, limit).collect().await else {
            return Ending::Broken;
        };
        let whole = crate::whole::Whole { head, body: body.to_bytes() };
        let last_word = !self.may_resume();
        if !last_word || whole.head.status.is_success() || whole.is_promise() {
            return Ending::Broken;
        }
        match std::mem::replace(&mut self.output, Output::Gone) {
            Output::Head(caller) => {
                let _gone = caller.send(Ok(whole.response()));
                Ending::Answered
            }
            output @ (Output::Events(_) | Output::Gone) => {
                self.output = output;
                Ending::Broken
            }
        }
    }

    async fn fail(&mut self, fault: Error) {
        match std::mem::replace(&mut self.output, Output::Gone) {
            Output::Head(caller) => {
                let _gone = caller.send(Err(fault));
            }
            Output::Events(parts) => {
                metrics::counter!("daisydrum_streams_cut_total").increment(1);
                info!(self.job.gateway.log, "stream_cut"; "id" => &self.job.metadata.id,
                    "route" => &self.job.route().name, "runs" => self.trail.runs,
                    "last_event" => ?self.last, "ms" => self.job.age_ms(), "fault" => %fault);
                let _gone = parts.send(Err(Cut)).await;
            }
            Output::Gone => {}
        }
    }
}

/// A computed prompt that waits to be fetched.
struct Source {
    address: std::net::SocketAddr,
    handle: String,
}

/// Has an engine compute the prompt.
async fn prefill(
    job: &Job,
    sent: &Sent,
    key: placement::balancer::Key,
    trail: &mut Trail,
) -> Option<Source> {
    let place = sent.place(key)?;
    let reply = job.call(sent, key, trail, Step::Prefill, None).await;
    let Reply::Head(response, connection) = reply else {
        return None;
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_HANDLE_BYTES).collect().await.ok()?.to_bytes();
    if !head.status.is_success() {
        sent.judge(key, Outcome::Error);
        return None;
    }
    sent.judge(key, Outcome::Success);
    job.gateway.pool.put(place.address, connection);
    let handle = platform::engine::decode_handle(&body)?;
    Some(Source { address: place.address, handle })
}
