//! The protocol for calls to targets, behind a trait, since other fleets use other protocols.

use bytes::Bytes;
use common::{clock::Moment, name};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request,
    header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
    http::response,
};
use route::request::{Event, Retry};
use serde_json::Value;
use settings::service::Priority;
use telemetry::span;
use wire::{outcome, target};

use crate::{
    call::{self, Call},
    request,
};

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Value of [`target::REFUSED_HEADER`] if all slots of the target are in use.
const FULL: &str = "full";

/// What differs between the attempts of a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Trace context; its span id identifies the attempt at the target.
    pub span: span::Context,
    /// Version of the model to request.
    pub model: Option<String>,
    /// Tokens that the caller has already received.
    pub delivered: u32,
    /// Handle of an imported KV cache that holds the prompt.
    pub kv_handle: Option<String>,
    /// Whether the call is forwarded to an instance of another data centre, which routes it itself.
    pub relay: bool,
}

/// Protocol for calls to targets.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Builds the request of an attempt.
    fn request(&self, call: &Call, attempt: &Attempt) -> Request<Full<Bytes>>;

    /// Returns the event to report if a response says that the target refused the call before running any of it.
    fn refusal(&self, head: &response::Parts) -> Option<Event>;

    /// Builds a request to which any live engine responds at once.
    fn probe(&self) -> Request<Full<Bytes>>;
}

/// The protocol of `docs/design/target-protocol.md`.
#[derive(Clone, Debug)]
pub struct Native {
    /// This instance, which is named in the calls that it forwards to other instances.
    pub instance: name::Instance,
}

impl Protocol for Native {
    fn request(&self, call: &Call, attempt: &Attempt) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body(call, attempt)));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() =
            call.path.parse().expect("invariant: the path came from a parsed request");
        let headers = request.headers_mut();
        for (name, value) in &call.headers {
            headers.append(name.clone(), value.clone());
        }
        strip_hop_headers(headers);
        headers.remove(CONTENT_LENGTH);
        headers.insert(HOST, HeaderValue::from_static("target"));
        set(headers, span::HEADER, &attempt.span.header());
        headers.remove(target::RESUME_HEADER);
        if attempt.delivered > 0 {
            set(headers, target::RESUME_HEADER, &attempt.delivered.to_string());
        }
        if attempt.relay {
            set(headers, call::ORIGIN_HEADER, self.instance.as_ref());
            let remaining = call.deadline.since(Moment::now()).as_millis();
            set(headers, request::DEADLINE_HEADER, &remaining.to_string());
            if call.retry == Retry::Never {
                set(headers, call::CLAIM_HEADER, &call.attempt(&self.instance));
            }
            return request;
        }
        headers.remove(AUTHORIZATION);
        headers.remove(call::ORIGIN_HEADER);
        headers.remove(call::CLAIM_HEADER);
        set(headers, target::ATTEMPT_HEADER, &format!("{:016x}", attempt.span.span));
        let priority = priority(call.binding.service.settings.admission.priority);
        set(headers, target::PRIORITY_HEADER, &priority.to_string());
        request
    }

    fn refusal(&self, head: &response::Parts) -> Option<Event> {
        if let Some(reason) = head.headers.get(target::REFUSED_HEADER) {
            return Some(if reason == FULL { Event::Full } else { Event::Unavailable });
        }
        let execution = head.headers.get(outcome::HEADER)?;
        (execution == "not-run").then_some(Event::Full)
    }

    fn probe(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::default());
        *request.method_mut() = Method::GET;
        *request.uri_mut() =
            target::STATE_PATH.parse().expect("invariant: the path is well formed");
        request.headers_mut().insert(HOST, HeaderValue::from_static("target"));
        request
    }
}

/// Removes the hop-by-hop headers.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns the call's body, changed only if the attempt requests another model version or has an imported KV cache.
fn body(call: &Call, attempt: &Attempt) -> Bytes {
    let requested = call.completion.as_ref().map(|completion| &completion.model);
    let same_model =
        attempt.relay || attempt.model.is_none() || attempt.model.as_ref() == requested;
    if same_model && attempt.kv_handle.is_none() {
        return call.body.clone();
    }
    let Ok(Value::Object(mut body)) = serde_json::from_slice(&call.body) else {
        return call.body.clone();
    };
    if let Some(model) = attempt.model.clone().filter(|_| !same_model) {
        body.insert(String::from("model"), Value::from(model));
    }
    if let Some(handle) = attempt.kv_handle.clone() {
        body.insert(String::from("kv_handle"), Value::from(handle));
    }
    Bytes::from(Value::Object(body).to_string())
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the value of [`target::PRIORITY_HEADER`].
fn priority(priority: Priority) -> u8 {
    match priority {
        Priority::Interactive => 0,
        Priority::Standard => 4,
        Priority::Batch => 9,
    }
}
