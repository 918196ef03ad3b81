//! Computes a prompt on one engine and moves its KV cache to another.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    header::{HOST, HeaderValue},
};
use serde::{Deserialize, Serialize};
use tokio::time;
use wire::target;

use crate::connection::Connection;

/// Longest time for both steps; after it the decode engine computes the prompt itself.
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Export {
    handle: String,
}

#[derive(Serialize)]
struct Import<'a> {
    handle: &'a str,
    source: SocketAddr,
}

/// Computes a prompt at `prefill`, exports its KV cache there and imports it at `decode`.
///
/// Returns the handle of the imported cache, or `None` if a step failed; then the decode engine computes the prompt.
pub(crate) async fn run(prefill: SocketAddr, decode: SocketAddr, body: Bytes) -> Option<String> {
    let handle =
        time::timeout(TIMEOUT, export_and_import(prefill, decode, body)).await.ok().flatten();
    let result = if handle.is_some() { "moved" } else { "failed" };
    metrics::counter!("daisydrum_kv_transfers_total", "result" => result).increment(1);
    handle
}

async fn export_and_import(prefill: SocketAddr, decode: SocketAddr, body: Bytes) -> Option<String> {
    let exported = post(prefill, target::EXPORT_PATH, body).await?;
    let export: Export = serde_json::from_slice(&exported).ok()?;
    let import = Import { handle: &export.handle, source: prefill };
    let import = serde_json::to_vec(&import).ok()?;
    post(decode, target::IMPORT_PATH, Bytes::from(import)).await?;
    Some(export.handle)
}

async fn post(address: SocketAddr, path: &'static str, body: Bytes) -> Option<Bytes> {
    let mut request = Request::post(path).body(Full::new(body)).ok()?;
    request.headers_mut().insert(HOST, HeaderValue::from_static("target"));
    let mut connection = Connection::open(address).await.ok()?;
    let response = connection.send(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    Some(response.into_body().collect().await.ok()?.to_bytes())
}
