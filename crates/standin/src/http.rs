//! HTTP helpers on hyper: a server that can be cancelled and a client that opens a connection for each call.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use common::cancel;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response as HyperResponse, StatusCode, body::Incoming, client::conn, server,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

/// Body of a response, complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be opened.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The request could not be sent or the response not be received.
    #[display("HTTP exchange failed: {_0}")]
    Http(hyper::Error),
    /// A body could not be encoded or decoded as JSON.
    #[display("invalid JSON: {_0}")]
    Json(serde_json::Error),
    /// The path or a header of the request is invalid.
    #[display("invalid request: {_0}")]
    Request(hyper::http::Error),
    /// There was no complete response within the limit.
    #[display("no response within the limit")]
    Timeout,
}

/// A response that was read to its end.
#[derive(Clone, Debug)]
pub struct Response {
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Json`] when the body is not JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The value of a header; empty if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Serves connections until `token` is cancelled, which also drops the open ones.
pub async fn serve<H>(listener: TcpListener, token: cancel::Token, handler: H)
where
    H: Handler,
{
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (handler, token) = (handler.clone(), token.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { handler.handle(request).await }
            });
            let connection =
                server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = token.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}

/// Handles the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request; an error drops the connection without a response.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<HyperResponse<Body>, Error>> + Send;
}

/// A response with a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> HyperResponse<Body> {
    let mut response =
        HyperResponse::new(Full::new(body.into()).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
///
/// # Errors
///
/// Returns [`Error::Json`] when the value can't be encoded.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Result<HyperResponse<Body>, Error> {
    let mut response = text(status, serde_json::to_vec(value)?);
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Sends `request` over a new connection and returns the head with the streaming body.
///
/// # Errors
///
/// Returns the [`enum@Error`] of the connection or exchange.
pub async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<HyperResponse<Incoming>, Error> {
    send(TcpStream::connect(address).await?, request).await
}

/// Like [`open`], as a caller that receives only about this many bytes ahead of what it reads.
///
/// # Errors
///
/// Returns the [`enum@Error`] of the connection or exchange.
pub async fn open_with_receive_buffer(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    bytes: u32,
) -> Result<HyperResponse<Incoming>, Error> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(bytes)?;
    send(socket.connect(address).await?, request).await
}

async fn send(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<HyperResponse<Incoming>, Error> {
    stream.set_nodelay(true)?;
    let (mut sender, connection) = conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(request).await?)
}

/// Sends `request` over a new connection and reads the response to its end within `limit`.
///
/// # Errors
///
/// Returns the [`enum@Error`] of the connection or exchange, or [`Error::Timeout`].
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response, Error> {
    let exchange = async {
        let (head, body) = open(address, request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Response { headers: head.headers, status: head.status, body })
    };
    time::timeout(limit, exchange).await.map_err(|_elapsed| Error::Timeout)?
}

/// Creates a `POST` request with a JSON body.
///
/// # Errors
///
/// Returns [`Error::Json`] when the value can't be encoded and [`Error::Request`] when the path is invalid.
pub fn post<T: Serialize>(path: &str, value: &T) -> Result<Request<Full<Bytes>>, Error> {
    let request = Request::post(path)
        .header(hyper::header::HOST, "localhost")
        .header(hyper::header::CONTENT_TYPE, "application/json");
    Ok(request.body(Full::new(serde_json::to_vec(value)?.into()))?)
}

/// Creates a `GET` request.
///
/// # Errors
///
/// Returns [`Error::Request`] when the path is invalid.
pub fn get(path: &str) -> Result<Request<Full<Bytes>>, Error> {
    Ok(Request::get(path).header(hyper::header::HOST, "localhost").body(Full::default())?)
}
