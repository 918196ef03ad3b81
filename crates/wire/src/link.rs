//! A connection to a peer that is established on first use and re-established after a failure.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{cancel, clock::Moment};
use derive_more::{Display, Error, From};
use futures::{StreamExt, stream::FuturesUnordered};
use tarpc::{client, context, serde_transport, tokio_serde::formats::Bincode};
use tokio::{net::TcpStream, sync::Mutex, time};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{
    dial::{Pace, Schedule, Startup, Step},
    peer::PeerClient,
    socket,
};

/// Largest message between daemons, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
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
    startup: Startup,
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
        Link::of_starting(address, Startup::ended())
    }

    /// Creates a link that connects at the pace of `startup`.
    pub fn of_starting(address: SocketAddr, startup: Startup) -> Link {
        Link { address, startup, slot: Mutex::default() }
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

    /// Whether a connection is open or can be established within `limit`.
    pub async fn is_connected_within(&self, limit: Duration) -> bool {
        matches!(time::timeout(limit, self.connection()).await, Ok(Ok(_)))
    }

    async fn connection(&self) -> Result<Connection, Error> {
        let (called, now) = (Instant::now(), Moment::now());
        let mut slot = self.slot.lock().await;
        if let Some(connection) = &slot.connection {
            return Ok(connection.clone());
        }
        if let Some((failed_at, kind)) = slot.failure
            && failed_at >= called
        {
            return Err(Error::Connect(kind.into()));
        }
        match connect(self.address, self.startup.pace(now)).await {
            Ok(connection) => Ok(slot.connection.insert(connection).clone()),
            Err(error) => {
                slot.failure = Some((Instant::now(), error.kind()));
                Err(Error::Connect(error))
            }
        }
    }
}

/// The first connection of several attempts; the others are closed.
async fn dial(address: SocketAddr, pace: Pace) -> io::Result<TcpStream> {
    let mut schedule = Schedule::new(pace, Moment::now());
    let mut attempts = FuturesUnordered::new();
    let mut failure = io::ErrorKind::TimedOut;
    loop {
        let wait = match schedule.next(Moment::now()) {
            Step::Start => {
                attempts.push(TcpStream::connect(address));
                schedule.record_start();
                continue;
            }
            Step::Wait(wait) => wait,
            Step::Fail => return Err(failure.into()),
        };
        tokio::select! {
            biased;
            Some(result) = attempts.next() => match result {
                Ok(stream) => return Ok(stream),
                Err(error) => {
                    schedule.record_failure();
                    failure = error.kind();
                }
            },
            () = time::sleep(wait) => {}
        }
    }
}

async fn connect(address: SocketAddr, pace: Pace) -> io::Result<Connection> {
    let stream = dial(address, pace).await?;
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
