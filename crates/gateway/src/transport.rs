//! TCP stream to a target that fails once the target has sent too many interim responses (1xx) to one request.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    task::{Context, Poll},
};

use hyper::{Response, Version, body::Incoming, header::CONNECTION};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use wire::unanswered;

use crate::connection;

/// Interim responses to a request before the connection is given up.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// The current request of a connection, its interim responses and the number of requests; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exchange(Arc<State>);

#[derive(Debug, Default)]
struct State {
    unanswered: unanswered::Request,
    interim_responses: AtomicU32,
    requests: AtomicU32,
    persistent: AtomicBool,
}

impl Exchange {
    /// Begins with a request.
    pub(crate) fn begin(&self) {
        self.0.unanswered.begin();
        self.0.interim_responses.store(0, Ordering::Relaxed);
        self.0.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the current request is the first one.
    pub(crate) fn is_first(&self) -> bool {
        self.0.requests.load(Ordering::Relaxed) == 1
    }

    /// Counts an interim response.
    pub(crate) fn count_interim_response(&self) {
        self.0.interim_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the head of the response.
    pub(crate) fn record_head(&self, response: &Response<Incoming>) {
        self.0.unanswered.end();
        self.0.persistent.store(is_persistent(response), Ordering::Relaxed);
    }

    /// Whether the last response announced that the connection stays open.
    pub(crate) fn is_persistent(&self) -> bool {
        self.0.persistent.load(Ordering::Relaxed)
    }

    fn is_exceeded(&self) -> bool {
        self.0.interim_responses.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}

/// Whether the connection stays open after a response (RFC 9112, section 9.3).
fn is_persistent(response: &Response<Incoming>) -> bool {
    let mut options = response
        .headers()
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.to_str().unwrap_or_default().split(',').map(str::trim));
    response.version() == Version::HTTP_11
        && !connection::is_unframed(response)
        && !options.any(|option| option.eq_ignore_ascii_case("close"))
}

/// The stream.
#[derive(Debug)]
pub(crate) struct Transport {
    stream: unanswered::Stream,
    exchange: Exchange,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, exchange: Exchange) -> Transport {
        let stream = unanswered::Stream::new(stream, exchange.0.unanswered.clone());
        Transport { stream, exchange }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.exchange.is_exceeded() {
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
