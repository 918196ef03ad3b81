//! What every duty of the daemon is given.

use std::sync::Arc;

use common::{cancel, name};
use settings::instance;
use slog::Logger;
use tokio::runtime;
use wire::{link::Link, peer};

/// What every duty of the daemon is given; clones share it.
#[derive(Clone, Debug)]
pub struct Context {
    /// The instance's settings.
    pub settings: Arc<instance::Instance>,
    /// Who the instance is.
    pub identity: peer::Identity,
    /// The other instances of the settings, each with a connection that is made on first use.
    pub peers: Arc<[Peer]>,
    /// Runs calls to and from peers; duty threads wait on it with `block_on`.
    pub runtime: runtime::Handle,
    /// Takes log lines.
    pub log: Logger,
    /// Cancelled when the instance is told to stop: it takes no new callers and lets answers end.
    pub stop: cancel::Token,
    /// Cancelled when callers who still hold a connection are cut.
    pub abort_connections: cancel::Token,
    /// Cancelled when all callers are answered or cut.
    pub connections_closed: cancel::Token,
    /// Cancelled when all answers are given: the other duties end.
    pub end: cancel::Token,
}

/// Another instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Branches whose log it keeps a replica of.
    pub replicas: Vec<name::Branch>,
    /// The connection to it.
    pub link: Arc<Link>,
}

impl Context {
    /// Makes the context of an instance.
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
