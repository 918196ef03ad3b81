//! A connection to a peer that is established on first use and re-established after a failure.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

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
    connection: Mutex<Connection>,
}

#[derive(Debug, Default)]
struct Connection {
    client: Option<PeerClient>,
    /// The last failure to connect, and when.
    failure: Option<(Instant, io::ErrorKind)>,
}

impl Link {
    /// Creates a link to `address`; the first call connects it.
    pub fn new(address: SocketAddr) -> Link {
        Link { address, connection: Mutex::default() }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs one call, for at most `timeout` after the connection is established.
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
        let client = self.client().await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        // A call that waits for its turn to be sent is not covered by the client's own deadline.
        let result = time::timeout(timeout + ANSWER_MARGIN, call(&client, context))
            .await
            .unwrap_or(Err(client::RpcError::DeadlineExceeded));
        if result.is_err() {
            self.connection.lock().await.client.take();
        }
        Ok(result?)
    }

    async fn client(&self) -> Result<PeerClient, Error> {
        let began = Instant::now();
        let mut connection = self.connection.lock().await;
        if let Some(client) = &connection.client {
            return Ok(client.clone());
        }
        if let Some((failed_at, kind)) = connection.failure
            && failed_at >= began
        {
            return Err(Error::Connect(kind.into()));
        }
        match connect(self.address).await {
            Ok(client) => {
                connection.client = Some(client.clone());
                Ok(client)
            }
            Err(error) => {
                connection.failure = Some((Instant::now(), error.kind()));
                Err(Error::Connect(error))
            }
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<PeerClient> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    socket::configure(&stream)?;
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}
