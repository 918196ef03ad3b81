//! The caller's side of a request: sends the response, either as a whole or as a head and a stream of parts.

use bytes::Bytes;
use hyper::{Response, http};
use tokio::{sync::oneshot, time};
use wire::{outcome, unread};

use crate::{
    body::{self, Body},
    response,
};

/// Capacity of the queue of parts for a caller that reads slowly.
const STREAM_PARTS: usize = 64;
/// A comment of the event stream, which clients ignore.
const HEARTBEAT: &[u8] = b": waiting\n\n";

/// The caller has disconnected or reads too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gone;

/// Receives the response: a whole one, or the head of a stream.
pub(crate) type Head = oneshot::Sender<Result<Response<Body>, response::Error>>;

/// State of the response to the caller.
#[derive(Debug)]
pub(crate) enum Output {
    /// Nothing was sent yet.
    Head(Head),
    /// The head was sent; parts follow.
    Stream(body::Sender),
    /// The response is complete or truncated.
    Closed,
}

impl Output {
    /// Whether the head of a stream was sent and the stream is open.
    pub(crate) fn has_begun(&self) -> bool {
        matches!(self, Output::Stream(_))
    }

    /// Sends the head of a stream, unless one was sent before.
    pub(crate) fn begin(&mut self, head: http::response::Parts) {
        if let Output::Head(_) = self {
            let (sender, body) = Body::stream(STREAM_PARTS);
            let mut response = Response::from_parts(head, body);
            response::set_execution(&mut response, outcome::Execution::Ran);
            self.send(Ok(response));
            *self = Output::Stream(sender);
        }
    }

    /// Sends a part of the stream.
    pub(crate) async fn send_part(&mut self, part: Bytes) -> Result<(), Gone> {
        let Output::Stream(sender) = self else {
            return Err(Gone);
        };
        let sent = time::timeout(unread::LIMIT, sender.send(part)).await;
        sent.map_err(|_elapsed| Gone)?.map_err(|_dropped| Gone)
    }

    /// Sends a comment in an open stream, so that the caller doesn't take the pause for a dead connection.
    pub(crate) fn send_heartbeat(&self) {
        if let Output::Stream(sender) = self {
            sender.send_optional(Bytes::from_static(HEARTBEAT));
        }
    }

    /// Sends a whole response.
    pub(crate) fn send_whole(&mut self, response: Response<Body>) {
        self.send(Ok(response));
    }

    /// Sends an error: as the response, or as the last event of an open stream, which is then truncated.
    pub(crate) async fn fail(&mut self, error: response::Error) {
        if let Output::Stream(sender) = self {
            let event = Bytes::from(format!("data: {}\n\n", error.json()));
            // This fails only if the caller has disconnected or doesn't read.
            let _unsent = time::timeout(unread::LIMIT, sender.send(event)).await;
        }
        self.send(Err(error));
    }

    /// Ends an open stream as complete.
    pub(crate) fn finish(&mut self) {
        if let Output::Stream(sender) = std::mem::replace(self, Output::Closed) {
            sender.finish();
        }
    }

    /// Ends an open stream with an error, which closes the connection, so that the caller sees that the response is
    /// incomplete.
    pub(crate) fn truncate(&mut self) {
        *self = Output::Closed;
    }

    /// Sends the response or its head, unless one was sent before.
    fn send(&mut self, response: Result<Response<Body>, response::Error>) {
        if let Output::Head(head) = std::mem::replace(self, Output::Closed) {
            // This fails only if the caller has disconnected.
            let _unsent = head.send(response);
        }
    }
}
