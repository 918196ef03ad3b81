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
    error::Error,
    job::{Job, Reply, Trail},
    metric::{self, Stage},
    sent::Sent,
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
pub(crate) async fn run(job: &Job) -> Result<Response<Body>, Error> {
    let Ok(answer) = time::timeout(job.remaining(), attempts(job)).await else {
        return Err(Error::Timeout);
    };
    if answer.is_ok() {
        metric::observe(Stage::Answer, Moment::now().since(job.arrived));
    }
    answer
}

async fn attempts(job: &Job) -> Result<Response<Body>, Error> {
    let mut trail = Trail::default();
    let mut failure: Option<Whole> = None;
    loop {
        let sent = match job.place(&mut trail) {
            Ok(sent) => sent,
            // What a target answered says more than a refusal, and a refusal would be untrue.
            Err(_) if failure.is_some() => break,
            Err(_) if trail.runs > 0 => return Err(Error::TargetFailed),
            Err(fault) => return Err(fault),
        };
        match attempt(job, &sent, &mut trail).await {
            Attempt::Answer(whole) => return Ok(whole.response()),
            Attempt::Failure(whole) => failure = Some(whole),
            Attempt::NotRun => continue,
            Attempt::Broken => {}
        }
        if !job.may_run_again(&trail) {
            break;
        }
    }
    failure.map(Whole::response).ok_or(Error::TargetFailed)
}

async fn attempt(job: &Job, sent: &Sent, trail: &mut Trail) -> Attempt {
    let key = sent.plan.target;
    let repeatable =
        job.route().retry == Retry::Idempotent && trail.runs + 1 < job.route().max_attempts;
    let silence = (job.route().target_latency * SILENCE_FACTOR).max(MIN_SILENCE);
    let limit = if repeatable { silence.min(job.remaining()) } else { job.remaining() };
    let Ok(attempt) = time::timeout(limit, exchange(job, sent, trail)).await else {
        info!(job.gateway.log, "answer_overdue"; "id" => &job.metadata.id, "limit_ms" => ms(limit));
        sent.judge(key, Outcome::Broken);
        trail.avoid.push(key);
        trail.runs += 1;
        return Attempt::Broken;
    };
    match &attempt {
        Attempt::NotRun => {}
        Attempt::Answer(_) | Attempt::Failure(_) | Attempt::Broken => trail.runs += 1,
    }
    attempt
}

async fn exchange(job: &Job, sent: &Sent, trail: &mut Trail) -> Attempt {
    let key = sent.plan.target;
    let (response, connection) = match job.call(sent, key, trail, Step::Run, None).await {
        Reply::Head(response, connection) => (response, connection),
        Reply::NotRun => return Attempt::NotRun,
        Reply::Broken => return Attempt::Broken,
    };
    let Some(whole) = collect(job, sent, response, connection).await else {
        sent.judge(key, Outcome::Broken);
        trail.avoid.push(key);
        return Attempt::Broken;
    };
    if whole.head.status.is_server_error() {
        sent.judge(key, Outcome::Error);
        trail.avoid.push(key);
        return Attempt::Failure(whole);
    }
    sent.judge(key, Outcome::Success);
    Attempt::Answer(whole)
}

/// Takes the whole answer; nothing if it broke off or is none of a target's.
async fn collect(
    job: &Job,
    sent: &Sent,
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
    if let Some(place) = sent.place(sent.plan.target) {
        job.gateway.pool.put(place.address, connection);
    }
    Some(whole)
}
