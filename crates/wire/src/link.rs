//! A connection to a peer that is made on first use and made anew once it has failed.

use std::{io, net::SocketAddr, time::Duration};

use derive_more::{Display, Error, From};
use tarpc::{client, context, serde_transport, tokio_serde::formats::Bincode};
use tokio::{net::TcpStream, sync::Mutex, time};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{peer::PeerClient, socket};

/// Largest message between daemons, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to a peer failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be made; the peer did not get the call.
    #[display("connect: {_0}")]
    Connect(io::Error),
    /// The call failed or ran out of time; the peer may have got it.
    #[display("call: {_0}")]
    Call(client::RpcError),
}

/// A connection to one peer.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    client: Mutex<Option<PeerClient>>,
}

impl Link {
    /// Makes a link to `address` without connecting yet.
    pub fn new(address: SocketAddr) -> Link {
        Link { address, client: Mutex::new(None) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs one call within `limit`.
    ///
    /// After a failure the connection is dropped, since a silent connection looks like a slow peer; the
    /// next call makes a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] when the call certainly was not sent, else [`Error::Call`].
    pub async fn call<T>(
        &self,
        limit: Duration,
        call: impl AsyncFnOnce(&PeerClient, context::Context) -> Result<T, client::RpcError>,
    ) -> Result<T, Error> {
        let client = self.client().await?;
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + limit;
        let result = call(&client, context).await;
        if result.is_err() {
            self.client.lock().await.take();
        }
        Ok(result?)
    }

    async fn client(&self) -> Result<PeerClient, Error> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        socket::configure(&stream)?;
        let mut codec = LengthDelimitedCodec::builder();
        codec.max_frame_length(MAX_FRAME_BYTES);
        let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        Ok(slot.insert(client).clone())
    }
}
