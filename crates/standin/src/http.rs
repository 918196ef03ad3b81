//! Small HTTP helpers on hyper: a server with cancellation and a client with one connection for each call.

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
    net::{TcpListener, TcpStream},
    time,
};

/// Body of an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection failed.
    #[display("connection: {_0}")]
    Io(io::Error),
    /// The exchange failed.
    #[display("http: {_0}")]
    Http(hyper::Error),
    /// A message could not be written or read.
    #[display("message: {_0}")]
    Json(serde_json::Error),
    /// The head of the request is malformed.
    #[display("request: {_0}")]
    Request(hyper::http::Error),
    /// No answer within the limit.
    #[display("no answer within the limit")]
    Timeout,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status, headers.
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
    /// Returns [`Error::Json`] when it has another form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Serves connections until `token` is cancelled; each is dropped then, too.
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

/// Answers the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request; an error drops the connection without an answer.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<HyperResponse<Body>, Error>> + Send;
}

/// An answer with a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> HyperResponse<Body> {
    let mut response =
        HyperResponse::new(Full::new(body.into()).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
///
/// # Errors
///
/// Returns [`Error::Json`] when the value can't be written.
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
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(request).await?)
}

/// Sends `request` over a new connection and reads the answer to its end within `limit`.
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

/// Makes a `POST` request with a JSON body.
///
/// # Errors
///
/// Returns [`Error::Json`] or [`Error::Request`] when it can't be made.
pub fn post<T: Serialize>(path: &str, value: &T) -> Result<Request<Full<Bytes>>, Error> {
    let request = Request::post(path)
        .header(hyper::header::HOST, "localhost")
        .header(hyper::header::CONTENT_TYPE, "application/json");
    Ok(request.body(Full::new(serde_json::to_vec(value)?.into()))?)
}

/// Makes a `GET` request.
///
/// # Errors
///
/// Returns [`Error::Request`] when the path is malformed.
pub fn get(path: &str) -> Result<Request<Full<Bytes>>, Error> {
    Ok(Request::get(path).header(hyper::header::HOST, "localhost").body(Full::default())?)
}
