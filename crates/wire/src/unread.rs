//! A limit on the time for which a caller takes nothing of its response.

use std::{
    future::Future,
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{self, Sleep},
};

/// A caller that takes nothing for this time is disconnected, so that its response doesn't occupy memory for longer.
///
/// The kernel accepts more data once about a third of its send buffer (`tcp_wmem`, 4 MB at most by default) is free; a
/// caller with more than that ahead of it has to read a third of it in this time.
pub const LIMIT: Duration = Duration::from_secs(60);

/// A connection that fails once it has accepted no data for a time.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    limit: Duration,
    /// Ends when the limit is reached; nothing while data is accepted.
    expiry: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a connection.
    pub fn new(inner: S, limit: Duration) -> Stream<S> {
        Stream { inner, limit, expiry: None }
    }

    /// Fails a write that was not accepted if the limit is reached.
    fn check<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.expiry = None;
            return written;
        }
        let limit = self.limit;
        let expiry = self.expiry.get_or_insert_with(|| Box::pin(time::sleep(limit)));
        if expiry.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, "the caller reads nothing")))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.check(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
