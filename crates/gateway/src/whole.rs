//! Requests whose response has a single body.

use std::time::Duration;

use bytes::Bytes;
use common::clock::Moment;
use entry::body::Body;
use fleet::config::Retry;
use hyper::{Response, StatusCode, body::Incoming, http::response};
use placement::health::Outcome;
use platform::request::Step;
use slog::info;
use tokio::time;

use crate::{
    buffer,
    connection::{self, Connection},
    dispatch::Dispatch,
    error::Error,
    metric::{self, Stage},
    request::{Execution, Pending, Progress},
    state::ms,
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
    /// Memory of the body, until it is forwarded.
    pub(crate) _reservation: buffer::Reservation,
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
    /// The target may have run the request and gave no usable response.
    MayHaveRun,
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
    let mut progress = Progress::default();
    let mut server_error: Option<Buffered> = None;
    loop {
        let dispatch = match request.dispatch(&mut progress) {
            Ok(dispatch) => dispatch,
            // The target's error says more than a refusal, and a refusal would claim that the request did not run.
            Err(_) if server_error.is_some() => break,
            Err(_) if progress.runs > 0 => return Err(Error::TargetFailed),
            Err(error) => return Err(error),
        };
        match attempt(request, &dispatch, &mut progress).await {
            Ending::Response(buffered) => return Ok(buffered.into_response()),
            Ending::ServerError(buffered) => server_error = Some(buffered),
            Ending::NotRun => continue,
            Ending::MayHaveRun => {}
        }
        if !request.may_retry(&progress) {
            break;
        }
    }
    server_error.map(Buffered::into_response).ok_or(Error::TargetFailed)
}

async fn attempt(request: &Pending, dispatch: &Dispatch, progress: &mut Progress) -> Ending {
    let key = dispatch.plan.target;
    let retryable = request.route().retry == Retry::Idempotent
        && progress.runs + 1 < request.route().max_attempts;
    let silence_limit =
        (request.route().target_latency * SILENCE_LATENCY_FACTOR).max(MIN_SILENCE_LIMIT);
    let limit =
        if retryable { silence_limit.min(request.remaining()) } else { request.remaining() };
    let Ok(ending) = time::timeout(limit, exchange(request, dispatch, progress)).await else {
        info!(request.gateway.log, "answer_overdue"; "id" => &request.metadata.id,
            "limit_ms" => ms(limit));
        dispatch.record_outcome(key, Outcome::Broken);
        progress.avoid.push(key);
        progress.runs += 1;
        return Ending::MayHaveRun;
    };
    match &ending {
        Ending::NotRun => {}
        Ending::Response(_) | Ending::ServerError(_) | Ending::MayHaveRun => progress.runs += 1,
    }
    ending
}

async fn exchange(request: &Pending, dispatch: &Dispatch, progress: &mut Progress) -> Ending {
    let key = dispatch.plan.target;
    let (response, connection) = match request.send(dispatch, key, progress, Step::Run, None).await
    {
        Execution::Responded(response, connection) => (response, connection),
        Execution::NotRun => return Ending::NotRun,
        Execution::MayHaveRun | Execution::Disconnected => return Ending::MayHaveRun,
    };
    let Some(buffered) = collect(request, dispatch, response, connection).await else {
        dispatch.record_outcome(key, Outcome::Broken);
        progress.avoid.push(key);
        return Ending::MayHaveRun;
    };
    if buffered.head.status.is_server_error() {
        dispatch.record_outcome(key, Outcome::Error);
        progress.avoid.push(key);
        return Ending::ServerError(buffered);
    }
    dispatch.record_outcome(key, Outcome::Success);
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
    let mut reservation = request.gateway.buffers.reservation();
    let body = match reservation.read(body, MAX_BUFFERED_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            info!(request.gateway.log, "response_not_read"; "id" => &request.metadata.id,
                "target" => dispatch.target_name(dispatch.plan.target), "fault" => %error);
            return None;
        }
    };
    let buffered = Buffered { head, body, _reservation: reservation };
    let authentic = platform::response::is_authentic(&buffered.head.headers);
    if buffered.reads_as_not_run() || (buffered.head.status.is_success() && !authentic) {
        return None;
    }
    if unframed {
        return dispatch.is_listening().await.then_some(buffered);
    }
    if let Some(destination) = dispatch.destination(dispatch.plan.target) {
        request.gateway.pool.put(destination.address, connection);
    }
    Some(buffered)
}
