//! One attempt of a call: sends it to a target and forwards the response to the caller.

use std::{future::Future, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body as _, Incoming},
    header::CONTENT_TYPE,
    http,
};
use route::request::{Dispatch, Event, Retry};
use tokio::time;
use wire::outcome;

use crate::{
    body::Body,
    call::Call,
    connection::{self, Connection},
    event::{Kind, Splitter},
    output::Output,
    progress::Progress,
    protocol::{self, Protocol},
    response, router, transfer,
};

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// An event to report to the router, which decides what follows.
    Event(Event),
    /// The caller has disconnected or reads too slowly.
    Gone,
    /// The response to the caller ended with an error and can't be continued by another attempt.
    Cut,
}

/// An attempt with the state of its call.
pub(crate) struct Exchange<'a, P> {
    pub(crate) protocol: &'a P,
    pub(crate) router: &'a router::Handle,
    pub(crate) call: &'a Call,
    pub(crate) dispatch: &'a Dispatch,
    pub(crate) attempt: protocol::Attempt,
    pub(crate) output: &'a mut Output,
    pub(crate) progress: &'a mut Progress,
}

impl<P: Protocol> Exchange<'_, P> {
    /// Runs the attempt.
    pub(crate) async fn run(mut self) -> Ending {
        if let Some(prefill) = &self.dispatch.prefill {
            let body = self.call.body.clone();
            self.attempt.kv_handle =
                transfer::run(prefill.address, self.dispatch.address, body).await;
        }
        let Ok(mut connection) = Connection::open(self.dispatch.address).await else {
            return Ending::Event(Event::Unsent);
        };
        let request = self.protocol.request(self.call, &self.attempt);
        let Some(Ok(response)) = self.watch(connection.send(request)).await else {
            return Ending::Event(Event::Broken);
        };
        self.forward(response).await
    }

    /// Forwards a response, unless it is a refusal or an error that another attempt may avoid.
    async fn forward(&mut self, response: Response<Incoming>) -> Ending {
        let (mut head, body) = response.into_parts();
        if let Some(refusal) = self.protocol.refusal(&head) {
            return Ending::Event(refusal);
        }
        let is_completion = self.call.completion.is_some();
        if is_completion && head.status.is_server_error() {
            return Ending::Event(Event::Broken);
        }
        protocol::strip_hop_headers(&mut head.headers);
        if is_completion && is_event_stream(&head) {
            return self.forward_events(head, body).await;
        }
        if self.output.has_begun() {
            return Ending::Event(Event::Broken);
        }
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let is_small = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        if is_completion || is_small || self.call.retry == Retry::Never {
            return self.forward_buffered(head, body).await;
        }
        self.forward_unbuffered(head, body).await
    }

    /// Forwards tokens as they arrive. The response is complete only once the engine has sent the closing event.
    async fn forward_events(&mut self, head: http::response::Parts, mut body: Incoming) -> Ending {
        let mut splitter = Splitter::default();
        loop {
            let Some(Some(Ok(frame))) = self.watch(body.frame()).await else {
                return Ending::Event(Event::Broken);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if splitter.push(&data).is_err() {
                return Ending::Event(Event::Broken);
            }
            while let Some(event) = splitter.take() {
                let kind = event.kind();
                if kind == Kind::Token {
                    self.start(&head).await;
                }
                if kind == Kind::Done {
                    self.output.begin(head.clone());
                }
                if self.output.has_begun() && self.output.send_part(event.0).await.is_err() {
                    return Ending::Gone;
                }
                match kind {
                    Kind::Token => self.progress.count_token(),
                    Kind::Done => return Ending::Event(Event::Finished),
                    Kind::Other => {}
                }
            }
        }
    }

    /// Buffers a response until it is complete, so that another attempt can replace an incomplete one.
    async fn forward_buffered(
        &mut self,
        head: http::response::Parts,
        mut body: Incoming,
    ) -> Ending {
        let mut bytes = BytesMut::new();
        loop {
            let frame = match self.watch(body.frame()).await {
                Some(Some(Ok(frame))) => frame,
                Some(None) => break,
                _ => return Ending::Event(Event::Broken),
            };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            if bytes.len() > MAX_BUFFERED_BYTES {
                self.output.fail(response::Error::ResponseTooLarge).await;
                return Ending::Cut;
            }
        }
        let mut response = Response::from_parts(head, Body::whole(bytes.freeze()));
        let is_set = response.headers().contains_key(outcome::HEADER);
        if !(self.attempt.relay && is_set) {
            response::set_execution(&mut response, outcome::Execution::Ran);
        }
        self.output.send_whole(response);
        Ending::Event(Event::Finished)
    }

    /// Forwards the response of a plain service as it arrives, because its length is unknown or too large to buffer.
    async fn forward_unbuffered(
        &mut self,
        head: http::response::Parts,
        mut body: Incoming,
    ) -> Ending {
        self.start(&head).await;
        loop {
            let frame = match self.watch(body.frame()).await {
                Some(Some(Ok(frame))) => frame,
                Some(None) => return Ending::Event(Event::Finished),
                _ => {
                    self.output.truncate().await;
                    return Ending::Cut;
                }
            };
            let part: Bytes = frame.into_data().unwrap_or_default();
            if self.output.send_part(part).await.is_err() {
                return Ending::Gone;
            }
        }
    }

    /// Reports the first token, or the head of a plain response, to the router and sends the head to the caller.
    ///
    /// Does nothing if the attempt has delivered a token already and the head was sent.
    async fn start(&mut self, head: &http::response::Parts) {
        let Dispatch { ticket, attempt, .. } = *self.dispatch;
        if self.progress.delivered == self.attempt.delivered {
            let event = Event::Started;
            self.router.report(router::Report { ticket, attempt, event }).await;
        }
        self.output.begin(head.clone());
    }

    /// Waits for the target's next progress; `None` if the target or the connection is dead.
    ///
    /// When the service's `limits.progress_ms` have passed, the target is probed over a new connection. If it doesn't
    /// respond, the attempt fails at once. If it does, the wait goes on once more for the same time, after which the
    /// connection is considered dead.
    async fn watch<F: Future>(&self, progress: F) -> Option<F::Output> {
        let limit = Duration::from_millis(self.call.binding.service.settings.limits.progress_ms);
        tokio::pin!(progress);
        if let Ok(output) = time::timeout(limit, progress.as_mut()).await {
            return Some(output);
        }
        metrics::counter!("daisydrum_silent_attempts_total").increment(1);
        if !self.is_alive().await {
            return None;
        }
        time::timeout(limit, progress).await.ok()
    }

    /// Probes the target: an engine must respond to a request; another target or instance must accept a connection.
    async fn is_alive(&self) -> bool {
        if self.call.completion.is_none() || self.attempt.relay {
            return connection::accepts(self.dispatch.address).await;
        }
        connection::probe(self.dispatch.address, self.protocol.probe()).await
    }
}

fn is_event_stream(head: &http::response::Parts) -> bool {
    let kind = head.headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}
