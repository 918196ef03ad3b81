//! Sends one request as a caller does and checks the response.

use std::{net::SocketAddr, time::Duration};

use common::random::Random;
use derive_more::{Display, IsVariant};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use standin::{http, output, plain};
use tokio::time::{self, Instant};
use wire::{completion, outcome};

use crate::{
    arrival::{Arrival, Content},
    scenario::{Scenario, Shape, Stream},
    sse,
};

type Payload = http_body_util::Full<hyper::body::Bytes>;

/// The result of checking a request's response.
#[derive(Clone, Debug, Display, IsVariant, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The response is complete and belongs to the request.
    Whole,
    /// The request was refused and did not run; with the reason.
    #[display("not run: {_0}")]
    NotRun(String),
    /// The response says that the request may have run.
    MayHaveRun,
    /// The response belongs to another request, or has a token twice or out of order.
    #[display("wrong: {_0}")]
    Wrong(String),
    /// The response ended early.
    #[display("cut: {_0}")]
    Cut(String),
    /// The connection failed before a response began.
    #[display("broken: {_0}")]
    Broken(String),
    /// The response was not complete by the deadline.
    Late,
    /// An error response that does not say whether the request ran, or a request that could not be created.
    #[display("other: {_0}")]
    Other(String),
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Index of its stream in the scenario.
    pub stream: usize,
    /// When it was due, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The result of checking its response.
    pub verdict: Verdict,
    /// From when it was due to the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// From when it was due to the end, in milliseconds.
    pub total_ms: u64,
    /// 95th percentile of the gaps between its tokens, in milliseconds.
    pub gap_ms: u64,
    /// Number of times that it was sent again after its connection failed.
    pub resends: u32,
}

impl Outcome {
    /// Whether the response is complete and met the latency goals of its stream.
    pub fn is_in_time(&self, stream: &Stream) -> bool {
        self.verdict.is_whole()
            && self.first_ms.is_none_or(|first| first <= stream.first_token_ms)
            && self.gap_ms <= stream.token_gap_ms
            && self.total_ms <= stream.deadline_ms
    }
}

/// Sends `arrival`; after a failed connection, sends it again up to the number of times that the scenario allows.
pub async fn send(scenario: &Scenario, arrival: &Arrival, seed: u64, due: Instant) -> Outcome {
    let stream = &scenario.streams[arrival.stream];
    let deadline = due + Duration::from_millis(stream.deadline_ms);
    let mut random = Random::new(seed);
    let mut resends = 0;
    let mut call;
    loop {
        let address = scenario.callers[random.below(scenario.callers.len())];
        call = Call::default();
        let verdict = time::timeout_at(deadline, call.run(address, stream, &arrival.content));
        call.verdict = verdict.await.unwrap_or(Verdict::Late);
        let is_broken = matches!(call.verdict, Verdict::Broken(_) | Verdict::Cut(_));
        if !is_broken || resends == scenario.resends || Instant::now() >= deadline {
            break;
        }
        resends += 1;
    }
    let recording = &call.recording;
    Outcome {
        stream: arrival.stream,
        at_ms: milliseconds(arrival.at),
        verdict: call.verdict,
        first_ms: recording.times.first().map(|first| milliseconds(*first - due)),
        total_ms: milliseconds(due.elapsed()),
        gap_ms: milliseconds(recording.gap_p95()),
        resends,
    }
}

struct Call {
    verdict: Verdict,
    recording: sse::Recording,
}

impl Default for Call {
    fn default() -> Call {
        Call { verdict: Verdict::Late, recording: sse::Recording::default() }
    }
}

impl Call {
    async fn run(&mut self, address: SocketAddr, stream: &Stream, content: &Content) -> Verdict {
        let request = match request(stream, content) {
            Ok(request) => request,
            Err(error) => return Verdict::Other(error.to_string()),
        };
        let response = match http::open(address, request).await {
            Ok(response) => response,
            Err(error) => return Verdict::Broken(error.to_string()),
        };
        if response.status() != StatusCode::OK {
            return classify_refusal(response).await;
        }
        match content {
            Content::Completion { prompt, output_tokens } => {
                self.check_stream(response, prompt, *output_tokens).await
            }
            Content::Plain { body, .. } => check_plain(response, body).await,
        }
    }

    async fn check_stream(
        &mut self,
        response: Response<Incoming>,
        prompt: &str,
        output_tokens: u32,
    ) -> Verdict {
        let end = sse::read(response.into_body(), &mut self.recording).await;
        let tokens = usize::try_from(output_tokens).unwrap_or(usize::MAX);
        match output::check(prompt, tokens, &self.recording.text) {
            Ok(()) if self.recording.is_done => Verdict::Whole,
            Ok(()) => Verdict::Cut(String::from("all tokens were received, but no closing event")),
            Err(output::Error::Length { found, expected }) if found < expected => {
                let cause =
                    self.recording.error.take().or(end.err().map(|error| error.to_string()));
                Verdict::Cut(format!("{found} of {expected} tokens, {}", cause.unwrap_or_default()))
            }
            Err(error) => Verdict::Wrong(error.to_string()),
        }
    }
}

fn request(stream: &Stream, content: &Content) -> Result<Request<Payload>, http::Error> {
    let mut request = match (&stream.shape, content) {
        (Shape::Completion { model, .. }, Content::Completion { prompt, output_tokens }) => {
            let body = completion::Request {
                model: model.clone(),
                prompt: Some(prompt.clone()),
                stream: true,
                max_tokens: Some(*output_tokens),
                ..completion::Request::default()
            };
            http::post("/v1/completions", &body)?
        }
        (Shape::Plain { path, .. }, Content::Plain { key, body }) => Request::post(path)
            .header(hyper::header::HOST, "localhost")
            .header(plain::KEY_HEADER, key)
            .body(Payload::from(body.clone()))?,
        _ => unreachable!("invariant: contents are drawn from the stream's own shape"),
    };
    let bearer = format!("Bearer {}", stream.key);
    let value = hyper::header::HeaderValue::from_str(&bearer).map_err(hyper::http::Error::from)?;
    request.headers_mut().insert(hyper::header::AUTHORIZATION, value);
    Ok(request)
}

async fn check_plain(response: Response<Incoming>, expected: &str) -> Verdict {
    match response.into_body().collect().await {
        Ok(body) => {
            if body.to_bytes() == expected.as_bytes() {
                Verdict::Whole
            } else {
                Verdict::Wrong(String::from("the body differs from that of the request"))
            }
        }
        Err(error) => Verdict::Cut(error.to_string()),
    }
}

async fn classify_refusal(response: Response<Incoming>) -> Verdict {
    let header = response.headers().get(outcome::HEADER).and_then(|value| value.to_str().ok());
    let execution: Option<outcome::Execution> = header.and_then(|header| header.parse().ok());
    let status = response.status();
    let body = response.into_body().collect().await.map(http_body_util::Collected::to_bytes);
    let body = body.unwrap_or_default();
    match execution {
        Some(outcome::Execution::NotRun) => return Verdict::NotRun(reason(&body)),
        Some(outcome::Execution::MayHaveRun) => return Verdict::MayHaveRun,
        Some(outcome::Execution::Ran) | None => {}
    }
    Verdict::Other(format!("{status} {}", String::from_utf8_lossy(&body)))
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The message of an error in the form that callers of these endpoints expect, or the whole body.
fn reason(body: &[u8]) -> String {
    let error: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let message = error["error"]["message"].as_str().map(String::from);
    message.unwrap_or_else(|| String::from_utf8_lossy(body).into_owned())
}
