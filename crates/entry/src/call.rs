//! A caller's request that belongs to a service.

use bytes::Bytes;
use common::{clock::Moment, name, piece};
use hyper::{HeaderMap, Method};
use route::request::{Origin, Repeat, Request};
use telemetry::span;
use wire::{completion, target};

use crate::directory::Binding;

/// Header by which an instance marks a request that it hands over to another data centre's instance.
pub const ORIGIN_HEADER: &str = "x-daisydrum-origin";

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
    pub repeat: Repeat,
    /// The hop.
    pub span: span::Context,
}

impl Call {
    /// Whether the caller takes tokens as they come.
    pub fn streams(&self) -> bool {
        self.completion.as_ref().is_some_and(|completion| completion.stream)
    }

    /// Requests that another instance handed over stay here, and so do those that may not be repeated: their claim
    /// is this instance's.
    fn origin(&self) -> Origin {
        if self.repeat == Repeat::Never || self.headers.contains_key(ORIGIN_HEADER) {
            return Origin::Instance;
        }
        Origin::Caller
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
            repeat: self.repeat,
            origin: self.origin(),
        }
    }
}

/// Tokens that a caller holds already, as another instance says which hands a stream over in its middle.
pub fn delivered(headers: &HeaderMap) -> u32 {
    if !headers.contains_key(ORIGIN_HEADER) {
        return 0;
    }
    let header = headers.get(target::RESUME_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|value| value.parse().ok()).unwrap_or_default()
}

fn organisation(name: &name::Organisation) -> u64 {
    piece::hash(name.as_ref())
}
