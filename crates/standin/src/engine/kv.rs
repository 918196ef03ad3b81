//! Export and import of a prompt's KV cache.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{collections::Map, piece};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc, time};
use wire::completion;

use super::{Shared, batch, call};
use crate::http;

/// Path at which one engine asks another for the size of an export (`GET`, with the handle as the query).
pub(super) const FETCH_PATH: &str = "/control/kv/fetch";
/// Size of the KV cache of one token, in bytes.
const BYTES_PER_TOKEN: u64 = 128 * 1_024;
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
const EXPORT_PRIORITY: u8 = 5;

/// KV caches held for export or after an import: prompt tokens by handle.
#[derive(Debug, Default)]
pub(super) struct Exports(Map<String, u64>);

impl Exports {
    /// Whether the KV cache of a handle is held.
    pub(super) fn is_held(&self, handle: &str) -> bool {
        self.0.contains_key(handle)
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct Export {
    handle: String,
    prompt_tokens: u64,
    bytes: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Import {
    handle: String,
    source: SocketAddr,
}

/// Computes a prompt and keeps its KV cache under a new handle.
pub(super) async fn export(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<http::Body>, http::Error> {
    let body = request.into_body().collect().await?.to_bytes();
    let call: completion::Request = serde_json::from_slice(&body)?;
    let prompt = call.text();
    let prompt_tokens = piece::tokens(&prompt);
    let Some(mut done) = compute(shared, call.pieces(), prompt_tokens) else {
        return Ok(call::refusal("full"));
    };
    if done.recv().await.is_none() {
        return Err(http::Error::Timeout);
    }
    let handle = format!(
        "{}-{:x}-{}",
        shared.options.name,
        shared.incarnation,
        crate::output::hash(&prompt)
    );
    shared.lock().exports.0.insert(handle.clone(), prompt_tokens);
    let export = Export { handle, prompt_tokens, bytes: prompt_tokens * BYTES_PER_TOKEN };
    http::json(StatusCode::OK, &export)
}

/// Fetches a KV cache from another engine; responds with 404 if that engine no longer has it.
pub(super) async fn import(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<http::Body>, http::Error> {
    let body = request.into_body().collect().await?.to_bytes();
    let import: Import = serde_json::from_slice(&body)?;
    let query = http::get(&format!("{FETCH_PATH}?{}", import.handle))?;
    let fetched = http::call(import.source, query, FETCH_TIMEOUT).await;
    let Some(export) = fetched.ok().and_then(|response| response.json::<Export>().ok()) else {
        return Ok(http::text(StatusCode::NOT_FOUND, "no such handle"));
    };
    #[allow(clippy::cast_precision_loss, reason = "a prompt's tokens fit a double exactly")]
    let seconds = export.prompt_tokens as f64 / shared.options.speed.import_tokens_s;
    time::sleep(shared.scaled(Duration::from_secs_f64(seconds))).await;
    shared.lock().exports.0.insert(import.handle, export.prompt_tokens);
    http::json(StatusCode::OK, &export)
}

/// Responds to another engine with the size of an export.
pub(super) fn fetch(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Result<Response<http::Body>, http::Error> {
    let handle = request.uri().query().unwrap_or_default().to_string();
    let Some(prompt_tokens) = shared.lock().exports.0.get(&handle).copied() else {
        return Ok(http::text(StatusCode::NOT_FOUND, "no such handle"));
    };
    let export = Export { handle, prompt_tokens, bytes: prompt_tokens * BYTES_PER_TOKEN };
    http::json(StatusCode::OK, &export)
}

fn compute(
    shared: &Shared,
    pieces: Vec<u64>,
    prompt_tokens: u64,
) -> Option<mpsc::UnboundedReceiver<u32>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut state = shared.lock();
    if call::refusal_reason(state.phase).is_some() || !state.batch.has_room(&shared.options) {
        state.totals.refused += 1;
        return None;
    }
    state.batch.push(batch::Work {
        attempt: String::new(),
        priority: EXPORT_PRIORITY,
        pieces,
        uncomputed_tokens: prompt_tokens,
        next: 0,
        end: 1,
        tokens: sender,
    });
    drop(state);
    shared.work.notify_one();
    Some(receiver)
}
