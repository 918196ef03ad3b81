//! The listener for other instances.

use std::sync::{Arc, Mutex, PoisonError};

use common::{clock::Moment, name};
use consensus::{message::Envelope, status::Status};
use control::query::Changes;
use fleet::{
    exchange::{self, Answer, Question},
    lesson,
};
use gateway::state::Gateway;
use replica::host::Handle;
use tarpc::{context, server::Channel};
use wire::{
    log::{Outcome, Standing, Wish},
    peer::{self, Peer},
    spread::{Have, Update},
};

use crate::{
    duty::peers as listener,
    error::Fault,
    seeded::{
        context::Context,
        control::Control,
        directory::Directory,
        entry::{Entry, bind, spawn},
        replicas::{BRANCH, Replicas},
    },
};

/// Answers the calls of other instances; cloned for each connection.
#[derive(Clone)]
struct Server {
    context: Context,
    directory: Directory,
    replicas: Option<Replicas>,
    gateway: Option<Arc<Gateway>>,
    /// Spaces the answers on what the engines hold.
    turn: Arc<Mutex<lesson::Turn>>,
}

impl Server {
    fn holdings(&self) -> Answer {
        let Some(gateway) = self.gateway.as_ref().filter(|other| other.are_holdings_known()) else {
            return Answer::Refused;
        };
        let mut turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        if turn.take(Moment::now()) {
            Answer::Holdings(gateway.board().holdings())
        } else {
            Answer::Later
        }
    }

    fn held(&self, branch: &name::Branch) -> Option<&Handle> {
        self.replicas.as_ref().filter(|_| branch.0 == BRANCH)?.handle()
    }
}

impl Peer for Server {
    async fn identify(self, _context: context::Context) -> peer::Identity {
        peer::Identity {
            version: peer::VERSION,
            instance: self.context.card.instance.clone(),
            data_centre: self.context.card.data_centre.clone(),
        }
    }

    async fn pull(self, _context: context::Context, have: Have, _wait_ms: u64) -> Update {
        // Branches of a tree are kept by instances that are started with one.
        Update { branch: have.branch, version: 0, age_ms: None, changes: Changes::None }
    }

    async fn in_force(self, _context: context::Context) -> Vec<Have> {
        Vec::new()
    }

    async fn log_step(
        self,
        _context: context::Context,
        branch: name::Branch,
        from: name::Instance,
        envelopes: Vec<Envelope>,
    ) {
        if let Some(replica) = self.held(&branch) {
            replica.receive(from, envelopes);
        }
    }

    async fn submit(
        self,
        _context: context::Context,
        branch: name::Branch,
        command: Vec<u8>,
    ) -> Outcome {
        match self.held(&branch) {
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
        match self.held(&branch) {
            Some(replica) => replica.query(query).await,
            None => Outcome::NotLeader { leader: None },
        }
    }

    async fn standing(self, _context: context::Context, branch: name::Branch) -> Standing {
        self.held(&branch).map_or(Standing::Absent, Handle::standing)
    }

    async fn change_members(
        self,
        _context: context::Context,
        branch: name::Branch,
        wish: Wish,
    ) -> Outcome {
        match self.held(&branch) {
            Some(replica) => replica.change_members(wish).await,
            None => Outcome::NotLeader { leader: None },
        }
    }

    async fn replica(self, _context: context::Context, branch: name::Branch) -> Option<Status> {
        self.held(&branch).and_then(Handle::status)
    }

    async fn gossip(self, _context: context::Context, _message: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn summary(self, _context: context::Context, _summary: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn exchange(self, _context: context::Context, question: Vec<u8>) -> Vec<u8> {
        let answer = match exchange::decode::<Question>(&question) {
            Some(Question::Holdings) => self.holdings(),
            Some(question) => self.directory.answer(question).await,
            None => Answer::Refused,
        };
        exchange::encode(&answer)
    }

    async fn offered(self, _context: context::Context) -> peer::Counts {
        peer::Counts::default()
    }
}

/// Starts to serve peers.
///
/// # Errors
///
/// Returns a [`Fault`] when the address can't be listened on.
pub(crate) async fn start(
    context: &Context,
    directory: &Directory,
    entry: Option<&Entry>,
    control: Option<&Control>,
) -> Result<(), Fault> {
    let socket = bind(context.settings.peers_listen, "other instances").await?;
    let server = Server {
        context: context.clone(),
        directory: directory.clone(),
        replicas: control.map(|control| control.replicas.clone()),
        gateway: entry.map(|entry| Arc::clone(&entry.gateway)),
        turn: Arc::default(),
    };
    let serve =
        move |stream| listener::run(listener::channel(stream).execute(server.clone().serve()));
    spawn(context, listener::accept(socket, serve, context.end.clone()));
    Ok(())
}
