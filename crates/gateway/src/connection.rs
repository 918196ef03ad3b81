//! Connections to targets.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};
use wire::socket;

/// Longest time for a connection to be made; round trips take a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Bytes of an answer that are read ahead of the caller at most.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// A connection that was idle longer may have been closed by its target.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Share of the idle time that a target promises which is used.
const IDLE_SHARE: f64 = 0.6;

/// Why an exchange gave no head of an answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No byte of the request left.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The target may have got the request.
    #[display("{_0}")]
    MaybeSent(hyper::Error),
}

/// A connection that is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_limit: Duration,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`].
    pub async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
        let stream = time::timeout(CONNECT_LIMIT, TcpStream::connect(address))
            .await
            .map_err(|elapsed| not_sent(&elapsed))?
            .map_err(|error| not_sent(&error))?;
        socket::configure(&stream).map_err(|error| not_sent(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // The exchange sees the same fault.
            let _ended = connection.await;
        });
        Ok(Connection { sender, driver, idle_limit: DEFAULT_IDLE, idle_since: Instant::now() })
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] where the connection had ended before, else [`Error::MaybeSent`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let response = self.sender.send_request(request).await.map_err(|error| {
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else {
                Error::MaybeSent(error)
            }
        })?;
        if let Some(limit) = platform::response::keep_alive_timeout(response.headers()) {
            self.idle_limit = limit.mul_f64(IDLE_SHARE).min(DEFAULT_IDLE);
        }
        Ok(response)
    }

    /// Waits until the last answer is taken whole; `false` if the connection ended with it.
    pub async fn wait_until_ready(&mut self) -> bool {
        let ready = self.sender.ready().await.is_ok();
        self.idle_since = Instant::now();
        ready
    }

    /// Whether the connection may be used for another request.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_limit
    }
}
