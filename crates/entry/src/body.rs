//! Bodies of responses to callers.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
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
    /// Parts as they arrive.
    Stream {
        /// The parts.
        parts: mpsc::Receiver<Bytes>,
        /// Whether all parts were sent.
        complete: Arc<AtomicBool>,
        /// Cancels its token when the body is dropped, which is when the caller has disconnected or has read it all.
        _gone: Option<DropGuard>,
    },
}

/// Sends the parts of a body; the body is truncated unless [`Sender::finish`] is called.
#[derive(Debug)]
pub struct Sender {
    parts: mpsc::Sender<Bytes>,
    complete: Arc<AtomicBool>,
}

/// The body was dropped, for example because the caller has disconnected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the body was dropped")]
pub struct Dropped;

impl Sender {
    /// Sends a part; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the body was dropped.
    pub async fn send(&self, part: Bytes) -> Result<(), Dropped> {
        self.parts.send(part).await.map_err(|_part| Dropped)
    }

    /// Sends a part that may be omitted, unless the queue is full.
    pub fn send_optional(&self, part: Bytes) {
        // Without room the body still has parts to read.
        let _omitted = self.parts.try_send(part);
    }

    /// Ends the body as complete after the parts that were sent.
    pub fn finish(self) {
        self.complete.store(true, Ordering::Release);
    }
}

impl Body {
    /// Creates a body from all its bytes.
    pub fn whole(bytes: Bytes) -> Body {
        Body::Whole(Some(bytes))
    }

    /// Creates a body whose parts are sent, with the capacity of their queue.
    pub fn stream(capacity: usize) -> (Sender, Body) {
        let (sender, parts) = mpsc::channel(capacity);
        let complete = Arc::new(AtomicBool::new(false));
        let body = Body::Stream { parts, complete: Arc::clone(&complete), _gone: None };
        (Sender { parts: sender, complete }, body)
    }

    /// Cancels the guard's token when the body is dropped; a body without parts disarms the guard at once.
    pub fn guarded(self, guard: DropGuard) -> Body {
        match self {
            Body::Whole(_) => {
                guard.disarm();
                self
            }
            Body::Stream { parts, complete, .. } => {
                Body::Stream { parts, complete, _gone: Some(guard) }
            }
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
            Body::Stream { parts, complete, .. } => {
                parts.poll_recv(context).map(|part| match part {
                    Some(part) => Some(Ok(Frame::data(part))),
                    None if complete.load(Ordering::Acquire) => None,
                    None => Some(Err(Truncated)),
                })
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
