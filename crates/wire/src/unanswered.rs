//! Requests that are given up before their responses begin.
//!
//! A closed connection still delivers what is in its send buffer, so that a target could run a request whose caller was
//! told otherwise, or has left.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether a request over a connection awaits its response; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Request(Arc<AtomicBool>);

impl Request {
    /// Records that a request is about to be sent.
    pub fn begin(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Records the head of its response.
    pub fn end(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// A connection that is reset, and its unsent data discarded, if it is dropped while a request awaits its response.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    request: Request,
}

impl Stream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, request: Request) -> Stream {
        Stream { inner, request }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.request.0.load(Ordering::Acquire) {
            // This fails only if the connection has ended already.
            let _ended = SockRef::from(&self.inner).set_linger(Some(Duration::ZERO));
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
        Pin::new(&mut self.inner).poll_write(context, bytes)
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
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
