//! Delivery of the parts of a response that fails.
//!
//! When a body fails, `hyper` closes the connection and drops what it has buffered: parts that arrive together with the
//! failure, and the response head, would not reach the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use hyper::body::{self, Frame, SizeHint};
use wire::flush;

/// A body that fails only when all parts before have been flushed to its connection.
#[derive(Debug)]
pub struct Body<B: body::Body> {
    inner: B,
    flushes: flush::Counter,
    failure: Option<Failure<B::Error>>,
}

#[derive(Clone, Copy, Debug)]
struct Failure<E> {
    error: E,
    /// Flushes that were completed before.
    completed: u64,
}

impl<B: body::Body> Body<B> {
    /// Wraps the body of a response on the connection whose flushes are counted.
    pub fn new(inner: B, flushes: flush::Counter) -> Body<B> {
        Body { inner, flushes, failure: None }
    }
}

impl<B> body::Body for Body<B>
where
    B: body::Body<Error: Copy + Unpin> + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if self.failure.is_none() {
            match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
                Some(Err(error)) => {
                    let completed = self.flushes.completed();
                    self.failure = Some(Failure { error, completed });
                }
                frame => return Poll::Ready(frame),
            }
        }
        let Some(Failure { error, completed }) = self.failure else {
            return Poll::Ready(None);
        };
        self.flushes.poll_beyond(completed, context).map(|()| Some(Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
