//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;
use tokio_util::sync::DropGuard;

/// The response is incomplete; the connection is closed so that the caller notices.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the response is incomplete")]
pub struct Truncated;

/// The body of a response: a single buffer, or a stream of parts.
#[derive(Debug)]
pub enum Body {
    /// All bytes; `None` once they have been sent.
    Whole(Option<Bytes>),
    /// Parts as they arrive; the body ends when the sender is dropped.
    Stream {
        /// The parts.
        parts: mpsc::Receiver<Result<Bytes, Truncated>>,
        /// Cancels its token when the body is dropped, which is when the caller has disconnected or has read it all.
        _gone: Option<DropGuard>,
    },
}

impl Body {
    /// Creates a body from all its bytes.
    pub fn whole(bytes: Bytes) -> Body {
        Body::Whole(Some(bytes))
    }

    /// Creates a body whose parts arrive over a channel.
    pub fn stream(parts: mpsc::Receiver<Result<Bytes, Truncated>>) -> Body {
        Body::Stream { parts, _gone: None }
    }

    /// Cancels the guard's token when the body is dropped; a body without parts disarms the guard at once.
    pub fn guarded(self, guard: DropGuard) -> Body {
        match self {
            Body::Whole(_) => {
                guard.disarm();
                self
            }
            Body::Stream { parts, .. } => Body::Stream { parts, _gone: Some(guard) },
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Stream { parts, .. } => {
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Stream { .. } => SizeHint::default(),
        }
    }
}
