//! HTTP/1.1 connections to targets.

use std::{
    error::Error as _,
    io::{self, ErrorKind},
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    client::conn::http1,
    ext,
    header::TRANSFER_ENCODING,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::oneshot,
    task::JoinHandle,
    time,
};
use wire::socket::{self, Kind};

use crate::transport::{Exchange, Transport};

/// Timeout for establishing a connection; round trips take a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for a connection that is established in the background. A connection whose first packet was lost, or found the
/// target's queue full, takes one second, or three.
pub(crate) const SLOW_CONNECT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Maximum size of a connection's read buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Idle time up to which a connection is reused; a shorter one follows if the target announces a short timeout.
///
/// It is also the upper bound: a connection that was idle longer may have been closed by the target, whatever timeout
/// it announces.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Share of the Keep-Alive timeout announced by a target for which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Why a request got no response head.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[display("the request was not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// No byte of the request was sent: nothing listens at the address, though the machine answers.
    #[display("the request was not sent: {_0}")]
    Refused(#[error(not(source))] String),
    /// No byte of the request was sent: no connection was made yet, but it may be.
    #[display("the request was not sent: no connection within {CONNECT_TIMEOUT:?}")]
    Slow(#[error(not(source))] Pending),
    /// The target may have received the request.
    #[display("the request may have been sent, but there is no response: {_0}")]
    MaybeSent(hyper::Error),
}

impl Error {
    /// Whether the target closed the connection before it sent a response head.
    pub fn is_closed(&self) -> bool {
        let Error::MaybeSent(error) = self else {
            return false;
        };
        let io_error = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_reset = io_error.is_some_and(|error| {
            matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)
        });
        error.is_incomplete_message() || is_reset
    }
}

/// An attempt to connect that goes on. The connection goes into the pool if this is dropped before it is made.
#[derive(Debug)]
pub struct Pending(pub(crate) oneshot::Receiver<Result<Connection, Error>>);

impl Pending {
    /// Waits until the connection is made.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] or [`Error::NotSent`] when the attempt fails, or isn't over after `limit`.
    pub async fn wait(self, limit: Duration) -> Result<Connection, Error> {
        match time::timeout(limit, self.0).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(ended)) => Err(Error::NotSent(ended.to_string())),
            Err(elapsed) => Err(Error::NotSent(elapsed.to_string())),
        }
    }
}

/// Whether a status ends a request (RFC 9110, section 15): 101 answers an upgrade that is never asked for, and numbers above 599
/// have no meaning to callers.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Whether the end of a response's body is shown only by the end of its connection (RFC 9112, section 6.3, item 8).
pub fn is_unframed(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_none()
        && !response.headers().contains_key(TRANSFER_ENCODING)
}

/// A connection that is closed when it is dropped; a request that awaits its response is not delivered any further.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    exchange: Exchange,
    idle_limit: Duration,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to a target, from `source` if it is given.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when nothing listens at the address, and [`Error::NotSent`] when no connection was
    /// established in time.
    pub async fn open(address: SocketAddr, source: Option<IpAddr>) -> Result<Connection, Error> {
        Connection::open_within(address, source, CONNECT_TIMEOUT).await
    }

    /// [`Connection::open`] with a limit of its own.
    pub(crate) async fn open_within(
        address: SocketAddr,
        source: Option<IpAddr>,
        limit: Duration,
    ) -> Result<Connection, Error> {
        Connection::open_as(Kind::Target, address, source, limit).await
    }

    /// Connects to a target for an order.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::open`].
    pub async fn open_for_order(
        address: SocketAddr,
        source: Option<IpAddr>,
    ) -> Result<Connection, Error> {
        Connection::open_as(Kind::Order, address, source, CONNECT_TIMEOUT).await
    }

    async fn open_as(
        kind: Kind,
        address: SocketAddr,
        source: Option<IpAddr>,
        limit: Duration,
    ) -> Result<Connection, Error> {
        let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
        let stream = time::timeout(limit, connect(address, source))
            .await
            .map_err(|elapsed| not_sent(&elapsed))?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => Error::Refused(error.to_string()),
                _ => not_sent(&error),
            })?;
        socket::configure(&stream, kind).map_err(|error| not_sent(&error))?;
        let exchange = Exchange::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(Transport::new(stream, exchange.clone())))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // The error also reaches `send` or the reader of the body.
            let _ended = connection.await;
        });
        Ok(Connection {
            sender,
            driver,
            exchange,
            idle_limit: MAX_IDLE_TIME,
            idle_since: Instant::now(),
        })
    }

    /// Sends a request and returns the response head; the body is read from it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the connection was closed before the request, else [`Error::MaybeSent`].
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.exchange.begin();
        let exchange = self.exchange.clone();
        ext::on_informational(&mut request, move |_response| exchange.count_interim_response());
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|error| {
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else {
                Error::MaybeSent(error)
            }
        })?;
        self.exchange.record_head(&response);
        if let Some(limit) = platform::response::keep_alive_timeout(response.headers()) {
            self.idle_limit = limit.mul_f64(KEEP_ALIVE_SHARE).min(MAX_IDLE_TIME);
        }
        Ok(response)
    }

    /// Whether the target has announced, by its last response, that it keeps the connection open.
    pub fn is_persistent(&self) -> bool {
        self.exchange.is_persistent()
    }

    /// Whether its last request was the first one, so that no response belongs to another one.
    pub fn has_one_request(&self) -> bool {
        self.exchange.is_first()
    }

    /// Waits until the last response is read completely; `false` if the connection closed after it.
    pub async fn wait_until_ready(&mut self) -> bool {
        let ready = self.sender.ready().await.is_ok();
        self.idle_since = Instant::now();
        ready
    }

    /// Whether the connection may be used for another request.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_limit
    }

    /// Whether the target has closed the idle connection before its time.
    pub fn was_closed_early(&self) -> bool {
        self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }
}

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}
