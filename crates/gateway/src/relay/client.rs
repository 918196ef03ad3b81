//! The instance that passes a request on: connections to peers, and the response as it arrives.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use common::collections::Map;
use derive_more::Display;
use fleet::relay::{Frame, PREFACE, Request, Word, decode_frame, encode_request};
use futures::{SinkExt, StreamExt};
use hyper::{Response, StatusCode, http::response};
use memory::budget::Reservation;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wire::socket;

use crate::{
    connection,
    pool::Reuse,
    progress::Beginning,
    relay::{CONNECT_TIMEOUT, codec, decode_headers},
    whole::Buffered,
};

/// Idle connections that are kept for each peer.
const MAX_IDLE: usize = 8;
/// Idle time up to which a connection is reused; the peer closes it later than that.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

type Channel = Framed<TcpStream, LengthDelimitedCodec>;
/// Idle connections by address, and when the last response over each ended.
type Idle = Map<SocketAddr, Vec<(Channel, Instant)>>;

/// Why there is no response of a peer.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// No byte of the request was sent.
    #[display("the request was not passed on: {_0}")]
    NotSent(io::Error),
    /// The peer may have received the request.
    #[display("the request was passed on, but there is no response: {_0}")]
    MaybeSent(io::Error),
}

/// The body ended early, or the connection to the peer was lost.
#[derive(Clone, Copy, Debug, Display)]
#[display("the peer's response ended early")]
pub(crate) struct Truncated;

/// Idle connections by address; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    idle: Arc<Mutex<Idle>>,
}

/// A peer's response; its connection is closed when this is dropped before the end of the body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) word: Word,
    pub(crate) head: response::Parts,
    /// Where the stream began; `None` if it has no events, or the peer is of an earlier build.
    pub(crate) began: Option<Beginning>,
    channel: Option<Channel>,
    address: SocketAddr,
    pool: Pool,
}

impl Pool {
    /// Sends a request to a peer and waits for the head of its response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        reuse: Reuse,
        request: &Request,
        body: &[u8],
    ) -> Result<Answer, Error> {
        let mut channel = match self.take(address, reuse) {
            Some(channel) => channel,
            None => open(address).await.map_err(Error::NotSent)?,
        };
        let bytes = Bytes::from(encode_request(request, body));
        channel.send(bytes).await.map_err(Error::MaybeSent)?;
        let Some(Frame::Head(head)) = receive(&mut channel).await.map_err(Error::MaybeSent)? else {
            return Err(Error::MaybeSent(io::ErrorKind::InvalidData.into()));
        };
        let invalid = || Error::MaybeSent(io::ErrorKind::InvalidData.into());
        let mut response = Response::new(());
        let status = StatusCode::from_u16(head.status).map_err(|_invalid| invalid())?;
        // An instance of an earlier build passes on any status of a target.
        if !connection::is_final(status) {
            return Err(invalid());
        }
        *response.status_mut() = status;
        *response.headers_mut() = decode_headers(&head.headers).ok_or_else(invalid)?;
        let (parts, ()) = response.into_parts();
        let pool = self.clone();
        let began = head.began.map(Beginning::from);
        Ok(Answer { word: head.word, head: parts, began, channel: Some(channel), address, pool })
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn evict_expired(&self) {
        let mut idle = self.lock();
        for channels in idle.values_mut() {
            channels.retain(|(_, since)| since.elapsed() < MAX_IDLE_TIME);
        }
        idle.retain(|_, channels| !channels.is_empty());
    }

    /// A request that can't be sent again gets a new connection, which shows that the peer is there.
    fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Channel> {
        if reuse != Reuse::Any {
            return None;
        }
        let mut idle = self.lock();
        let channels = idle.get_mut(&address)?;
        while let Some((channel, since)) = channels.pop() {
            if since.elapsed() < MAX_IDLE_TIME && is_open(&channel) {
                return Some(channel);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, channel: Channel) {
        let mut idle = self.lock();
        let channels = idle.entry(address).or_default();
        if channels.len() < MAX_IDLE {
            channels.push((channel, Instant::now()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Answer {
    /// The next bytes of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        let Some(channel) = &mut self.channel else {
            return Ok(None);
        };
        match receive(channel).await {
            Ok(Some(Frame::Data(bytes))) => Ok(Some(Bytes::from(bytes))),
            Ok(Some(Frame::End)) => {
                if let Some(channel) = self.channel.take() {
                    self.pool.put(self.address, channel);
                }
                Ok(None)
            }
            Ok(Some(Frame::Head(_) | Frame::Broken) | None) | Err(_) => Err(Truncated),
        }
    }
}

impl Answer {
    /// Reads a body of at most `limit` bytes.
    pub(crate) async fn read(
        mut self,
        mut reservation: Reservation,
        limit: usize,
    ) -> Result<Buffered, Unread> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next().await.map_err(|Truncated| Unread::Truncated)? {
            let length = body.len() + bytes.len();
            if length > limit {
                return Err(Unread::TooLarge);
            }
            reservation.grow(length).await.map_err(|_exhausted| Unread::NoMemory)?;
            body.extend_from_slice(&bytes);
        }
        let body = body.freeze();
        Ok(Buffered { head: self.head, body, reservation })
    }
}

/// Why a body was not read completely.
#[derive(Clone, Copy, Debug, Display)]
pub(crate) enum Unread {
    #[display("the peer's response ended early")]
    Truncated,
    #[display("the response is too large")]
    TooLarge,
    #[display("no memory is left for the response")]
    NoMemory,
}

/// Whether the peer has neither closed the connection nor sent what nobody asked for.
fn is_open(channel: &Channel) -> bool {
    let mut byte = [0];
    let read = channel.get_ref().try_read(&mut byte);
    channel.read_buffer().is_empty()
        && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

async fn receive(channel: &mut Channel) -> io::Result<Option<Frame>> {
    match channel.next().await {
        None => Err(io::ErrorKind::UnexpectedEof.into()),
        Some(bytes) => Ok(decode_frame(&bytes?)),
    }
}

/// Connects to a peer and waits until it has accepted the protocol: an instance of an earlier build doesn't.
async fn open(address: SocketAddr) -> io::Result<Channel> {
    let connect = async {
        let mut stream = TcpStream::connect(address).await?;
        socket::configure(&stream, socket::Kind::Peer)?;
        stream.write_all(&PREFACE).await?;
        let mut preface = [0; PREFACE.len()];
        stream.read_exact(&mut preface).await?;
        if preface != PREFACE {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(Framed::new(stream, codec()))
    };
    time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}
