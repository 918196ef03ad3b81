//! The peers' listener: serves the calls of other daemons.

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

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Calls that come over one connection.
pub type PeerChannel = server::BaseChannel<
    PeerRequest,
    PeerResponse,
    serde_transport::Transport<
        TcpStream,
        ClientMessage<PeerRequest>,
        Response<PeerResponse>,
        Bincode<ClientMessage<PeerRequest>, Response<PeerResponse>>,
    >,
>;

/// What an instance answers to others, beside the calls of its replicas' logs.
///
/// An instance that lacks a duty answers with nothing.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Who the instance is.
    fn identity(&self) -> peer::Identity;

    /// The replica that it keeps of a branch's log.
    fn replica(&self, branch: &name::Branch) -> Option<&Handle>;

    /// What is newer of a branch's declarations.
    fn pull(&self, have: Version, _wait_ms: u64) -> impl Future<Output = Update> + Send {
        future::ready(Update {
            branch: have.branch,
            version: 0,
            age_ms: None,
            changes: Changes::None,
        })
    }

    /// The declarations in force.
    fn in_force(&self) -> Vec<Version> {
        Vec::new()
    }

    /// Its side of a gossip of targets and instances.
    fn gossip(&self, _message: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send {
        future::ready(Vec::new())
    }

    /// Its data centre's summary for another's.
    fn summary(&self, _summary: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send {
        future::ready(Vec::new())
    }

    /// The answer to a question of an instance of a fleet found from seeds.
    fn exchange(&self, _question: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send {
        future::ready(Vec::new())
    }

    /// What callers have offered to it.
    fn offered(&self) -> peer::Counts {
        peer::Counts::default()
    }
}

/// Answers the calls of other instances; cloned for each connection.
#[derive(Clone, Debug)]
pub struct Server<P>(pub P);

impl<P: Handler> Peer for Server<P> {
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

/// The duties of an instance that is told all others.
#[derive(Clone, Debug)]
pub struct Components {
    /// Who this daemon is.
    pub identity: peer::Identity,
    /// The replicas kept here.
    pub replicas: Host,
    /// The declarations in force here.
    pub spread: Synchronizer,
    /// The table of targets and instances.
    pub membership: membership::Handle,
    /// What callers offer to this daemon.
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
        self.spread.handle_pull(have, wait_ms).await
    }

    fn in_force(&self) -> Vec<Version> {
        self.spread.in_force()
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

/// Serves the connections of a listener with `serve` until the token is cancelled.
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
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if socket::configure(&stream).is_ok() {
            tokio::spawn(serve(stream));
        }
    }
}

/// The calls of one connection.
pub fn channel(stream: TcpStream) -> PeerChannel {
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(link::MAX_FRAME_BYTES);
    let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
    server::BaseChannel::with_defaults(transport)
}

/// Runs the calls of a connection side by side.
pub async fn execute(responses: impl Stream<Item = impl Future<Output = ()> + Send + 'static>) {
    responses
        .for_each(|response| async {
            tokio::spawn(response);
        })
        .await;
}
