//! The peers' listener: serves the calls of other instances over tarpc.

use std::{
    future,
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{cancel, name};
use consensus::{message::Envelope, status::Status};
use control::query::Changes;
use futures::{Stream, StreamExt};
use replica::host::{Handle, Host};
use spread::synchronizer::Synchronizer;
use tarpc::{
    ClientMessage, Response, context, serde_transport,
    server::{self, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::codec::LengthDelimitedCodec;
use wire::{
    link,
    log::{Change, Outcome, State},
    peer::{self, Peer, PeerRequest, PeerResponse},
    socket,
    spread::{Update, Version},
};

use crate::{
    component::{membership, orders::OfferedLoad},
    context::Context,
    error::Error,
};

/// Delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The tarpc channel of one connection, with frames of [`Bincode`].
pub type PeerChannel<S> = server::BaseChannel<
    PeerRequest,
    PeerResponse,
    serde_transport::Transport<
        S,
        ClientMessage<PeerRequest>,
        Response<PeerResponse>,
        Bincode<ClientMessage<PeerRequest>, Response<PeerResponse>>,
    >,
>;

/// Handles the calls of peers. [`Server`] handles the calls of replicated logs with the help of [`Handler::replica`].
///
/// The default methods are those of an instance without the component that a call is for: they return empty values.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Name, data centre and protocol version of the instance.
    fn identity(&self) -> peer::Identity;

    /// The replica that this instance keeps of a branch's log.
    fn replica(&self, branch: &name::Branch) -> Option<&Handle>;

    /// Changes of a branch's declarations since the version that the peer has; waits up to `_wait_ms` for one.
    fn pull(&self, have: Version, _wait_ms: u64) -> impl Future<Output = Update> + Send {
        future::ready(Update {
            branch: have.branch,
            version: 0,
            age_ms: None,
            changes: Changes::None,
        })
    }

    /// The versions of declarations in force.
    fn in_force(&self) -> Vec<Version> {
        Vec::new()
    }

    /// Responds to a gossip message of targets and instances.
    fn gossip(&self, _message: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send {
        future::ready(Vec::new())
    }

    /// Records another data centre's summary and responds with this one's.
    fn summary(&self, _summary: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send {
        future::ready(Vec::new())
    }

    /// Answers a question of another instance, in a fleet whose instances find each other through seed addresses.
    fn exchange(&self, _question: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send {
        future::ready(Vec::new())
    }

    /// Counts of what callers have offered to this instance.
    fn offered(&self) -> peer::Counts {
        peer::Counts::default()
    }
}

/// Serves the calls of peers with a [`Handler`]; cloned for each connection.
#[derive(Clone, Debug)]
pub struct Server<H>(pub H);

impl<H: Handler> Peer for Server<H> {
    async fn identify(self, _context: context::Context) -> peer::Identity {
        self.0.identity()
    }

    async fn pull(self, _context: context::Context, have: Version, wait_ms: u64) -> Update {
        self.0.pull(have, wait_ms).await
    }

    async fn in_force(self, _context: context::Context) -> Vec<Version> {
        self.0.in_force()
    }

    async fn log_step(
        self,
        _context: context::Context,
        branch: name::Branch,
        from: name::Instance,
        envelopes: Vec<Envelope>,
    ) {
        if let Some(replica) = self.0.replica(&branch) {
            replica.receive(from, envelopes);
        }
    }

    async fn submit(
        self,
        _context: context::Context,
        branch: name::Branch,
        command: Vec<u8>,
    ) -> Outcome {
        match self.0.replica(&branch) {
            Some(replica) => replica.submit(command).await,
            None => Outcome::NotLeader { leader: None },
        }
    }

    async fn query(
        self,
        _context: context::Context,
        branch: name::Branch,
        query: Vec<u8>,
    ) -> Outcome {
        match self.0.replica(&branch) {
            Some(replica) => replica.query(query).await,
            None => Outcome::NotLeader { leader: None },
        }
    }

    async fn standing(self, _context: context::Context, branch: name::Branch) -> State {
        self.0.replica(&branch).map_or(State::Absent, Handle::standing)
    }

    async fn change_members(
        self,
        _context: context::Context,
        branch: name::Branch,
        wish: Change,
    ) -> Outcome {
        match self.0.replica(&branch) {
            Some(replica) => replica.change_members(wish).await,
            None => Outcome::NotLeader { leader: None },
        }
    }

    async fn replica(self, _context: context::Context, branch: name::Branch) -> Option<Status> {
        self.0.replica(&branch).and_then(Handle::status)
    }

    async fn gossip(self, _context: context::Context, message: Vec<u8>) -> Vec<u8> {
        self.0.gossip(message).await
    }

    async fn summary(self, _context: context::Context, summary: Vec<u8>) -> Vec<u8> {
        self.0.summary(summary).await
    }

    async fn exchange(self, _context: context::Context, question: Vec<u8>) -> Vec<u8> {
        self.0.exchange(question).await
    }

    async fn offered(self, _context: context::Context) -> peer::Counts {
        self.0.offered()
    }
}

/// The components that handle peers' calls on an instance with a configured list of peers.
#[derive(Clone, Debug)]
pub struct Components {
    /// Name, data centre and protocol version of the instance.
    pub identity: peer::Identity,
    /// Replicas that this instance keeps.
    pub replicas: Host,
    /// Synchronizes the declarations of this instance.
    pub synchronizer: Synchronizer,
    /// Handle of the gossip membership, which keeps the table of targets and instances.
    pub membership: membership::Handle,
    /// Counts of what callers offer to this instance.
    pub offered: OfferedLoad,
}

impl Handler for Components {
    fn identity(&self) -> peer::Identity {
        self.identity.clone()
    }

    fn replica(&self, branch: &name::Branch) -> Option<&Handle> {
        self.replicas.replica(branch)
    }

    async fn pull(&self, have: Version, wait_ms: u64) -> Update {
        self.synchronizer.handle_pull(have, wait_ms).await
    }

    fn in_force(&self) -> Vec<Version> {
        self.synchronizer.in_force()
    }

    async fn gossip(&self, message: Vec<u8>) -> Vec<u8> {
        self.membership.gossip(message).await
    }

    async fn summary(&self, summary: Vec<u8>) -> Vec<u8> {
        self.membership.exchange_summary(summary).await
    }

    fn offered(&self) -> peer::Counts {
        self.offered.read()
    }
}

/// Starts to serve peers; the thread ends once `context.end` is cancelled.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the address can't be listened on.
pub fn start(context: &Context, components: Components) -> Result<JoinHandle<()>, Error> {
    let address = context.settings.peers_listen;
    let runtime = context.runtime.clone();
    let listener = runtime.block_on(TcpListener::bind(address)).map_err(|cause| Error::Listen {
        address,
        purpose: "other instances",
        cause,
    })?;
    let end = context.end.clone();
    let thread = thread::Builder::new().name(String::from("peers")).spawn(move || {
        let serve =
            move |stream| execute(channel(stream).execute(Server(components.clone()).serve()));
        runtime.block_on(accept(listener, serve, end));
    })?;
    Ok(thread)
}

/// Accepts connections and runs `serve` on each in a task of its own, until `end` is cancelled.
pub async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
    end: cancel::Token,
) {
    loop {
        let accepted = tokio::select! {
            () = end.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _address)) = accepted else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if socket::configure(&stream, socket::Kind::Peer).is_ok() {
            tokio::spawn(serve(stream));
        }
    }
}

/// Wraps a connection in the tarpc channel of its calls; frames are limited to [`link::MAX_FRAME_BYTES`].
pub fn channel<S: AsyncRead + AsyncWrite>(stream: S) -> PeerChannel<S> {
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(link::MAX_FRAME_BYTES);
    let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
    server::BaseChannel::with_defaults(transport)
}

/// Runs the calls of a connection concurrently, each in a task of its own.
pub async fn execute(responses: impl Stream<Item = impl Future<Output = ()> + Send + 'static>) {
    responses
        .for_each(|response| async {
            tokio::spawn(response);
        })
        .await;
}
