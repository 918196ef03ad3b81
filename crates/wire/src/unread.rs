//! A limit on the time for which a caller takes nothing of its response.

use std::{
    future::Future,
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

use crate::flush;

/// A caller that takes nothing for this time is disconnected, so that its response doesn't occupy memory for longer.
///
/// One that reads slowly takes something in this time, although the kernel reports space only once about a third of the
/// send buffer (`tcp_wmem`, 4 MB at most by default) is free.
pub const LIMIT: Duration = Duration::from_secs(60);

/// A connection that fails once its caller has taken no data for a time.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    limit: Duration,
    /// Ends when the limit is reached; nothing while data is accepted.
    expiry: Option<Pin<Box<Sleep>>>,
    flushes: flush::Counter,
}

impl Stream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, limit: Duration) -> Stream {
        Stream { inner, limit, expiry: None, flushes: flush::Counter::default() }
    }

    /// Counts its completed flushes.
    pub fn flushes(&self) -> flush::Counter {
        self.flushes.clone()
    }

    /// Tries a write that was not accepted once more when the limit is reached, and fails if that isn't accepted either.
    fn check(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.expiry = None;
            return written;
        }
        let limit = self.limit;
        let expiry = self.expiry.get_or_insert_with(|| Box::pin(time::sleep(limit)));
        if expiry.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.expiry = None;
        // The kernel takes what fits, also before it reports that there is space.
        match SockRef::from(&self.inner).send_vectored(buffers) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let error = io::Error::new(ErrorKind::TimedOut, "the caller reads nothing");
                Poll::Ready(Err(error))
            }
            sent => Poll::Ready(sent),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check(context, written, &[IoSlice::new(bytes)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            self.flushes.record();
        }
        flushed
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
        self.check(context, written, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
