//! Requests whose answer is one body.

use std::time::Duration;

use bytes::Bytes;
use common::clock::Moment;
use entry::body::Body;
use fleet::config::Retry;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode, body::Incoming, http::response};
use placement::health::Outcome;
use platform::request::Step;
use slog::info;
use tokio::time;

use crate::{
    connection::Connection,
    dispatch::Dispatch,
    error::Error,
    metric::{self, Stage},
    request::{Execution, Pending, Progress},
    state::ms,
};

/// Largest answer that is held until it is whole, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// An idempotent request is sent elsewhere after this many times its target time without an answer.
const SILENCE_FACTOR: u32 = 3;
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// An answer of a target, whole.
pub(crate) struct Whole {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
}

impl Whole {
    /// Whether callers would take the answer for a promise that the request did not run, which it isn't.
    pub(crate) fn is_promise(&self) -> bool {
        matches!(
            self.head.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }

    /// The answer as it is passed on.
    pub(crate) fn response(self) -> Response<Body> {
        let mut response = Response::new(Body::whole(self.body));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = platform::request::end_to_end_headers(&self.head.headers);
        response
    }
}

/// What one attempt gave.
enum Attempt {
    /// A whole answer that is passed on.
    Answer(Whole),
    /// A whole answer that says that the target failed.
    Failure(Whole),
    /// The target did not run the request.
    NotRun,
    /// The target may have run the request.
    Broken,
}

/// Carries a request out and returns the answer.
pub(crate) async fn run(request: &Pending) -> Result<Response<Body>, Error> {
    let Ok(answer) = time::timeout(request.remaining(), attempts(request)).await else {
        return Err(Error::Timeout);
    };
    if answer.is_ok() {
        metric::observe(Stage::Answer, Moment::now().since(request.arrived));
    }
    answer
}

async fn attempts(request: &Pending) -> Result<Response<Body>, Error> {
    let mut progress = Progress::default();
    let mut failure: Option<Whole> = None;
    loop {
        let dispatch = match request.dispatch(&mut progress) {
            Ok(dispatch) => dispatch,
            // What a target answered says more than a refusal, and a refusal would be untrue.
            Err(_) if failure.is_some() => break,
            Err(_) if progress.runs > 0 => return Err(Error::TargetFailed),
            Err(fault) => return Err(fault),
        };
        match attempt(request, &dispatch, &mut progress).await {
            Attempt::Answer(whole) => return Ok(whole.response()),
            Attempt::Failure(whole) => failure = Some(whole),
            Attempt::NotRun => continue,
            Attempt::Broken => {}
        }
        if !request.may_retry(&progress) {
            break;
        }
    }
    failure.map(Whole::response).ok_or(Error::TargetFailed)
}

async fn attempt(request: &Pending, dispatch: &Dispatch, progress: &mut Progress) -> Attempt {
    let key = dispatch.plan.target;
    let repeatable = request.route().retry == Retry::Idempotent
        && progress.runs + 1 < request.route().max_attempts;
    let silence = (request.route().target_latency * SILENCE_FACTOR).max(MIN_SILENCE);
    let limit = if repeatable { silence.min(request.remaining()) } else { request.remaining() };
    let Ok(attempt) = time::timeout(limit, exchange(request, dispatch, progress)).await else {
        info!(request.gateway.log, "answer_overdue"; "id" => &request.metadata.id,
            "limit_ms" => ms(limit));
        dispatch.record_outcome(key, Outcome::Broken);
        progress.avoid.push(key);
        progress.runs += 1;
        return Attempt::Broken;
    };
    match &attempt {
        Attempt::NotRun => {}
        Attempt::Answer(_) | Attempt::Failure(_) | Attempt::Broken => progress.runs += 1,
    }
    attempt
}

async fn exchange(request: &Pending, dispatch: &Dispatch, progress: &mut Progress) -> Attempt {
    let key = dispatch.plan.target;
    let (response, connection) = match request.send(dispatch, key, progress, Step::Run, None).await
    {
        Execution::Responded(response, connection) => (response, connection),
        Execution::NotRun => return Attempt::NotRun,
        Execution::MayHaveRun => return Attempt::Broken,
    };
    let Some(whole) = collect(request, dispatch, response, connection).await else {
        dispatch.record_outcome(key, Outcome::Broken);
        progress.avoid.push(key);
        return Attempt::Broken;
    };
    if whole.head.status.is_server_error() {
        dispatch.record_outcome(key, Outcome::Error);
        progress.avoid.push(key);
        return Attempt::Failure(whole);
    }
    dispatch.record_outcome(key, Outcome::Success);
    Attempt::Answer(whole)
}

/// Takes the whole answer; nothing if it broke off or is none of a target's.
async fn collect(
    request: &Pending,
    dispatch: &Dispatch,
    response: Response<Incoming>,
    connection: Connection,
) -> Option<Whole> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?.to_bytes();
    let whole = Whole { head, body };
    let sound = platform::response::is_authentic(&whole.head.headers);
    if whole.is_promise() || (whole.head.status.is_success() && !sound) {
        return None;
    }
    if let Some(destination) = dispatch.destination(dispatch.plan.target) {
        request.gateway.pool.put(destination.address, connection);
    }
    Some(whole)
}
