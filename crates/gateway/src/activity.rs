//! Use of a caller's connection: whether it is idle, and when its caller last took a part of a response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use common::clock::Moment;
use entry::{
    body::{Body, Truncated},
    flush,
};
use hyper::body::{self, Frame, SizeHint};
use memory::budget::Connection;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use wire::unread;

/// Use of one connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Activity(Arc<State>);

#[derive(Debug)]
struct State {
    /// Requests whose responses have not been handed over to the connection completely.
    in_progress: AtomicUsize,
    /// Whether the caller has yet to take bytes of a response whose body has been handed over.
    has_unsent: AtomicBool,
    /// When the last response was sent, or the first byte of the next request was read.
    quiet_since: AtomicU64,
    /// Whether a part of the next request was read.
    has_read: AtomicBool,
    /// Idle limit in force when the last response ended, in milliseconds.
    limit_ms: AtomicU64,
    /// When the kernel last accepted a part of a response.
    written_at: AtomicU64,
    /// The connection in the budget of the instance.
    connection: Connection,
}

impl Activity {
    /// A connection that was just accepted, while this idle limit is in force.
    pub(crate) fn new(limit: Duration, now: Moment, connection: Connection) -> Activity {
        Activity(Arc::new(State {
            in_progress: AtomicUsize::new(0),
            has_unsent: AtomicBool::new(false),
            quiet_since: AtomicU64::new(now.0),
            has_read: AtomicBool::new(false),
            limit_ms: AtomicU64::new(milliseconds(limit)),
            written_at: AtomicU64::new(now.0),
            connection,
        }))
    }

    /// When the kernel last accepted a part of a response.
    pub(crate) fn written_at(&self) -> Moment {
        Moment(self.0.written_at.load(Ordering::Acquire))
    }

    /// Has the connection closed at once; returns whether nobody did before.
    pub(crate) fn disconnect(&self) -> bool {
        let first = !self.0.connection.is_closed();
        self.0.connection.close();
        first
    }

    /// The connection in the budget of the instance.
    pub(crate) fn connection(&self) -> &Connection {
        &self.0.connection
    }

    /// Waits until the connection is to be closed at once.
    pub(crate) async fn disconnected(&self) {
        self.0.connection.closed().await;
    }

    /// Time until the connection may be closed; zero if that is now.
    ///
    /// A caller may reuse it for as long as the limit allowed when its last response ended, and for as long as the
    /// `limit` in force now allows. A request that is not read completely within that time counts as idle, too.
    pub(crate) fn time_left(&self, limit: Duration, now: Moment) -> Duration {
        let limit = limit.max(Duration::from_millis(self.0.limit_ms.load(Ordering::Acquire)));
        if self.0.in_progress.load(Ordering::Acquire) > 0
            || self.0.has_unsent.load(Ordering::Acquire)
        {
            return limit;
        }
        (Moment(self.0.quiet_since.load(Ordering::Acquire)) + limit).since(now)
    }

    /// Records that a request was read, until the result is dropped.
    pub(crate) fn begin_request(&self) -> InProgress {
        self.0.in_progress.fetch_add(1, Ordering::AcqRel);
        self.0.connection.record_turn();
        InProgress(self.clone())
    }

    /// Records the idle limit that the caller of the current request may rely on.
    pub(crate) fn set_limit(&self, limit: Duration) {
        self.0.limit_ms.store(milliseconds(limit), Ordering::Release);
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let now = Moment::now();
        if let Poll::Ready(Ok(bytes @ 1..)) = written {
            self.0.connection.record_progress(*bytes);
            self.0.written_at.store(now.0, Ordering::Release);
        }
        self.0.quiet_since.store(now.0, Ordering::Release);
        self.0.has_unsent.store(written.is_pending(), Ordering::Release);
    }

    fn record_read(&self, bytes: usize) {
        self.0.connection.record_progress(bytes);
        if self.0.in_progress.load(Ordering::Acquire) == 0
            && !self.0.has_read.swap(true, Ordering::AcqRel)
        {
            self.0.quiet_since.store(Moment::now().0, Ordering::Release);
        }
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A request whose response has not been handed over to the connection completely.
#[derive(Debug)]
pub(crate) struct InProgress(Activity);

impl Drop for InProgress {
    fn drop(&mut self) {
        let state = &self.0.0;
        state.connection.record_turn();
        state.quiet_since.store(Moment::now().0, Ordering::Release);
        state.has_read.store(false, Ordering::Release);
        state.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A response body that counts as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) body: flush::Body<Body>,
    pub(crate) _in_progress: InProgress,
}

impl body::Body for Tracked {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose reads and writes are recorded.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) inner: unread::Stream,
    pub(crate) activity: Activity,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.activity.record_read(bytes);
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.activity.record_write(&written);
        written
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
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.activity.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
