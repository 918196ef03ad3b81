//! The instance that serves a request of a peer.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use common::cancel;
use fleet::relay::{Beginning, Frame, Head, PREFACE, Request, Word, decode_request, encode_frame};
use futures::{Sink, SinkExt, StreamExt};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, http::response};
use memory::{
    budget::Connection,
    frames::{Kept, Stream as Frames},
};
use slog::debug;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use tokio_util::codec::Framed;

use crate::{
    error::Error,
    handler,
    relay::{codec, encode_headers},
    state::Gateway,
};

/// Idle time after which a connection is closed; peers reuse them for less.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Bytes of a body in one frame.
const MAX_DATA_BYTES: usize = 64 * 1024;
/// Requests of peers that are served at a time; further ones are passed to others.
const MAX_SERVED: usize = 1_024;

/// Whether a connection of a peer begins with [`PREFACE`], by its first byte.
///
/// # Errors
///
/// Returns the operating system's error if the connection fails before its first byte.
pub async fn is_relay(stream: &TcpStream) -> io::Result<bool> {
    let mut first = [0];
    let read = stream.peek(&mut first).await?;
    Ok(read == 1 && first[0] == PREFACE[0])
}

/// Serves the requests of a connection until the peer closes it; once `stop` is cancelled new ones are not served.
pub async fn serve(
    stream: TcpStream,
    connection: &Connection,
    gateway: Arc<Gateway>,
    stop: cancel::Token,
) {
    let stream = Frames::new(stream, connection.clone(), Kept::UntilNext, PREFACE.len());
    if let Err(error) = serve_requests(stream, &gateway, &stop).await {
        debug!(gateway.log, "relay_connection_failed"; "error" => %error);
    }
}

async fn serve_requests(
    mut stream: Frames<TcpStream>,
    gateway: &Arc<Gateway>,
    stop: &cancel::Token,
) -> io::Result<()> {
    let mut preface = [0; PREFACE.len()];
    time::timeout(MAX_IDLE_TIME, stream.read_exact(&mut preface)).await??;
    if preface != PREFACE {
        return Err(io::ErrorKind::InvalidData.into());
    }
    stream.write_all(&PREFACE).await?;
    let (mut responses, mut requests) = Framed::new(stream, codec()).split();
    loop {
        let Ok(Some(bytes)) = time::timeout(MAX_IDLE_TIME, requests.next()).await else {
            return Ok(());
        };
        let bytes = bytes?.freeze();
        let (request, body) = decode_request(&bytes).ok_or(io::ErrorKind::InvalidData)?;
        let body = bytes.slice_ref(body);
        let response = gateway.relay.served.track_future(respond(
            gateway,
            stop,
            request,
            body,
            &mut responses,
        ));
        tokio::select! {
            result = response => result?,
            // The peer closes the connection when its caller leaves.
            _closed = requests.next() => return Ok(()),
        }
    }
}

async fn respond(
    gateway: &Arc<Gateway>,
    stop: &cancel::Token,
    request: Request,
    body: Bytes,
    responses: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
) -> io::Result<()> {
    if stop.is_cancelled() || gateway.relay.served.len() > MAX_SERVED {
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = StatusCode::SERVICE_UNAVAILABLE;
        send_head(responses, Word::Unavailable, &head, None).await?;
        return send(responses, &Frame::End).await;
    }
    let (word, response) = match handler::handle_relayed(gateway, request, body).await {
        Ok(response) => (Word::Answered, response),
        Err(error) => (word(&error), error.response()),
    };
    metrics::counter!("daisydrum_requests_served_for_peers_total").increment(1);
    let (head, mut body) = response.into_parts();
    let began = head.extensions.get::<Beginning>().cloned();
    send_head(responses, word, &head, began).await?;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return send(responses, &Frame::Broken).await;
        };
        if let Ok(bytes) = frame.into_data() {
            // Each is copied twice on its way to the connection.
            for part in bytes.chunks(MAX_DATA_BYTES) {
                send(responses, &Frame::Data(part.to_vec())).await?;
            }
        }
    }
    send(responses, &Frame::End).await
}

/// What an error means for the peer.
fn word(error: &Error) -> Word {
    match error {
        Error::NoConfig | Error::ConfigOutdated | Error::KeysOutdated | Error::NoMemory => {
            Word::Unavailable
        }
        error if error.is_stopping() => Word::Unavailable,
        error if error.is_cut_off() => Word::CutOff,
        Error::Refused(_)
        | Error::NoRoute
        | Error::Unauthorized
        | Error::Malformed(_)
        | Error::BodyTooLarge => Word::NotRun,
        Error::TargetFailed | Error::Timeout => Word::Answered,
    }
}

async fn send_head(
    responses: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    word: Word,
    head: &response::Parts,
    began: Option<Beginning>,
) -> io::Result<()> {
    let headers = encode_headers(&head.headers);
    let status = head.status.as_u16();
    send(responses, &Frame::Head(Head { word, status, headers, began })).await
}

async fn send(
    responses: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    frame: &Frame,
) -> io::Result<()> {
    responses.send(Bytes::from(encode_frame(frame))).await
}
