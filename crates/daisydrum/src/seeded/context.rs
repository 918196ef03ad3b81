//! What every duty of a seeded instance is given.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use common::{cancel, collections::Map, name};
use fleet::exchange::{Identity, Kind};
use settings::seeded::Seeded;
use slog::Logger;
use tokio::sync::watch;
use wire::link::Link;

/// What every duty of a seeded instance is given; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The settings that the instance started with.
    pub(crate) settings: Arc<Seeded>,
    /// Who the instance is.
    pub(crate) identity: Identity,
    /// Peers' addresses of the seeds, which may change.
    pub(crate) seeds: watch::Sender<Vec<SocketAddr>>,
    /// Takes log lines.
    pub(crate) log: Logger,
    /// Cancelled when the instance is told to stop.
    pub(crate) stop: cancel::Token,
    /// Cancelled when all answers are given.
    pub(crate) end: cancel::Token,
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
            settings: Arc::new(settings),
            identity,
            log,
            stop: cancel::Token::new(),
            end: cancel::Token::new(),
            links: Arc::default(),
        }
    }

    /// The connection to a peer, which all duties share.
    pub(crate) fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(links.entry(address).or_insert_with(|| Arc::new(Link::new(address))))
    }
}

/// Where the seeds' peers connect: all instances use the same port.
pub(crate) fn peer_addresses(settings: &Seeded) -> Vec<SocketAddr> {
    let port = settings.peers_listen.port();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}
