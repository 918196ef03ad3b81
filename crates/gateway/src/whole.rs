//! Requests whose response has a single body.

use std::{
    future::{self, Future},
    pin::Pin,
    sync::Arc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use common::clock::Moment;
use entry::body::Body;
use fleet::config::Retry;
use hyper::{Response, StatusCode, body::Incoming, http::response};
use memory::{budget::Reservation, ledger::Class};
use placement::{
    balancer::Key,
    health::Outcome,
    hedge::{self, Another, Decision, Race},
};
use platform::request::Step;
use slog::info;
use tokio::time;

use crate::{
    buffer,
    connection::{self, Connection},
    dispatch::Dispatch,
    error::Error,
    metric::{self, Stage},
    relay::Assignment,
    request::{Awaited, Execution, Hop, Passed, Pending},
};

/// Limit of a response that is buffered until it is complete, in bytes.
pub(crate) const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// An idempotent request is sent to another target after this many times its target latency without a response.
const SILENCE_LATENCY_FACTOR: u32 = 3;
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(250);

/// A target's response that was read completely.
pub(crate) struct Buffered {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    /// Memory of the body, until it is handed over to the caller's connection.
    pub(crate) reservation: Reservation,
}

impl Buffered {
    /// Whether the status would tell callers that the request did not run, although the target did not state that.
    pub(crate) fn reads_as_not_run(&self) -> bool {
        matches!(
            self.head.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }

    /// The response to the caller, with the end-to-end headers.
    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::whole(self.body));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = platform::request::end_to_end_headers(&self.head.headers);
        // The extensions are dropped once the head is written.
        response.extensions_mut().insert(Arc::new(self.reservation));
        response
    }
}

/// How an attempt ended.
enum Ending {
    /// The target responded; this is forwarded.
    Response(Buffered),
    /// The target responded with a server error (5xx).
    ServerError(Buffered),
    /// The target did not run the request.
    NotRun,
    /// The request was not sent, since other runs have used up its attempts.
    Unclaimed,
    /// The target may have run the request and gave no usable response.
    MayHaveRun,
}

/// A live run.
struct Live<F> {
    run: hedge::Run,
    /// The target, unless a peer selects it.
    target: Option<Key>,
    attempt: Pin<Box<F>>,
}

async fn consulted_hop(request: &Pending) -> Result<Hop, Error> {
    request.consult().await;
    request.hop()
}

/// Serves a request and returns its response.
pub(crate) async fn run(request: &Pending) -> Result<Response<Body>, Error> {
    let Ok(result) = time::timeout(request.remaining(), run_attempts(request)).await else {
        return Err(Error::Timeout);
    };
    if result.is_ok() {
        metric::observe(Stage::Answer, Moment::now().since(request.arrived));
    }
    result
}

async fn run_attempts(request: &Pending) -> Result<Response<Body>, Error> {
    let mut race = Race::default();
    let mut runs = Vec::new();
    let mut server_error: Option<Buffered> = None;
    let mut decision = Decision::Start;
    loop {
        let failure = match decision {
            Decision::Start => match consulted_hop(request).await {
                Ok(hop) => {
                    let run = race.start(silence_limit(request), Moment::now());
                    let target = hop.target();
                    runs.push(Live { run, target, attempt: Box::pin(attempt(request, hop)) });
                    None
                }
                Err(error) => (race.after_refusal() == Decision::Fail).then_some(error),
            },
            Decision::Wait => None,
            Decision::Fail => Some(Error::TargetFailed),
        };
        if let Some(error) = failure {
            // The target's error says more than a refusal, and a refusal would claim that the request did not run.
            let ran = request.progress().runs > 0;
            let error = if ran { Error::TargetFailed } else { error };
            return server_error.map(Buffered::into_response).ok_or(error);
        }
        let until_check =
            race.next_check().map_or(request.remaining(), |check| check.since(Moment::now()));
        decision = tokio::select! {
            (run, ending) = next_ending(&mut runs) => {
                match ending {
                    Ending::Response(buffered) => return Ok(buffered.into_response()),
                    Ending::ServerError(buffered) => {
                        server_error = Some(buffered);
                        request.progress().end_run();
                        race.after_end(run, request.another())
                    }
                    Ending::MayHaveRun => {
                        request.progress().end_run();
                        race.after_end(run, request.another())
                    }
                    Ending::Unclaimed => {
                        request.progress().end_run();
                        race.after_end(run, Another::Denied)
                    }
                    Ending::NotRun => {
                        request.progress().end_run();
                        let alone = race.live() == 1;
                        race.after_end(run, if alone { Another::Allowed } else { request.another() })
                    }
                }
            }
            () = time::sleep(until_check) => {
                for run in race.check(Moment::now()) {
                    let live = runs.iter().find(|live| live.run == run);
                    if let Some(target) = live.and_then(|live| live.target) {
                        request.record_silent(target, Awaited::Answer);
                    }
                }
                race.after_silence(request.another())
            }
        };
    }
}

/// Time without a response after which another target is tried.
fn silence_limit(request: &Pending) -> Duration {
    let route = request.route();
    if route.retry != Retry::Idempotent || !request.has_attempts_left() {
        return request.remaining();
    }
    (route.target_latency * SILENCE_LATENCY_FACTOR).max(MIN_SILENCE_LIMIT).min(request.remaining())
}

/// Waits until one of the runs has ended, and removes it.
async fn next_ending<F: Future<Output = Ending>>(runs: &mut Vec<Live<F>>) -> (hedge::Run, Ending) {
    let (index, ending) = future::poll_fn(|context| {
        for (index, live) in runs.iter_mut().enumerate() {
            if let Poll::Ready(ending) = live.attempt.as_mut().poll(context) {
                return Poll::Ready((index, ending));
            }
        }
        Poll::Pending
    })
    .await;
    (runs.swap_remove(index).run, ending)
}

/// Owns the dispatch, so that it counts at its target until the run ends or is dropped.
async fn attempt(request: &Pending, hop: Hop) -> Ending {
    match hop {
        Hop::Target(dispatch) => exchange(request, &dispatch).await,
        Hop::Peer(mut assignment) => relay(request, &mut assignment).await,
    }
}

async fn relay(request: &Pending, assignment: &mut Assignment) -> Ending {
    let Some(claim) = request.claim().await else {
        return Ending::Unclaimed;
    };
    let answer = match request.pass_on(assignment, None).await {
        Passed::Answered(answer) => answer,
        Passed::Refused(answer) => {
            claim.withdraw();
            answer
        }
        Passed::NotRun => {
            claim.withdraw();
            return Ending::NotRun;
        }
        Passed::MayHaveRun => return Ending::MayHaveRun,
    };
    let reservation = request.gateway.memory.reservation(Class::Responses);
    match answer.read(reservation, MAX_BUFFERED_BYTES).await {
        Ok(buffered) => Ending::Response(buffered),
        Err(error) => {
            info!(request.gateway.log, "response_not_read"; "id" => &request.metadata.id,
                "peer" => %assignment.peer, "fault" => %error);
            Ending::MayHaveRun
        }
    }
}

async fn exchange(request: &Pending, dispatch: &Dispatch) -> Ending {
    let key = dispatch.plan.target;
    let Some(claim) = request.claim().await else {
        return Ending::Unclaimed;
    };
    let (response, connection) = match request.send(dispatch, key, Step::Run, None).await {
        Execution::Responded(response, connection) => (response, connection),
        Execution::NotRun => {
            claim.withdraw();
            return Ending::NotRun;
        }
        Execution::MayHaveRun => return Ending::MayHaveRun,
        Execution::Disconnected => {
            dispatch.examine_loss().await;
            return Ending::MayHaveRun;
        }
    };
    let Some(buffered) = collect(request, dispatch, response, connection).await else {
        dispatch.record_outcome(key, Outcome::Broken);
        request.progress().avoid.push(key);
        return Ending::MayHaveRun;
    };
    if buffered.head.status.is_server_error() {
        dispatch.record_outcome(key, Outcome::Error);
        request.progress().avoid.push(key);
        return Ending::ServerError(buffered);
    }
    dispatch.record_outcome(key, Outcome::Success);
    if buffered.head.status.is_success() {
        dispatch.record_request_success();
    }
    Ending::Response(buffered)
}

/// Reads a response completely; nothing if it ended early, is too large or can't be attributed to a target.
async fn collect(
    request: &Pending,
    dispatch: &Dispatch,
    response: Response<Incoming>,
    connection: Connection,
) -> Option<Buffered> {
    let unframed = connection::is_unframed(&response);
    let (head, body) = response.into_parts();
    let mut reservation = request.gateway.memory.reservation(Class::Responses);
    let body = match buffer::read(&mut reservation, body, MAX_BUFFERED_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            info!(request.gateway.log, "response_not_read"; "id" => &request.metadata.id,
                "digest" => %request.content.whole,
                "target" => dispatch.target_name(dispatch.plan.target), "fault" => %error);
            dispatch.examine_loss().await;
            return None;
        }
    };
    let buffered = Buffered { head, body, reservation };
    let authentic = platform::response::is_authentic(&buffered.head.headers);
    if buffered.reads_as_not_run() || (buffered.head.status.is_success() && !authentic) {
        return None;
    }
    if unframed {
        if dispatch.is_listening(request.listening_limit()).await {
            return Some(buffered);
        }
        dispatch.examine_loss().await;
        return None;
    }
    if let Some(destination) = dispatch.destination(dispatch.plan.target) {
        request.gateway.pool.put(destination.address, connection);
    }
    Some(buffered)
}
