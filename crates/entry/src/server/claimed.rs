//! Calls that must run at most once: claimed in the partner's log before they are sent, with their response stored for
//! resends.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{cancel, clock::Moment};
use control::claim;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, header::HeaderName, header::HeaderValue};
use sha2::{Digest, Sha256};
use slog::warn;
use telemetry::span;
use tokio::time;
use wire::outcome;

use super::Server;
use crate::{
    body::Body,
    call::Call,
    claim::{Error, Settlement, Store},
    protocol::Protocol,
    response,
};

/// Header with the caller's idempotency key for a call that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header of a response that was stored when the call ran earlier.
pub const REPLAYED_HEADER: &str = "x-daisydrum-replayed";
/// Value of [`outcome::HEADER`] if the call ran; the response of another instance may have another value.
const RAN: &str = "ran";
/// Longest time for claiming a call, all tries together.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time for one try, so that a dead connection costs one try and not the whole time.
const CLAIM_TRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a try that the log did not accept.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for one try to record the end of a claim. The response to the caller waits for the first try.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of tries to record the end of a claim in the background.
const SETTLE_TRIES: u32 = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
const BYTES_PER_KB: u64 = 1_024;
const MS_PER_SECOND: u64 = 1_000;

/// Claims a call, sends it at most once and stores its response.
///
/// The call continues in a task of its own if the caller disconnects, since the claim of a call that was sent has to be
/// settled.
pub(super) async fn run<P: Protocol, C: Store>(
    server: Server<P, C>,
    call: Arc<Call>,
    span: span::Span,
) -> Result<Response<Body>, response::Error> {
    let key = key(&call)?;
    let attempt = call.attempt(&server.instance);
    let handler = Handler { server, call, key, attempt };
    let task = tokio::spawn(handler.claim_and_send(span));
    task.await.unwrap_or(Err(response::Error::OutcomeUnknown))
}

/// The command that claims a call.
enum Command {
    Begin(claim::Begin),
    TakeOver(claim::TakeOver),
}

/// Handles one call.
struct Handler<P, C> {
    server: Server<P, C>,
    call: Arc<Call>,
    key: claim::Key,
    attempt: String,
}

impl<P: Protocol, C: Store> Handler<P, C> {
    async fn claim_and_send(self, span: span::Span) -> Result<Response<Body>, response::Error> {
        match self.acquire().await {
            Ok(claim::Reply::Claimed) => {}
            Ok(reply) => return replay(reply),
            Err(error) => {
                if error == Error::Unknown {
                    self.abandon_later();
                }
                return Err(response::Error::LogUnreachable);
            }
        }
        let sent = self.server.drive(Arc::clone(&self.call), span, cancel::Token::new()).await;
        match sent {
            Ok(response) => self.finish(response).await,
            Err(error) => {
                self.settle_error(&error).await;
                Err(error)
            }
        }
    }

    /// Claims the call, or takes over the claim if another instance has forwarded the call.
    ///
    /// The command is resent until [`CLAIM_TIMEOUT`] or the deadline. This is safe for the same attempt, since the call
    /// has not been sent yet.
    async fn acquire(&self) -> Result<claim::Reply, Error> {
        let end = (Moment::now() + CLAIM_TIMEOUT).min(self.call.deadline);
        let command = self.command();
        let mut error = Error::NotAccepted;
        loop {
            let left = end.since(Moment::now());
            if left.is_zero() {
                return Err(error);
            }
            match self.submit(&command, left.min(CLAIM_TRY_TIMEOUT)).await {
                Ok(reply) => return Ok(reply),
                Err(Error::Unknown) => error = Error::Unknown,
                Err(Error::NotAccepted) => time::sleep(CLAIM_PAUSE).await,
            }
        }
    }

    /// Submits the command to the partner's log once.
    async fn submit(&self, command: &Command, limit: Duration) -> Result<claim::Reply, Error> {
        let partner = &self.call.binding.service.owner.partner;
        match command {
            Command::Begin(begin) => self.server.claims.begin(partner, begin.clone(), limit).await,
            Command::TakeOver(take_over) => {
                self.server.claims.take_over(partner, take_over.clone(), limit).await
            }
        }
    }

    /// Returns the command that claims the call or takes over its claim.
    fn command(&self) -> Command {
        let (key, digest) = (self.key.clone(), digest(&self.call));
        let (claimant, attempt) = (self.server.instance.clone(), self.attempt.clone());
        if let Some(from) = self.call.transferred_claim() {
            return Command::TakeOver(claim::TakeOver {
                key,
                digest,
                from: String::from(from),
                claimant,
                attempt,
            });
        }
        let remaining = self.call.deadline.since(Moment::now());
        let retention_s = self.call.binding.service.settings.claims.retention_s;
        Command::Begin(claim::Begin {
            key,
            digest,
            claimant,
            attempt,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            retention_ms: retention_s.saturating_mul(MS_PER_SECOND),
        })
    }

    /// Settles the claim of a call that got a response, and returns the response.
    async fn finish(self, response: Response<Body>) -> Result<Response<Body>, response::Error> {
        let (head, body) = response.into_parts();
        if head.headers.get(outcome::HEADER).is_some_and(|execution| execution != RAN) {
            let (key, attempt) = (self.key.clone(), self.attempt.clone());
            self.settle(Settlement::Lose(claim::MarkLost { key, attempt })).await;
            return Ok(Response::from_parts(head, body));
        }
        let Ok(body) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            return Err(response::Error::OutcomeUnknown);
        };
        let limit =
            self.call.binding.service.settings.claims.answer_kb.saturating_mul(BYTES_PER_KB);
        let fits = u64::try_from(body.len()).is_ok_and(|length| length <= limit);
        let answer = fits.then(|| claim::Answer {
            status: head.status.as_u16(),
            headers: stored_headers(&head.headers),
            body: body.to_vec(),
        });
        let finish = claim::Finish { key: self.key.clone(), attempt: self.attempt.clone(), answer };
        self.settle(Settlement::Finish(finish)).await;
        Ok(Response::from_parts(head, Body::whole(body)))
    }

    /// Settles the claim of a call that failed.
    async fn settle_error(&self, error: &response::Error) {
        let (key, attempt) = (self.key.clone(), self.attempt.clone());
        let settlement = match error.execution() {
            outcome::Execution::NotRun => Settlement::Abandon(claim::Abandon { key, attempt }),
            outcome::Execution::MayHaveRun => Settlement::Lose(claim::MarkLost { key, attempt }),
            outcome::Execution::Ran => {
                Settlement::Finish(claim::Finish { key, attempt, answer: None })
            }
        };
        self.settle(settlement).await;
    }

    /// Records how the claim ends; if the log doesn't reply in time, the tries go on in the background.
    async fn settle(&self, settlement: Settlement) {
        let partner = &self.call.binding.service.owner.partner;
        let recorded = self.server.claims.settle(partner, settlement.clone(), SETTLE_TIMEOUT).await;
        if recorded.is_err() {
            self.settle_later(settlement);
        }
    }

    /// Releases a claim that the log may have granted, in the background.
    fn abandon_later(&self) {
        let (key, attempt) = (self.key.clone(), self.attempt.clone());
        self.settle_later(Settlement::Abandon(claim::Abandon { key, attempt }));
    }

    /// Records the end of the claim in the background.
    fn settle_later(&self, settlement: Settlement) {
        let server = self.server.clone();
        let partner = self.call.binding.service.owner.partner.clone();
        tokio::spawn(async move {
            for _ in 0..SETTLE_TRIES {
                time::sleep(SETTLE_PAUSE).await;
                if server.claims.settle(&partner, settlement.clone(), SETTLE_TIMEOUT).await.is_ok()
                {
                    return;
                }
            }
            warn!(server.log, "claim_not_settled"; "partner" => %partner);
        });
    }
}

/// Returns the response to a call that was claimed before.
fn replay(reply: claim::Reply) -> Result<Response<Body>, response::Error> {
    match reply {
        claim::Reply::Finished { answer: Some(answer) } => Ok(stored_response(answer)),
        claim::Reply::Finished { answer: None } => Err(response::Error::ResponseNotStored),
        claim::Reply::InProgress => Err(response::Error::InProgress),
        claim::Reply::Unknown => Err(response::Error::OutcomeUnknown),
        claim::Reply::OtherBody => Err(response::Error::IdempotencyKeyReused),
        _ => Err(response::Error::LogUnreachable),
    }
}

fn stored_response(stored: claim::Answer) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::from(stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for header in stored.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
        .headers_mut()
        .insert(HeaderName::from_static(REPLAYED_HEADER), HeaderValue::from_static("true"));
    response::set_execution(&mut response, outcome::Execution::Ran);
    response
}

/// Returns the headers to store. The length follows from the body, and the date is that of each response.
fn stored_headers(headers: &HeaderMap) -> Vec<claim::Header> {
    let text = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some(claim::Header { name: name.to_string(), value: String::from(value) })
    });
    text.filter(|header| !matches!(header.name.as_str(), "content-length" | "date")).collect()
}

/// Returns the key of the call's claim.
fn key(call: &Call) -> Result<claim::Key, response::Error> {
    let key = call
        .headers
        .get(KEY_HEADER)
        .and_then(|key| key.to_str().ok())
        .map(str::trim)
        .unwrap_or_default();
    if key.is_empty() || key.len() > claim::MAX_KEY_BYTES {
        let problem = format!(
            "this call must run at most once: send the header `{KEY_HEADER}` with a unique key of 1 to {} bytes",
            claim::MAX_KEY_BYTES
        );
        return Err(response::Error::InvalidRequest { problem });
    }
    Ok(claim::Key {
        service: call.binding.service.owner.service.clone(),
        organisation: call.binding.organisation.clone(),
        key: String::from(key),
    })
}

/// Returns the SHA-256 of method, path and body, each preceded by its length.
fn digest(call: &Call) -> claim::Digest {
    let mut hasher = Sha256::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    claim::Digest(hasher.finalize().into())
}
