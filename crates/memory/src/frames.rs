//! Connections of other instances: length-delimited frames, counted while they arrive.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{self, Sleep},
};

use crate::{
    budget::{Connection, Reservation},
    ledger::Class,
};

/// Length of the big-endian number that begins a frame.
const HEAD_BYTES: usize = 4;
/// Frames are counted beyond this, so that the many small ones cost nothing.
const UNCOUNTED_BYTES: usize = 4 * 1024;
/// Bytes that are read before they are counted.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Time after which room is sought again, and how often that is done.
const RETRY: Duration = Duration::from_millis(100);
const MAX_RETRIES: u32 = 8;

/// How long a complete frame counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// Until the next one begins: it is in use until it is answered.
    UntilNext,
    /// No longer: it is decoded at once.
    UntilRead,
}

/// Where in a frame a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Bytes before the first frame that are yet to come.
    preface: usize,
    head: [u8; HEAD_BYTES],
    head_read: usize,
    /// Bytes of the frame that are yet to come.
    remaining: usize,
    /// Bytes of the frame that have arrived.
    arrived: usize,
}

impl Position {
    /// Before a preface of this many bytes.
    pub fn new(preface: usize) -> Position {
        Position { preface, head: [0; HEAD_BYTES], head_read: 0, remaining: 0, arrived: 0 }
    }

    /// Bytes of the current frame that have arrived.
    pub fn arrived(&self) -> usize {
        self.arrived
    }

    /// Whether the current frame, if there is one, is complete.
    pub fn is_complete(&self) -> bool {
        self.remaining == 0 && self.head_read.is_multiple_of(HEAD_BYTES)
    }

    /// Moves on by bytes that have arrived.
    pub fn advance(&mut self, mut bytes: &[u8]) {
        let preface = self.preface.min(bytes.len());
        self.preface -= preface;
        bytes = &bytes[preface..];
        while !bytes.is_empty() {
            if self.remaining > 0 {
                let now = self.remaining.min(bytes.len());
                self.remaining -= now;
                self.arrived += now;
                bytes = &bytes[now..];
                continue;
            }
            if self.head_read == HEAD_BYTES {
                self.head_read = 0;
            }
            self.arrived = 0;
            self.head[self.head_read] = bytes[0];
            self.head_read += 1;
            bytes = &bytes[1..];
            if self.head_read == HEAD_BYTES {
                self.remaining =
                    usize::try_from(u32::from_be_bytes(self.head)).unwrap_or(usize::MAX);
            }
        }
    }
}

/// A connection whose frames count in the budget while they arrive.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    connection: Connection,
    kept: Kept,
    position: Position,
    reservation: Reservation,
    /// Bytes that found no room yet; nothing more is read until they do.
    uncounted: usize,
    retry: Option<Pin<Box<Sleep>>>,
    retries: u32,
}

impl<S> Stream<S> {
    /// Wraps a connection that begins with a preface of this many bytes.
    pub fn new(inner: S, connection: Connection, kept: Kept, preface: usize) -> Stream<S> {
        let mut reservation = connection.budget().reservation(Class::Frames);
        reservation.set_sheddable(Some(connection.clone()));
        Stream {
            inner,
            connection,
            kept,
            position: Position::new(preface),
            reservation,
            uncounted: 0,
            retry: None,
            retries: 0,
        }
    }

    /// Counts what has arrived; fails if there is no room for it for a while.
    fn poll_count(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(retry) = &mut self.retry {
                ready!(retry.as_mut().poll(context));
                self.retry = None;
            }
            let counted = self.uncounted == 0 || self.reservation.resize(self.uncounted);
            // The last bytes of a complete frame are few, and failing would lose its answer.
            if counted || self.position.is_complete() {
                self.uncounted = 0;
                self.retries = 0;
                return Poll::Ready(Ok(()));
            }
            self.retries += 1;
            if self.retries > MAX_RETRIES {
                return Poll::Ready(Err(io::Error::other("no memory is left for the frame")));
            }
            self.retry = Some(Box::pin(time::sleep(RETRY)));
        }
    }

    fn record(&mut self, bytes: &[u8]) {
        self.connection.record_progress(bytes.len());
        self.position.advance(bytes);
        let is_complete = self.position.is_complete();
        let arrived = self.position.arrived();
        let counted = if arrived <= UNCOUNTED_BYTES { 0 } else { arrived };
        if is_complete && self.kept == Kept::UntilRead {
            self.reservation.resize(0);
        } else if counted > self.reservation.bytes() {
            self.uncounted = counted;
        } else if counted < self.reservation.bytes() {
            self.reservation.resize(counted);
        }
        if is_complete {
            self.connection.record_turn();
        }
        // One that is complete is in use: closing the connection would lose the answer.
        if self.kept == Kept::UntilNext {
            self.reservation.set_sheddable((!is_complete).then(|| self.connection.clone()));
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_count(context))?;
        let room = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
        self.record(part.filled());
        let read = part.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.connection.record_progress(written);
        Poll::Ready(Ok(written))
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
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(context, buffers))?;
        self.connection.record_progress(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
