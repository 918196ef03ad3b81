//! Completions, streamed or in one response.

use std::{io, sync::Arc};

use bytes::Bytes;
use common::piece;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use wire::{completion, target};

use super::{Fault, Shared, batch};
use crate::{http, output, pause};

const DEFAULT_PRIORITY: u8 = 5;

/// Format of a completion's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// Runs one completion.
pub(super) async fn run(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    shape: Shape,
) -> Result<Response<http::Body>, http::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let call: completion::Request = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(error) => return Ok(http::text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let prompt = call.text();
    let tokens = match admit(shared, &head.headers, &call) {
        Ok(tokens) => tokens,
        Err(reason) => return Ok(refusal(reason)),
    };
    let completion = Completion { shape, prompt: output::hash(&prompt), model: call.model.clone() };
    let usage = Usage { prompt: piece::tokens(&prompt), output: call.max_tokens() };
    pause::at(pause::Point::Head, &shared.options.pauses).await;
    if shared.options.fault == Some(Fault::Error) {
        return Ok(http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
    }
    if call.stream {
        let stream = Stream {
            shared: Arc::clone(shared),
            completion,
            tokens,
            end: call.max_tokens(),
            next: Next::Head,
        };
        return Ok(streamed(stream));
    }
    collected(&completion, tokens, usage).await
}

/// Cancels the attempt that a request names.
pub(super) fn cancel(shared: &Shared, request: &Request<Incoming>) -> Response<http::Body> {
    let attempt = header(request.headers(), target::ATTEMPT_HEADER);
    let mut state = shared.lock();
    if state.batch.cancel(attempt) {
        state.totals.interrupted += 1;
        return http::text(StatusCode::NO_CONTENT, "");
    }
    http::text(StatusCode::NOT_FOUND, "no such attempt")
}

/// The response to a call that was refused before running.
pub(super) fn refusal(reason: &'static str) -> Response<http::Body> {
    let status = match reason {
        "full" => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = http::text(status, reason);
    response.headers_mut().insert(target::REFUSED_HEADER, HeaderValue::from_static(reason));
    response
}

/// Why the engine accepts no new work in `phase`; `None` if it does.
pub(super) fn refusal_reason(phase: target::Phase) -> Option<&'static str> {
    match phase {
        target::Phase::Ready => None,
        target::Phase::Draining | target::Phase::Leaving => Some("draining"),
        target::Phase::Changing => Some("changing"),
    }
}

fn admit(
    shared: &Shared,
    headers: &HeaderMap,
    call: &completion::Request,
) -> Result<mpsc::UnboundedReceiver<u32>, &'static str> {
    let mut state = shared.lock();
    let refused = if let Some(reason) = refusal_reason(state.phase) {
        Some(reason)
    } else if !state.models.contains(&call.model) {
        Some("unknown-model")
    } else if !state.batch.has_room(&shared.options) {
        Some("full")
    } else {
        None
    };
    if let Some(reason) = refused {
        state.totals.refused += 1;
        return Err(reason);
    }
    let next: u32 = header(headers, target::RESUME_HEADER).parse().unwrap_or_default();
    let imported = call.kv_handle.as_ref().is_some_and(|handle| state.exports.is_held(handle));
    let prompt_tokens = call.prompt_tokens();
    let (sender, receiver) = mpsc::unbounded_channel();
    let work = batch::Work {
        attempt: header(headers, target::ATTEMPT_HEADER).to_string(),
        priority: header(headers, target::PRIORITY_HEADER).parse().unwrap_or(DEFAULT_PRIORITY),
        pieces: call.pieces(),
        uncomputed_tokens: if imported { 0 } else { prompt_tokens + u64::from(next) },
        next,
        end: call.max_tokens().max(next),
        tokens: sender,
    };
    state.totals.accepted += 1;
    state.batch.push(work);
    drop(state);
    shared.work.notify_one();
    Ok(receiver)
}

/// What the events of a response are made from.
struct Completion {
    shape: Shape,
    prompt: u64,
    model: String,
}

struct Usage {
    prompt: u64,
    output: u32,
}

impl Completion {
    fn token(&self, position: u32) -> String {
        output::token_of(self.prompt, usize::try_from(position).unwrap_or(usize::MAX))
    }

    fn event(&self, position: u32, is_last: bool) -> Bytes {
        let finish = if is_last { Value::from("length") } else { Value::Null };
        let choice = match self.shape {
            Shape::Text => {
                json!({"index": 0, "text": self.token(position), "finish_reason": finish})
            }
            Shape::Chat => {
                let delta = json!({"content": self.token(position)});
                json!({"index": 0, "delta": delta, "finish_reason": finish})
            }
        };
        let object = match self.shape {
            Shape::Text => "text_completion",
            Shape::Chat => "chat.completion.chunk",
        };
        let event = json!({
            "id": format!("cmpl-{:x}", self.prompt),
            "object": object,
            "created": common::clock::unix_ms() / 1_000,
            "model": self.model,
            "choices": [choice],
        });
        Bytes::from(format!("data: {event}\n\n"))
    }
}

fn streamed(stream: Stream) -> Response<http::Body> {
    let events = stream::unfold(stream, |mut stream| async {
        let frame = stream.frame().await?;
        Some((frame, stream))
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// What a stream writes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Head,
    Token,
    Done,
    Nothing,
}

struct Stream {
    shared: Arc<Shared>,
    completion: Completion,
    tokens: mpsc::UnboundedReceiver<u32>,
    end: u32,
    next: Next,
}

impl Stream {
    async fn frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.next == Next::Head {
            if self.shared.options.fault == Some(Fault::BreakOff) {
                self.next = Next::Nothing;
                return Some(Err(io::Error::from(io::ErrorKind::ConnectionAborted)));
            }
            pause::at(pause::Point::FirstEvent, &self.shared.options.pauses).await;
            self.next = Next::Token;
        }
        match self.next {
            Next::Head | Next::Nothing => None,
            Next::Done => {
                pause::at(pause::Point::End, &self.shared.options.pauses).await;
                self.shared.gate.passed().await;
                self.next = Next::Nothing;
                Some(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
            }
            Next::Token => Some(self.token().await),
        }
    }

    /// The event of the next token; an error, which drops the connection, if the work was dropped.
    async fn token(&mut self) -> io::Result<Frame<Bytes>> {
        let Some(position) = self.tokens.recv().await else {
            self.next = Next::Nothing;
            return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
        };
        pause::at(pause::Point::Event(position), &self.shared.options.pauses).await;
        self.shared.gate.passed().await;
        let is_last = position + 1 >= self.end;
        if is_last {
            self.next = Next::Done;
        }
        Ok(Frame::data(self.completion.event(position, is_last)))
    }
}

async fn collected(
    completion: &Completion,
    mut tokens: mpsc::UnboundedReceiver<u32>,
    usage: Usage,
) -> Result<Response<http::Body>, http::Error> {
    let mut text = String::new();
    let mut last = 0;
    while let Some(position) = tokens.recv().await {
        text.push_str(&completion.token(position));
        last = position + 1;
    }
    if last < usage.output {
        return Err(http::Error::Timeout);
    }
    let choice = match completion.shape {
        Shape::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        Shape::Chat => {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "length"})
        }
    };
    let object = match completion.shape {
        Shape::Text => "text_completion",
        Shape::Chat => "chat.completion",
    };
    let body = json!({
        "id": format!("cmpl-{:x}", completion.prompt),
        "object": object,
        "created": common::clock::unix_ms() / 1_000,
        "model": completion.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": usage.prompt,
            "completion_tokens": usage.output,
            "total_tokens": usage.prompt + u64::from(usage.output),
        },
    });
    http::json(StatusCode::OK, &body)
}

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
