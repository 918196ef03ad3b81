//! TCP stream to a target that fails once the target has sent too many interim responses (1xx) to one request.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Interim responses to a request before the connection is given up.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Interim responses to the current request of a connection; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interim(Arc<AtomicU32>);

impl Interim {
    /// Counts one more.
    pub(crate) fn count(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Begins to count for the next request.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}

/// The stream.
#[derive(Debug)]
pub(crate) struct Transport {
    stream: TcpStream,
    interim: Interim,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, interim: Interim) -> Transport {
        Transport { stream, interim }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim.is_exceeded() {
            return Poll::Ready(Err(io::Error::other("too many interim responses")));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
