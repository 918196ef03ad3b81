//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;
use tokio_util::sync::DropGuard;

/// The answer broke off; the connection is closed so that the caller sees it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer broke off")]
pub struct Truncated;

/// A body that is known whole, or one that arrives in parts.
#[derive(Debug)]
pub enum Body {
    /// All bytes; `None` once they are taken.
    Whole(Option<Bytes>),
    /// Parts as they arrive; the body ends when the sender is dropped.
    Stream {
        /// The parts.
        parts: mpsc::Receiver<Result<Bytes, Truncated>>,
        /// Cancelled when the caller has gone.
        _gone: Option<DropGuard>,
    },
}

impl Body {
    /// A body that is known whole.
    pub fn whole(bytes: Bytes) -> Body {
        Body::Whole(Some(bytes))
    }

    /// A body that arrives in parts.
    pub fn stream(parts: mpsc::Receiver<Result<Bytes, Truncated>>) -> Body {
        Body::Stream { parts, _gone: None }
    }

    /// Cancels the guard's token when the body is dropped.
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
