//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off; the connection is closed so that the caller sees it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer broke off")]
pub struct Cut;

/// A body that is known whole, or one that arrives in parts.
#[derive(Debug)]
pub enum Body {
    /// All bytes; `None` once they are taken.
    Whole(Option<Bytes>),
    /// Parts as they arrive; the body ends when the sender is dropped.
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body {
    /// A body that is known whole.
    pub fn whole(bytes: Bytes) -> Body {
        Body::Whole(Some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Stream(parts) => {
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
