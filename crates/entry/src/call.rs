//! A caller's request after authentication, and how it is submitted to the router.

use bytes::Bytes;
use common::{clock::Moment, name, piece};
use hyper::{HeaderMap, Method};
use route::request::{Origin, Request, Retry};
use telemetry::span;
use wire::{completion, target};

use crate::directory::Binding;

/// Header with which an instance marks a request that it forwards to an instance of another data centre.
pub const ORIGIN_HEADER: &str = "x-daisydrum-origin";

/// Header of a forwarded call that must run at most once, with the attempt that holds its claim.
///
/// Apart from the two instances only the log knows the attempt, and it lets only one instance take over the claim.
pub const CLAIM_HEADER: &str = "x-daisydrum-claim";

/// A caller's request to a service, after authentication.
#[derive(Debug)]
pub struct Call {
    /// The service and organisation that its key belongs to.
    pub binding: Binding,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The completion request in its body; `None` for a plain service.
    pub completion: Option<completion::Request>,
    /// When its response must be complete.
    pub deadline: Moment,
    /// Whether a failed attempt may be followed by another.
    pub retry: Retry,
    /// The trace context.
    pub span: span::Context,
}

impl Call {
    /// Returns whether the caller wants tokens as they are generated.
    pub fn is_streaming(&self) -> bool {
        self.completion.as_ref().is_some_and(|completion| completion.stream)
    }

    /// Returns the name under which an instance holds the claim on the call.
    pub fn attempt(&self, instance: &name::Instance) -> String {
        format!("{instance}-{:016x}", self.span.span)
    }

    /// Returns the attempt that holds the claim, if another instance forwarded the call with its claim.
    pub fn transferred_claim(&self) -> Option<&str> {
        self.headers.get(CLAIM_HEADER).and_then(|attempt| attempt.to_str().ok())
    }

    /// Returns where the request came from. One that another instance forwarded is not forwarded again.
    fn origin(&self) -> Origin {
        if self.headers.contains_key(ORIGIN_HEADER) { Origin::Instance } else { Origin::Caller }
    }

    /// Returns the request to submit to the router.
    pub fn request(&self) -> Request {
        let owner = &self.binding.service.owner;
        let completion = self.completion.as_ref();
        let body_tokens =
            u64::try_from(self.body.len().div_ceil(piece::BYTES_PER_TOKEN)).unwrap_or(u64::MAX);
        Request {
            partner: owner.partner.clone(),
            service: owner.service.clone(),
            organisation: organisation(&self.binding.organisation),
            model: completion.map(|completion| completion.model.clone()),
            priority: self.binding.service.settings.admission.priority,
            prompt_tokens: completion.map_or(body_tokens, completion::Request::prompt_tokens),
            output_tokens: completion.map_or(0, |completion| u64::from(completion.max_tokens())),
            pieces: completion.map(completion::Request::pieces).unwrap_or_default(),
            deadline: self.deadline,
            retry: self.retry,
            origin: self.origin(),
        }
    }
}

/// Returns how many tokens the caller has already received, if another instance forwards the rest of a stream.
pub fn delivered_tokens(headers: &HeaderMap) -> u32 {
    if !headers.contains_key(ORIGIN_HEADER) {
        return 0;
    }
    let header = headers.get(target::RESUME_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Hashes the name of an organisation for the router.
fn organisation(name: &name::Organisation) -> u64 {
    piece::hash(name.as_ref())
}
