//! One sending of a request to one target, over a connection of its own.
//!
//! A new connection for each attempt means that a connection which has gone silent is never used again.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};
use wire::socket;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an attempt gave no answer.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// No connection could be made; no byte of the request was sent.
    #[display("connect: {_0}")]
    #[from(ignore)]
    Connect(std::io::Error),
    /// The connection failed after the request was sent.
    #[display("call: {_0}")]
    Call(hyper::Error),
}

/// Sends a request to a target and returns the head of its answer.
///
/// # Errors
///
/// Returns [`Fault::Connect`] when no byte of the request was sent, else [`Fault::Call`].
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Fault> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| Fault::Connect(std::io::ErrorKind::TimedOut.into()))?
        .map_err(Fault::Connect)?;
    socket::configure(&stream).map_err(Fault::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(request).await?)
}
