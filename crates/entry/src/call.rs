//! A caller's request that belongs to a service.

use bytes::Bytes;
use common::{clock::Moment, name, piece};
use hyper::{HeaderMap, Method};
use route::request::{Origin, Request, Retry};
use telemetry::span;
use wire::{completion, target};

use crate::directory::Binding;

/// Header by which an instance marks a request that it hands over to another data centre's instance.
pub const ORIGIN_HEADER: &str = "x-daisydrum-origin";

/// Header with the attempt that holds the claim of a call which may not be repeated and is handed over.
///
/// Only the log knows the attempt beside the two instances, and it gives the claim to one taker.
pub const CLAIM_HEADER: &str = "x-daisydrum-claim";

/// A caller's request that belongs to a service.
#[derive(Debug)]
pub struct Call {
    /// Whom it belongs to.
    pub binding: Binding,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it asks of a model; `None` for a plain service.
    pub completion: Option<completion::Request>,
    /// When its answer must have ended.
    pub deadline: Moment,
    /// Whether it may be sent more than once.
    pub retry: Retry,
    /// The hop.
    pub span: span::Context,
}

impl Call {
    /// Whether the caller takes tokens as they come.
    pub fn is_streaming(&self) -> bool {
        self.completion.as_ref().is_some_and(|completion| completion.stream)
    }

    /// Names an instance's handling of the call, by which a claim is held.
    pub fn attempt(&self, instance: &name::Instance) -> String {
        format!("{instance}-{:016x}", self.span.span)
    }

    /// The attempt whose claim another instance hands on with the call.
    pub fn transferred_claim(&self) -> Option<&str> {
        self.headers.get(CLAIM_HEADER).and_then(|attempt| attempt.to_str().ok())
    }

    /// Requests that another instance handed over stay here.
    fn origin(&self) -> Origin {
        if self.headers.contains_key(ORIGIN_HEADER) { Origin::Instance } else { Origin::Caller }
    }

    /// What the router is asked.
    pub fn request(&self) -> Request {
        let owner = &self.binding.service.owner;
        let completion = self.completion.as_ref();
        let bytes =
            u64::try_from(self.body.len().div_ceil(piece::BYTES_PER_TOKEN)).unwrap_or(u64::MAX);
        Request {
            partner: owner.partner.clone(),
            service: owner.service.clone(),
            organisation: organisation(&self.binding.organisation),
            model: completion.map(|completion| completion.model.clone()),
            priority: self.binding.service.settings.admission.priority,
            prompt_tokens: completion.map_or(bytes, completion::Request::prompt_tokens),
            output_tokens: completion.map_or(0, |completion| u64::from(completion.max_tokens())),
            pieces: completion.map(completion::Request::pieces).unwrap_or_default(),
            deadline: self.deadline,
            retry: self.retry,
            origin: self.origin(),
        }
    }
}

/// Tokens that a caller holds already, as another instance says which hands a stream over in its middle.
pub fn delivered_tokens(headers: &HeaderMap) -> u32 {
    if !headers.contains_key(ORIGIN_HEADER) {
        return 0;
    }
    let header = headers.get(target::RESUME_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|value| value.parse().ok()).unwrap_or_default()
}

fn organisation(name: &name::Organisation) -> u64 {
    piece::hash(name.as_ref())
}
