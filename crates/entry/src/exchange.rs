//! One attempt: sends a call to a target and passes its answer on.

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

/// Largest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The router decides what follows.
    Event(Event),
    /// The caller has gone or reads too slowly.
    Gone,
    /// The caller holds a part of an answer that can't be continued; it was cut.
    Cut,
}

/// One attempt of a call.
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
    /// Runs the attempt to its end.
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
        let Some(Ok(response)) = self.patient(connection.send(request)).await else {
            return Ending::Event(Event::Broken);
        };
        self.pass_on(response).await
    }

    async fn pass_on(&mut self, response: Response<Incoming>) -> Ending {
        let (mut head, body) = response.into_parts();
        if let Some(refusal) = self.protocol.refusal(&head) {
            return Ending::Event(refusal);
        }
        let model = self.call.completion.is_some();
        if model && head.status.is_server_error() {
            return Ending::Event(Event::Broken);
        }
        protocol::strip_hop_headers(&mut head.headers);
        if model && is_event_stream(&head) {
            return self.stream(head, body).await;
        }
        if self.output.has_begun() {
            return Ending::Event(Event::Broken);
        }
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let holds = length.is_some_and(|length| length <= MAX_WHOLE_BYTES);
        if model || holds || self.call.retry == Retry::Never {
            return self.whole(head, body).await;
        }
        self.pass_through(head, body).await
    }

    /// Passes tokens on as they come; the answer is whole once the engine says that it is done.
    async fn stream(&mut self, head: http::response::Parts, mut body: Incoming) -> Ending {
        let mut splitter = Splitter::default();
        loop {
            let Some(Some(Ok(frame))) = self.patient(body.frame()).await else {
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
                if self.output.has_begun() && self.output.part(event.0).await.is_err() {
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

    /// Holds an answer until it is whole, so that another attempt can take its place.
    async fn whole(&mut self, head: http::response::Parts, mut body: Incoming) -> Ending {
        let mut bytes = BytesMut::new();
        loop {
            let frame = match self.patient(body.frame()).await {
                Some(Some(Ok(frame))) => frame,
                Some(None) => break,
                _ => return Ending::Event(Event::Broken),
            };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            if bytes.len() > MAX_WHOLE_BYTES {
                self.output.fail(response::Error::ResponseTooLarge).await;
                return Ending::Cut;
            }
        }
        let mut response = Response::from_parts(head, Body::whole(bytes.freeze()));
        let told = response.headers().contains_key(outcome::HEADER);
        if !(self.attempt.relay && told) {
            response::set_execution(&mut response, outcome::Execution::Ran);
        }
        self.output.whole(response);
        Ending::Event(Event::Finished)
    }

    /// Passes a plain answer of unknown or great length on as it comes.
    async fn pass_through(&mut self, head: http::response::Parts, mut body: Incoming) -> Ending {
        self.start(&head).await;
        loop {
            let frame = match self.patient(body.frame()).await {
                Some(Some(Ok(frame))) => frame,
                Some(None) => return Ending::Event(Event::Finished),
                _ => {
                    self.output.cut().await;
                    return Ending::Cut;
                }
            };
            let part: Bytes = frame.into_data().unwrap_or_default();
            if self.output.part(part).await.is_err() {
                return Ending::Gone;
            }
        }
    }

    /// Reports the first token and gives the caller the answer's head.
    async fn start(&mut self, head: &http::response::Parts) {
        let Dispatch { ticket, attempt, .. } = *self.dispatch;
        if self.progress.delivered == self.attempt.delivered {
            let event = Event::Started;
            self.router.report(router::Report { ticket, attempt, event }).await;
        }
        self.output.begin(head.clone());
    }

    /// Waits for a step of the target, but not for a silent one.
    ///
    /// After the service's limit the target is probed over a new connection. One that doesn't answer is taken as
    /// dead at once; one that does has the same time once more, since its connection may be the fault.
    async fn patient<F: Future>(&self, step: F) -> Option<F::Output> {
        let limit = Duration::from_millis(self.call.binding.service.settings.limits.progress_ms);
        tokio::pin!(step);
        if let Ok(output) = time::timeout(limit, step.as_mut()).await {
            return Some(output);
        }
        metrics::counter!("daisydrum_silent_attempts_total").increment(1);
        if !self.is_alive().await {
            return None;
        }
        time::timeout(limit, step).await.ok()
    }

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
