//! The side of a request that faces the caller: a head once, then parts.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, http};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use wire::outcome;

use crate::{
    body::{Body, Truncated},
    response,
};

/// Parts that wait for a slow reader.
const STREAM_PARTS: usize = 64;
/// Longest time for which a reader may take no part.
const READER_LIMIT: Duration = Duration::from_secs(30);
const HEARTBEAT: &[u8] = b": waiting\n\n";

/// The caller has gone, or reads too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gone;

/// What an answer's head waits for.
pub(crate) type Head = oneshot::Sender<Result<Response<Body>, response::Error>>;

/// The caller's side of a request.
#[derive(Debug)]
pub(crate) enum Output {
    /// Nothing was given yet.
    Head(Head),
    /// The head was given, parts follow.
    Stream(mpsc::Sender<Result<Bytes, Truncated>>),
    /// All was given.
    Closed,
}

impl Output {
    /// Whether parts are being given.
    pub(crate) fn has_begun(&self) -> bool {
        matches!(self, Output::Stream(_))
    }

    /// Gives the head of an answer whose parts follow; a head that was given before stands.
    pub(crate) fn begin(&mut self, head: http::response::Parts) {
        if let Output::Head(_) = self {
            let (sender, parts) = mpsc::channel(STREAM_PARTS);
            let mut response = Response::from_parts(head, Body::stream(parts));
            response::set_execution(&mut response, outcome::Execution::Ran);
            self.give(Ok(response));
            *self = Output::Stream(sender);
        }
    }

    /// Gives a part of the answer.
    pub(crate) async fn part(&mut self, part: Bytes) -> Result<(), Gone> {
        let Output::Stream(sender) = self else {
            return Err(Gone);
        };
        let sent = time::timeout(READER_LIMIT, sender.send(Ok(part))).await;
        sent.map_err(|_elapsed| Gone)?.map_err(|_closed| Gone)
    }

    /// Tells a caller who holds a part of a stream that the rest is still to come.
    pub(crate) fn heartbeat(&self) {
        if let Output::Stream(sender) = self {
            // A full channel means that the caller has parts to read.
            let _unsent = sender.try_send(Ok(Bytes::from_static(HEARTBEAT)));
        }
    }

    /// Gives a whole answer.
    pub(crate) fn whole(&mut self, response: Response<Body>) {
        self.give(Ok(response));
    }

    /// Gives a fault: as the answer where none has begun, else as a last event before the connection is cut.
    pub(crate) async fn fail(&mut self, error: response::Error) {
        if let Output::Stream(sender) = self {
            let event = Bytes::from(format!("data: {}\n\n", error.json()));
            let sent = time::timeout(READER_LIMIT, sender.send(Ok(event))).await;
            if sent.is_ok_and(|sent| sent.is_ok()) {
                // The caller has gone where this can't be sent.
                let _unsent = sender.send(Err(Truncated)).await;
            }
        }
        self.give(Err(error));
    }

    /// Cuts the connection, so that the caller sees that the answer is not whole.
    pub(crate) async fn cut(&mut self) {
        if let Output::Stream(sender) = self {
            // The caller has gone where this can't be sent.
            let _unsent = time::timeout(READER_LIMIT, sender.send(Err(Truncated))).await;
        }
        *self = Output::Closed;
    }

    fn give(&mut self, answer: Result<Response<Body>, response::Error>) {
        if let Output::Head(head) = std::mem::replace(self, Output::Closed) {
            // A caller that has gone needs no answer.
            let _unsent = head.send(answer);
        }
    }
}
