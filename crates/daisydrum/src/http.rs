//! Reads requests and builds responses of the control listener.

use std::io::Read;

use oxhttp::model::{Body, Request, Response, StatusCode, Uri, header};
use serde::{Serialize, de::DeserializeOwned};
use wire::operator;

/// Largest body that the control listener reads, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Reads a request's body and decodes it as JSON.
///
/// # Errors
///
/// Returns a message for the sender: the body can't be read, exceeds [`MAX_BODY_BYTES`] or doesn't fit `T`.
pub fn read_json<T: DeserializeOwned>(request: &mut Request<Body>) -> Result<T, String> {
    let mut bytes = Vec::new();
    let mut body = request.body_mut().take(MAX_BODY_BYTES + 1);
    body.read_to_end(&mut bytes).map_err(|error| format!("the body can't be read: {error}"))?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(format!("the body is larger than {MAX_BODY_BYTES} bytes"));
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| format!("the body is not the expected JSON: {error}"))
}

/// Returns the value of a query parameter, undecoded: valid names contain no characters that need escapes.
pub fn parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_string(value)
        .expect("invariant: values whose map keys are strings serialise to JSON");
    build(status, "application/json", text)
}

/// Builds a response that says why a request is refused.
pub fn refuse(status: StatusCode, error: String) -> Response<Body> {
    json(status, &operator::Refusal { error })
}

/// Builds a response in Prometheus's text format, which plain text fits too.
pub fn text(status: StatusCode, text: &str) -> Response<Body> {
    build(status, "text/plain; version=0.0.4", String::from(text))
}

/// Builds a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn build(status: StatusCode, content_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}
