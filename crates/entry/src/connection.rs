//! A connection to a target, used for one exchange.
//!
//! Each attempt opens a connection of its own, so that no attempt is sent over a connection that is already dead.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};
use wire::{socket, unanswered};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes of a response that are read ahead of the caller.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange got no response.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be established; no byte of the request was sent.
    #[display("can't connect: {_0}")]
    #[from(ignore)]
    Connect(std::io::Error),
    /// The connection failed after the request was sent.
    #[display("the call failed: {_0}")]
    Call(hyper::Error),
}

/// A connection that is closed when it is dropped; a request that awaits its response is not delivered any further.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    unanswered: unanswered::Request,
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
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| Error::Connect(std::io::ErrorKind::TimedOut.into()))?
            .map_err(Error::Connect)?;
        socket::configure(&stream, socket::Kind::Target).map_err(Error::Connect)?;
        let unanswered = unanswered::Request::default();
        let stream = unanswered::Stream::new(stream, unanswered.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = tokio::spawn(async move {
            // The exchange gets the same error.
            let _ended = connection.await;
        });
        Ok(Connection { sender, driver, unanswered })
    }

    /// Sends a request and returns the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`]; the target may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.unanswered.begin();
        let response = self.sender.send_request(request).await?;
        self.unanswered.end();
        Ok(response)
    }
}

/// Returns whether a target responds to a probe over a new connection.
pub async fn probe(address: SocketAddr, request: Request<Full<Bytes>>) -> bool {
    let exchange = async {
        let mut connection = Connection::open(address).await.ok()?;
        let response = connection.send(request).await.ok()?;
        response.into_body().collect().await.ok()
    };
    time::timeout(PROBE_TIMEOUT, exchange).await.is_ok_and(|body| body.is_some())
}

/// Returns whether a target accepts a new connection.
pub async fn accepts(address: SocketAddr) -> bool {
    time::timeout(PROBE_TIMEOUT, TcpStream::connect(address))
        .await
        .is_ok_and(|stream| stream.is_ok())
}
