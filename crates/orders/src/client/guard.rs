//! A connection that refuses to write once the lease has ended.
//!
//! The lease is checked in the same call that writes to the socket, so that a process that was paused at any point
//! before notices that its term is over.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use common::clock::Moment;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::lease;

/// The condition under which bytes may be written to a connection.
#[derive(Clone, Debug)]
pub struct Guard {
    permit: Option<Permit>,
    blocked: Arc<AtomicBool>,
}

#[derive(Clone, Debug)]
struct Permit {
    lease: lease::Cell,
    fencing: u64,
}

/// A connection whose writes a guard checks.
#[derive(Debug)]
pub struct Connection {
    guard: Guard,
    stream: TokioIo<TcpStream>,
}

impl Guard {
    /// A guard that allows every write.
    pub fn unrestricted() -> Guard {
        Guard { permit: None, blocked: Arc::default() }
    }

    /// A guard that allows writes while `lease` is valid and has the fencing token `fencing`.
    pub fn for_lease(lease: lease::Cell, fencing: u64) -> Guard {
        Guard { permit: Some(Permit { lease, fencing }), blocked: Arc::default() }
    }

    /// Guards the writes to `stream`.
    pub fn wrap(self, stream: TcpStream) -> Connection {
        Connection { guard: self, stream: TokioIo::new(stream) }
    }

    /// Whether a write was blocked; in that case no complete order has been written.
    pub fn has_blocked(&self) -> bool {
        self.blocked.load(Ordering::Acquire)
    }

    fn check(&self) -> io::Result<()> {
        match &self.permit {
            Some(permit) if !permit.lease.permits(permit.fencing, Moment::now()) => {
                self.blocked.store(true, Ordering::Release);
                Err(io::Error::from(io::ErrorKind::PermissionDenied))
            }
            _ => Ok(()),
        }
    }
}

impl Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.guard.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
