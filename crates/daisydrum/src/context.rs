//! State that all components of an instance share.

use std::sync::Arc;

use common::{cancel, name};
use settings::instance;
use slog::Logger;
use tokio::runtime;
use wire::{link::Link, peer};

/// State that all components of an instance share; a clone refers to the same tokens and connections.
#[derive(Clone, Debug)]
pub struct Context {
    /// The instance's settings.
    pub settings: Arc<instance::Instance>,
    /// Name, data centre and protocol version that the instance presents to peers.
    pub identity: peer::Identity,
    /// The other instances named in the settings, each with a connection that is opened on first use.
    pub peers: Arc<[Peer]>,
    /// Runs calls to and from peers; the threads of components wait for them with `block_on`.
    pub runtime: runtime::Handle,
    /// Logger of the instance.
    pub log: Logger,
    /// Cancelled when the instance is told to stop: it accepts no new callers, and open requests run to their end.
    pub stop: cancel::Token,
    /// Cancelled to close callers' connections that are still open.
    pub abort_connections: cancel::Token,
    /// Cancelled by the callers' listener once all its connections are closed.
    pub connections_closed: cancel::Token,
    /// Cancelled after the callers' listener and the orders have ended: the other components end.
    pub end: cancel::Token,
}

/// Another instance named in the settings.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Branches of whose replicated logs it keeps a replica.
    pub replicas: Vec<name::Branch>,
    /// The connection to it.
    pub link: Arc<Link>,
}

impl Context {
    /// Builds the context of an instance from its settings; opens no connection.
    pub fn new(settings: instance::Instance, runtime: runtime::Handle, log: Logger) -> Context {
        let identity = peer::Identity {
            version: peer::VERSION,
            instance: name::Instance(settings.name.clone()),
            data_centre: name::DataCentre(settings.data_centre.clone()),
        };
        let peers = settings.peers.iter().map(Peer::new).collect();
        Context {
            settings: Arc::new(settings),
            identity,
            peers,
            runtime,
            log,
            stop: cancel::Token::new(),
            abort_connections: cancel::Token::new(),
            connections_closed: cancel::Token::new(),
            end: cancel::Token::new(),
        }
    }
}

impl Peer {
    fn new(settings: &instance::Peer) -> Peer {
        Peer {
            instance: name::Instance(settings.name.clone()),
            data_centre: name::DataCentre(settings.data_centre.clone()),
            replicas: settings.replicas.iter().cloned().map(name::Branch).collect(),
            link: Arc::new(Link::new(settings.address)),
        }
    }
}
