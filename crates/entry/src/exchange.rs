//! One attempt of a call: sends it to a target and returns the response step by step.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use hyper::{
    Response,
    body::{Body as _, Frame, Incoming},
    header::CONTENT_TYPE,
    http,
};
use route::request::{Dispatch, Event, Retry};
use telemetry::span;
use tokio_util::task::AbortOnDropHandle;
use wire::outcome;

use crate::{
    body::Body,
    call::Call,
    connection::{self, Connection},
    event::{self, Splitter},
    protocol::{self, Protocol},
    response, transfer,
    watch::{self, Watch},
};

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// What an attempt brings next.
#[derive(Debug)]
pub(crate) enum Step {
    /// An event of the stream. The response is complete only with the closing event.
    Event(event::Event),
    /// The complete response, which was buffered so that another attempt could replace it.
    Whole(Response<Body>),
    /// The head of a response that is forwarded as it arrives, because its length is unknown or too large to buffer.
    Head(http::response::Parts),
    /// A part of that response.
    Part(Bytes),
    /// The end of that response.
    End,
    /// That response ended before it was complete, and no other attempt can continue it.
    Cut,
    /// The response is too large to buffer.
    Oversized,
    /// The target has been silent for too long; the attempt still runs.
    Silent,
    /// The attempt has failed or was refused.
    Failed(Event),
}

/// A connection over which a request was sent, and its response.
type Reply = (Connection, Result<Response<Incoming>, connection::Error>);

/// How far an attempt is.
#[derive(Debug)]
enum Phase {
    /// The prompt is computed elsewhere if the attempt is disaggregated, and the connection is opened.
    Opening(AbortOnDropHandle<Result<Opened, connection::Error>>),
    /// The head of the response is awaited.
    Sent(AbortOnDropHandle<Reply>),
    /// Tokens are returned as they arrive.
    Events(Source, Splitter),
    /// The response is buffered until it is complete.
    Buffering(Source, BytesMut),
    /// The response of a plain service is returned as it arrives.
    Forwarding(Source),
    Ended,
}

/// A connection to a target, and the handle of the imported KV cache if there is one.
#[derive(Debug)]
struct Opened {
    connection: Connection,
    kv_handle: Option<String>,
}

/// The body of a response, with the connection over which it arrives.
#[derive(Debug)]
struct Source {
    body: Incoming,
    _connection: Connection,
}

impl Source {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }
}

/// An attempt that runs; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Exchange<P> {
    pub(crate) dispatch: Dispatch,
    pub(crate) attempt: protocol::Attempt,
    pub(crate) span: span::Span,
    /// Head of the stream of tokens, once it has arrived.
    pub(crate) head: Option<http::response::Parts>,
    protocol: P,
    call: Arc<Call>,
    phase: Phase,
    watch: Watch,
}

impl<P: Protocol> Exchange<P> {
    /// Starts an attempt for the rest of a response of which the caller has received `delivered` tokens.
    pub(crate) fn start(protocol: P, call: Arc<Call>, dispatch: Dispatch, delivered: u32) -> Self {
        let mut span = span::Span::start("attempt", Some(call.span));
        span.set("target", &dispatch.target);
        span.set("attempt", &dispatch.attempt);
        let attempt = protocol::Attempt {
            span: span.context,
            model: dispatch.model.clone(),
            delivered,
            kv_handle: None,
            relay: dispatch.relay,
        };
        let opening = open(dispatch.clone(), call.body.clone());
        Exchange {
            watch: Watch::new(call.binding.service.settings.limits.progress_ms),
            dispatch,
            attempt,
            span,
            head: None,
            protocol,
            call,
            phase: Phase::Opening(AbortOnDropHandle::new(tokio::spawn(opening))),
        }
    }

    /// Records that the caller has taken a part, so that the time for which it did not is no silence of the target.
    pub(crate) fn touch(&mut self) {
        self.watch.touch();
    }

    /// Polls for the next step. A step is lost only if the exchange is dropped.
    pub(crate) fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let step = self.poll_response(context);
        if step.is_ready() {
            return step;
        }
        match self.phase {
            // No other attempt can continue a response that is forwarded as it arrives.
            Phase::Opening(_) | Phase::Forwarding(..) | Phase::Ended => Poll::Pending,
            Phase::Sent(_) | Phase::Events(..) | Phase::Buffering(..) => self.poll_watch(context),
        }
    }

    fn poll_watch(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let (address, protocol) = (self.dispatch.address, &self.protocol);
        let answers = self.call.completion.is_some() && !self.attempt.relay;
        let probe = || if answers { Some(protocol.probe()) } else { None };
        self.watch.poll_silence(address, probe, context).map(|watch::Silent| Step::Silent)
    }

    fn poll_response(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        loop {
            let step = match &mut self.phase {
                Phase::Opening(opening) => match ready!(Pin::new(opening).poll(context)) {
                    Ok(Ok(opened)) => self.send(opened),
                    Ok(Err(_)) => Some(Step::Failed(Event::Unsent)),
                    Err(_ended) => Some(Step::Failed(Event::Broken)),
                },
                Phase::Sent(reply) => match ready!(Pin::new(reply).poll(context)) {
                    Ok((connection, Ok(response))) => self.receive(connection, response),
                    Ok((_, Err(_))) | Err(_) => Some(Step::Failed(Event::Broken)),
                },
                Phase::Events(source, splitter) => {
                    if let Some(event) = splitter.take() {
                        return Poll::Ready(Step::Event(event));
                    }
                    match ready!(source.poll(context)) {
                        Some(Ok(frame)) => self.split(frame),
                        Some(Err(_)) | None => Some(Step::Failed(Event::Broken)),
                    }
                }
                Phase::Buffering(source, _) => match ready!(source.poll(context)) {
                    Some(Ok(frame)) => self.buffer(frame),
                    Some(Err(_)) => Some(Step::Failed(Event::Broken)),
                    None => Some(self.finish()),
                },
                Phase::Forwarding(source) => match ready!(source.poll(context)) {
                    Some(Ok(frame)) => {
                        return Poll::Ready(Step::Part(frame.into_data().unwrap_or_default()));
                    }
                    Some(Err(_)) => Some(Step::Cut),
                    None => Some(Step::End),
                },
                Phase::Ended => return Poll::Pending,
            };
            if let Some(step) = step {
                if !matches!(step, Step::Head(_)) {
                    self.phase = Phase::Ended;
                }
                return Poll::Ready(step);
            }
        }
    }

    /// Sends the request.
    fn send(&mut self, opened: Opened) -> Option<Step> {
        self.attempt.kv_handle = opened.kv_handle;
        let request = self.protocol.request(&self.call, &self.attempt);
        let mut connection = opened.connection;
        let reply = async move {
            let response = connection.send(request).await;
            (connection, response)
        };
        self.watch.touch();
        self.phase = Phase::Sent(AbortOnDropHandle::new(tokio::spawn(reply)));
        None
    }

    /// Takes the head of a response, unless it is a refusal or an error that another attempt may avoid.
    fn receive(&mut self, connection: Connection, response: Response<Incoming>) -> Option<Step> {
        self.watch.touch();
        let (mut head, body) = response.into_parts();
        if let Some(refusal) = self.protocol.refusal(&head) {
            return Some(Step::Failed(refusal));
        }
        let is_completion = self.call.completion.is_some();
        if is_completion && head.status.is_server_error() {
            return Some(Step::Failed(Event::Broken));
        }
        protocol::strip_hop_headers(&mut head.headers);
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let source = Source { body, _connection: connection };
        if is_completion && is_event_stream(&head) {
            self.head = Some(head);
            self.phase = Phase::Events(source, Splitter::default());
            return None;
        }
        let is_small = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        if is_completion || is_small || self.call.retry == Retry::Never {
            self.head = Some(head);
            self.phase = Phase::Buffering(source, BytesMut::new());
            return None;
        }
        self.phase = Phase::Forwarding(source);
        Some(Step::Head(head))
    }

    /// Adds bytes of the stream of tokens.
    fn split(&mut self, frame: Frame<Bytes>) -> Option<Step> {
        self.watch.touch();
        let Phase::Events(_, splitter) = &mut self.phase else {
            return None;
        };
        let pushed = splitter.push(&frame.into_data().unwrap_or_default());
        pushed.is_err().then_some(Step::Failed(Event::Broken))
    }

    /// Adds bytes of a response that is buffered.
    fn buffer(&mut self, frame: Frame<Bytes>) -> Option<Step> {
        self.watch.touch();
        let Phase::Buffering(_, bytes) = &mut self.phase else {
            return None;
        };
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        (bytes.len() > MAX_BUFFERED_BYTES).then_some(Step::Oversized)
    }

    /// Returns the buffered response.
    fn finish(&mut self) -> Step {
        let (Some(head), Phase::Buffering(_, bytes)) = (self.head.take(), &mut self.phase) else {
            return Step::Failed(Event::Broken);
        };
        let body = Body::whole(std::mem::take(bytes).freeze());
        let mut response = Response::from_parts(head, body);
        let is_set = response.headers().contains_key(outcome::HEADER);
        if !(self.attempt.relay && is_set) {
            response::set_execution(&mut response, outcome::Execution::Ran);
        }
        Step::Whole(response)
    }
}

/// Opens the connection of an attempt, after its prompt was computed by another engine if it is disaggregated.
async fn open(dispatch: Dispatch, body: Bytes) -> Result<Opened, connection::Error> {
    let kv_handle = match &dispatch.prefill {
        Some(prefill) => transfer::run(prefill.address, dispatch.address, body).await,
        None => None,
    };
    let connection = Connection::open(dispatch.address).await?;
    Ok(Opened { connection, kv_handle })
}

fn is_event_stream(head: &http::response::Parts) -> bool {
    let kind = head.headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}
