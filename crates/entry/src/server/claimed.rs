//! Calls that may not be repeated: claimed in the log before they are sent, sent once, their answer kept.

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

/// Header with the caller's name for a call that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that marks an answer which was kept from an earlier call.
pub const REPLAYED_HEADER: &str = "x-daisydrum-replayed";
/// Word of an answer whose call ran; another instance's answer may have another one.
const RAN: &str = "ran";
const CLAIM_LIMIT: Duration = Duration::from_secs(6);
const CLAIM_TRY: Duration = Duration::from_secs(1);
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an answer to be kept before it is given to the caller.
const KEEP_LIMIT: Duration = Duration::from_secs(1);
const SETTLE_TRIES: u32 = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
const BYTES_PER_KB: u64 = 1_024;
const MS_PER_SECOND: u64 = 1_000;

/// Claims a call, sends it once and keeps its answer.
///
/// The work goes on when the caller leaves, since a call that was sent has to be settled.
pub(super) async fn run<P: Protocol, C: Store>(
    server: Server<P, C>,
    call: Arc<Call>,
    span: span::Span,
) -> Result<Response<Body>, response::Error> {
    let key = key(&call)?;
    let attempt = call.attempt(&server.instance);
    let run = Run { server, call, key, attempt };
    let task = tokio::spawn(run.claim_and_send(span));
    task.await.unwrap_or(Err(response::Error::OutcomeUnknown))
}

/// What the log is asked before a call is sent.
enum Ask {
    Begin(claim::Begin),
    Take(claim::TakeOver),
}

struct Run<P, C> {
    server: Server<P, C>,
    call: Arc<Call>,
    key: claim::Key,
    attempt: String,
}

impl<P: Protocol, C: Store> Run<P, C> {
    async fn claim_and_send(self, span: span::Span) -> Result<Response<Body>, response::Error> {
        match self.hold().await {
            Ok(claim::Reply::Claimed) => {}
            Ok(reply) => return replay(reply),
            Err(error) => {
                if error == Error::Unknown {
                    self.give_back_later();
                }
                return Err(response::Error::LogUnreachable);
            }
        }
        let sent = self.server.drive(Arc::clone(&self.call), span, cancel::Token::new()).await;
        match sent {
            Ok(response) => self.keep(response).await,
            Err(error) => {
                self.settle_error(&error).await;
                Err(error)
            }
        }
    }

    /// Claims the call, or takes over the claim of one that another instance hands on.
    ///
    /// The log is asked again while there is time: an attempt's claim may be asked for again, as nothing was sent
    /// yet. A try is much shorter than the whole, so that a connection gone silent costs one try.
    async fn hold(&self) -> Result<claim::Reply, Error> {
        let end = (Moment::now() + CLAIM_LIMIT).min(self.call.deadline);
        let ask = self.ask();
        let mut error = Error::NotAccepted;
        loop {
            let left = end.since(Moment::now());
            if left.is_zero() {
                return Err(error);
            }
            match self.send(&ask, left.min(CLAIM_TRY)).await {
                Ok(reply) => return Ok(reply),
                Err(Error::Unknown) => error = Error::Unknown,
                Err(Error::NotAccepted) => time::sleep(CLAIM_PAUSE).await,
            }
        }
    }

    async fn send(&self, ask: &Ask, limit: Duration) -> Result<claim::Reply, Error> {
        let partner = &self.call.binding.service.owner.partner;
        match ask {
            Ask::Begin(begin) => self.server.claims.begin(partner, begin.clone(), limit).await,
            Ask::Take(take) => self.server.claims.take_over(partner, take.clone(), limit).await,
        }
    }

    fn ask(&self) -> Ask {
        let (key, digest) = (self.key.clone(), digest(&self.call));
        let (claimant, attempt) = (self.server.instance.clone(), self.attempt.clone());
        if let Some(from) = self.call.transferred_claim() {
            return Ask::Take(claim::TakeOver {
                key,
                digest,
                from: String::from(from),
                claimant,
                attempt,
            });
        }
        let remaining = self.call.deadline.since(Moment::now());
        let retention_s = self.call.binding.service.settings.claims.retention_s;
        Ask::Begin(claim::Begin {
            key,
            digest,
            claimant,
            attempt,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            retention_ms: retention_s.saturating_mul(MS_PER_SECOND),
        })
    }

    async fn keep(self, response: Response<Body>) -> Result<Response<Body>, response::Error> {
        let (head, body) = response.into_parts();
        if head.headers.get(outcome::HEADER).is_some_and(|word| word != RAN) {
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
            headers: kept_headers(&head.headers),
            body: body.to_vec(),
        });
        let finish = claim::Finish { key: self.key.clone(), attempt: self.attempt.clone(), answer };
        self.settle(Settlement::Finish(finish)).await;
        Ok(Response::from_parts(head, Body::whole(body)))
    }

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

    /// Records how the claim ends; where the log doesn't answer in time, the record follows in the background.
    async fn settle(&self, settlement: Settlement) {
        let partner = &self.call.binding.service.owner.partner;
        let recorded = self.server.claims.settle(partner, settlement.clone(), KEEP_LIMIT).await;
        if recorded.is_err() {
            self.settle_later(settlement);
        }
    }

    fn give_back_later(&self) {
        let (key, attempt) = (self.key.clone(), self.attempt.clone());
        self.settle_later(Settlement::Abandon(claim::Abandon { key, attempt }));
    }

    fn settle_later(&self, settlement: Settlement) {
        let server = self.server.clone();
        let partner = self.call.binding.service.owner.partner.clone();
        tokio::spawn(async move {
            for _ in 0..SETTLE_TRIES {
                time::sleep(SETTLE_PAUSE).await;
                if server.claims.settle(&partner, settlement.clone(), KEEP_LIMIT).await.is_ok() {
                    return;
                }
            }
            warn!(server.log, "claim_not_settled"; "partner" => %partner);
        });
    }
}

/// The answer for a call that was claimed before.
fn replay(reply: claim::Reply) -> Result<Response<Body>, response::Error> {
    match reply {
        claim::Reply::Finished { answer: Some(answer) } => Ok(kept_answer(answer)),
        claim::Reply::Finished { answer: None } => Err(response::Error::ResponseNotStored),
        claim::Reply::InProgress => Err(response::Error::InProgress),
        claim::Reply::Unknown => Err(response::Error::OutcomeUnknown),
        claim::Reply::OtherBody => Err(response::Error::IdempotencyKeyReused),
        _ => Err(response::Error::LogUnreachable),
    }
}

fn kept_answer(kept: claim::Answer) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::from(kept.body)));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    for header in kept.headers {
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

/// Headers that are kept; the length follows from the body.
fn kept_headers(headers: &HeaderMap) -> Vec<claim::Header> {
    let text = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some(claim::Header { name: name.to_string(), value: String::from(value) })
    });
    text.filter(|header| !matches!(header.name.as_str(), "content-length" | "date")).collect()
}

fn key(call: &Call) -> Result<claim::Key, response::Error> {
    let key = call
        .headers
        .get(KEY_HEADER)
        .and_then(|key| key.to_str().ok())
        .map(str::trim)
        .unwrap_or_default();
    if key.is_empty() || key.len() > claim::MAX_KEY_BYTES {
        let problem = format!(
            "this call may not be repeated: send the header `{KEY_HEADER}` with a key of 1 to {} bytes of your choice",
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

/// SHA-256 of method, path and body, each with its length before it.
fn digest(call: &Call) -> claim::Digest {
    let mut hasher = Sha256::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    claim::Digest(hasher.finalize().into())
}
