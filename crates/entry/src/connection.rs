//! One connection to one target, used for one exchange.
//!
//! A new connection for each attempt means that a connection which has gone silent is never used again.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};
use wire::socket;

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of an answer that are read ahead of the caller at most.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Why an exchange gave no answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection could be made; no byte of the request was sent.
    #[display("connect: {_0}")]
    #[from(ignore)]
    Connect(std::io::Error),
    /// The connection failed after the request was sent.
    #[display("call: {_0}")]
    Call(hyper::Error),
}

/// A connection that is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
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
    /// Returns [`Error::Connect`]; no byte of a request was sent.
    pub async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let stream = time::timeout(CONNECT_LIMIT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| Error::Connect(std::io::ErrorKind::TimedOut.into()))?
            .map_err(Error::Connect)?;
        socket::configure(&stream).map_err(Error::Connect)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = tokio::spawn(async move {
            // The exchange sees the same fault.
            let _ended = connection.await;
        });
        Ok(Connection { sender, driver })
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`]; the target may have got the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        Ok(self.sender.send_request(request).await?)
    }
}

/// Whether a target answers a probe over a new connection.
pub async fn probe(address: SocketAddr, request: Request<Full<Bytes>>) -> bool {
    let exchange = async {
        let mut connection = Connection::open(address).await.ok()?;
        let response = connection.send(request).await.ok()?;
        response.into_body().collect().await.ok()
    };
    time::timeout(PROBE_LIMIT, exchange).await.is_ok_and(|answer| answer.is_some())
}

/// Whether a target takes a new connection.
pub async fn accepts(address: SocketAddr) -> bool {
    time::timeout(PROBE_LIMIT, TcpStream::connect(address)).await.is_ok_and(|stream| stream.is_ok())
}
