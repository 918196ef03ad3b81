//! A connection to a peer that is established on first use and re-established after a failure.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::cancel;
use derive_more::{Display, Error, From};
use tarpc::{client, context, serde_transport, tokio_serde::formats::Bincode};
use tokio::{net::TcpStream, sync::Mutex, time};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{peer::PeerClient, socket};

/// Largest message between daemons, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the client has beyond a call's timeout to report that itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Why a call to a peer failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be established; the peer did not receive the call.
    #[display("can't connect: {_0}")]
    Connect(io::Error),
    /// The call failed or timed out; the peer may have received it.
    #[display("the call failed: {_0}")]
    Call(client::RpcError),
}

/// A connection to one peer.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    slot: Mutex<Slot>,
}

#[derive(Debug, Default)]
struct Slot {
    connection: Option<Connection>,
    /// The last failure to connect, and when.
    failure: Option<(Instant, io::ErrorKind)>,
}

/// An established connection.
#[derive(Clone, Debug)]
struct Connection {
    client: PeerClient,
    /// Cancelled once the task that sends the client's calls and receives their answers has ended.
    ended: cancel::Token,
}

impl Link {
    /// Creates a link to `address`; the first call connects it.
    pub fn new(address: SocketAddr) -> Link {
        Link { address, slot: Mutex::default() }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs one call, for at most `timeout` after the connection is established, or until the connection ends.
    ///
    /// Calls that wait while another one connects share its failure, so that none waits for longer than one attempt.
    ///
    /// After a failure the connection is dropped, because a dead connection can't be told from a slow peer; the next
    /// call opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the call was certainly not sent, and [`Error::Call`] otherwise.
    pub async fn call<T>(
        &self,
        timeout: Duration,
        call: impl AsyncFnOnce(&PeerClient, context::Context) -> Result<T, client::RpcError>,
    ) -> Result<T, Error> {
        let Connection { client, ended } = self.connection().await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        // A call that waits for its turn to be sent is not covered by the client's own deadline.
        let call = time::timeout(timeout + ANSWER_MARGIN, call(&client, context));
        let result = tokio::select! {
            biased;
            result = call => result.unwrap_or(Err(client::RpcError::DeadlineExceeded)),
            // A call that is queued while the task ends is never answered: the queue keeps it for as long as a client
            // exists.
            () = ended.cancelled() => Err(client::RpcError::Shutdown),
        };
        if result.is_err() {
            self.slot.lock().await.connection.take();
        }
        Ok(result?)
    }

    async fn connection(&self) -> Result<Connection, Error> {
        let began = Instant::now();
        let mut slot = self.slot.lock().await;
        if let Some(connection) = &slot.connection {
            return Ok(connection.clone());
        }
        if let Some((failed_at, kind)) = slot.failure
            && failed_at >= began
        {
            return Err(Error::Connect(kind.into()));
        }
        match connect(self.address).await {
            Ok(connection) => Ok(slot.connection.insert(connection).clone()),
            Err(error) => {
                slot.failure = Some((Instant::now(), error.kind()));
                Err(Error::Connect(error))
            }
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    socket::configure(&stream, socket::Kind::Peer)?;
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
    let client::NewClient { client, dispatch } =
        PeerClient::new(client::Config::default(), transport);
    let ended = cancel::Token::new();
    let guard = ended.clone().drop_guard();
    tokio::spawn(async move {
        let _guard = guard;
        // Its error is also the result of the calls under way.
        let _cause = dispatch.await;
    });
    Ok(Connection { client, ended })
}
