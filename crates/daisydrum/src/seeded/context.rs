//! State that all components of a seeded instance share.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use common::{cancel, collections::Map, name};
use fleet::exchange::{Identity, Kind};
use memory::{budget::Budget, size::Machine};
use settings::seeded::Seeded;
use slog::Logger;
use tokio::sync::watch;
use wire::{dial::Startup, link::Link};

/// State that all components of a seeded instance share; a clone refers to the same seeds, tokens and connections.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The settings that the instance started with.
    pub(crate) settings: Arc<Seeded>,
    /// Name, address, data centre and kind of the instance.
    pub(crate) identity: Identity,
    /// Peer addresses of the seeds; reloading the settings may change them.
    pub(crate) seeds: watch::Sender<Vec<SocketAddr>>,
    /// Memory for what is held for callers, targets and peers.
    pub(crate) memory: Budget,
    /// Logger of the instance.
    pub(crate) log: Logger,
    /// Cancelled when the instance is told to stop.
    pub(crate) stop: cancel::Token,
    /// Cancelled once callers are served or the wait for them is over: all tasks end.
    pub(crate) end: cancel::Token,
    /// Connects follow each other more closely until the instance has its configuration and what it serves with.
    pub(crate) startup: Startup,
    links: Arc<Mutex<Map<SocketAddr, Arc<Link>>>>,
}

impl Context {
    pub(crate) fn new(settings: Seeded, log: Logger) -> Context {
        let kind = if settings.control.is_some() { Kind::Control } else { Kind::Entry };
        let address = settings.peers_address.unwrap_or(settings.peers_listen);
        let identity = Identity {
            instance: name::Instance(address.to_string()),
            address,
            data_centre: name::DataCentre(settings.data_centre.clone()),
            kind,
        };
        Context {
            seeds: watch::Sender::new(peer_addresses(&settings)),
            memory: Budget::new(Machine::new(settings.memory_mb)),
            settings: Arc::new(settings),
            identity,
            log,
            stop: cancel::Token::new(),
            end: cancel::Token::new(),
            startup: Startup::open_ended(),
            links: Arc::default(),
        }
    }

    /// Returns the connection to a peer, which all components share.
    pub(crate) fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = || Arc::new(Link::of_starting(address, self.startup.clone()));
        Arc::clone(links.entry(address).or_insert_with(link))
    }
}

/// Peer addresses of the seeds: their own addresses with this instance's peer port, which all instances use.
pub(crate) fn peer_addresses(settings: &Seeded) -> Vec<SocketAddr> {
    let port = settings.peers_listen.port();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}
