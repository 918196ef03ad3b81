//! What is the same when a caller sends a request again.

use fleet::exchange::{Digest, Part};
use hyper::{
    HeaderMap, Method, Uri,
    header::{AUTHORIZATION, HOST},
};
use placement::quarantine::request::Content;
use sha2::{Digest as _, Sha256};

/// The content of a request: method, host, path with query, credentials, body, and the parts of its prompt that others
/// may share.
///
/// Left out is what differs in each attempt: ids, deadlines, where a stream goes on, and hints. So is the address of the
/// caller: callers move, and proxies stand between.
pub fn content(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
    shared_parts: &[Part],
) -> Content {
    let header = |name| headers.get(name).map_or(&[][..], |value| value.as_bytes());
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let host = uri.authority().map_or(header(HOST), |authority| authority.as_str().as_bytes());
    let mut hash = Sha256::new();
    for field in [method.as_str().as_bytes(), host, path.as_bytes(), header(AUTHORIZATION), body] {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let without_parts = finish(hash.clone());
    if shared_parts.is_empty() {
        return Content::from(without_parts);
    }
    for part in shared_parts {
        hash.update(part.id.to_le_bytes());
    }
    Content { whole: finish(hash), without_parts: Some(without_parts) }
}

fn finish(hash: Sha256) -> Digest {
    let bytes = hash.finalize();
    let mut digest = [0; 16];
    digest.copy_from_slice(&bytes[..16]);
    Digest(u128::from_le_bytes(digest))
}
