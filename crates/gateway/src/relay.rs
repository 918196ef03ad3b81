//! Requests of services whose targets can't be reached from this instance: a peer that reaches them serves them.
//!
//! [`placement::reach`] decides whether the instance is cut off from a service, [`placement::relay`] which peer takes a
//! request; see docs/design/relay.md. A request is passed on once: [`server`] answers that the instance is cut off, too,
//! rather than passing it on again.

pub(crate) mod client;
pub mod probe;
pub mod server;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{
    clock::{self, Moment},
    collections::Map,
    name,
};
use fleet::exchange::{self, Notice};
use hyper::{HeaderMap, header};
use placement::{
    reach,
    relay::{self, Peers},
};
use slog::info;
use tokio::sync::Notify;
use tokio_util::{codec::LengthDelimitedCodec, task::TaskTracker};

use crate::{
    connection,
    state::{Gateway, Options, ms},
};

/// Peers that a request is passed to one after the other; those that are cut off, too, cost a round trip each.
pub(crate) const MAX_RELAYS: u32 = 3;
/// Retry-After where neither this instance nor a peer reaches the service: cuts last for seconds.
pub(crate) const CUT_OFF_RETRY: Duration = Duration::from_secs(1);

/// What the instance knows of its paths to targets and of its peers.
#[derive(derive_more::Debug)]
pub struct State {
    inner: Mutex<Inner>,
    /// Services that the instance is cut off from, so that requests of the others don't wait for the lock.
    cut_off: AtomicUsize,
    /// Notified when the instance becomes cut off from a service.
    became_cut_off: Notify,
    pub(crate) idle: client::Pool,
    /// The last round of probes of each service.
    #[debug(skip)]
    rounds: Mutex<Map<name::Service, probe::Round>>,
    /// Requests that are served for peers.
    pub served: TaskTracker,
}

#[derive(Debug)]
struct Inner {
    table: reach::Table,
    own: reach::Own,
    peers: Peers,
    addresses: Map<name::Instance, SocketAddr>,
}

/// A request that is passed to a peer; it counts at the peer until this is dropped.
#[derive(Debug)]
pub(crate) struct Assignment {
    gateway: Arc<Gateway>,
    pub(crate) peer: name::Instance,
    pub(crate) address: SocketAddr,
    service: name::Service,
    outcome: relay::Outcome,
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let mut inner = self.gateway.relay.lock();
        inner.peers.record_end(&self.peer, &self.service, self.outcome, Moment::now());
    }
}

impl State {
    pub(crate) fn new(options: &Options) -> State {
        let inner = Inner {
            table: reach::Table::default(),
            own: reach::Own::new(options.instance.clone(), clock::unix_ns() / 1_000_000),
            peers: Peers::new(options.data_centre.clone(), options.seed),
            addresses: Map::default(),
        };
        State {
            inner: Mutex::new(inner),
            cut_off: AtomicUsize::new(0),
            became_cut_off: Notify::new(),
            idle: client::Pool::default(),
            rounds: Mutex::default(),
            served: TaskTracker::new(),
        }
    }

    /// Sets the peers that serve callers.
    pub(crate) fn set_peers(&self, peers: &[exchange::Identity]) {
        let mut inner = self.lock();
        inner.addresses = peers.iter().map(|peer| (peer.instance.clone(), peer.address)).collect();
        let peer = |peer: &exchange::Identity| relay::Peer {
            instance: peer.instance.clone(),
            data_centre: peer.data_centre.clone(),
        };
        inner.peers.set_peers(peers.iter().map(peer).collect());
    }

    /// Whether no target of the service accepts connections from here.
    pub(crate) fn is_cut_off(&self, service: &name::Service) -> bool {
        self.cut_off.load(Ordering::Acquire) > 0 && self.lock().table.is_cut_off(service)
    }

    /// Waits until the instance is cut off from the service, unless no peer reaches it either.
    pub(crate) async fn until_relayed(&self, service: &name::Service) {
        loop {
            let changed = self.became_cut_off.notified();
            if self.is_cut_off(service) && self.lock().peers.may_reach(service, Moment::now()) {
                return;
            }
            changed.await;
        }
    }

    /// The services that the instance is cut off from.
    pub fn cut_off(&self) -> Vec<name::Service> {
        self.lock().table.cut_off().map(|(service, _since)| service.clone()).collect()
    }

    /// Applies a peer's state.
    pub(crate) fn merge(&self, reach: &exchange::Reach) {
        self.lock().peers.merge(reach, Moment::now());
    }

    /// The instance's own state, if its peers should be told it now.
    pub fn notice(&self) -> Option<Notice> {
        let mut inner = self.lock();
        let Inner { table, own, .. } = &mut *inner;
        own.notice(table, Moment::now()).map(Notice::Reach)
    }

    /// Whether a round of probes of the service is due, which then counts as begun.
    fn take_probe(&self, service: &name::Service) -> bool {
        self.lock().table.take_probe(service, Moment::now())
    }

    /// Forgets services that are no longer declared.
    pub(crate) fn retain(&self, declared: impl Fn(&name::Service) -> bool) {
        let mut inner = self.lock();
        inner.table.retain(&declared);
        self.rounds().retain(|service, _| declared(service));
        self.cut_off.store(inner.table.cut_off().count(), Ordering::Release);
    }

    /// Closes the connections to peers that have been idle for too long.
    pub fn evict_expired(&self) {
        self.idle.evict_expired();
    }

    fn rounds(&self) -> MutexGuard<'_, Map<name::Service, probe::Round>> {
        self.rounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Assignment {
    /// Selects the peer that takes a request.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        service: &name::Service,
        avoid: &[name::Instance],
    ) -> Option<Assignment> {
        let mut inner = gateway.relay.lock();
        let peer = inner.peers.choose(service, avoid, Moment::now())?;
        // The caller may leave before there is an outcome.
        let outcome = relay::Outcome::Abandoned;
        let Some(address) = inner.addresses.get(&peer).copied() else {
            inner.peers.record_end(&peer, service, outcome, Moment::now());
            return None;
        };
        let gateway = Arc::clone(gateway);
        Some(Assignment { gateway, peer, address, service: service.clone(), outcome })
    }

    pub(crate) fn set_outcome(&mut self, outcome: relay::Outcome) {
        self.outcome = outcome;
    }
}

impl Gateway {
    /// Records that a target of the service was reached over a new connection.
    pub(crate) fn record_reached(&self, service: &name::Service) {
        let now = Moment::now();
        let mut inner = self.relay.lock();
        let since = inner.table.cut_off().find(|(other, _)| *other == service);
        let since = since.map(|(_, since)| since);
        let change = inner.table.record_reached(service, now);
        self.relay.cut_off.store(inner.table.cut_off().count(), Ordering::Release);
        drop(inner);
        if change == Some(reach::Change::Reached) {
            self.balancer().reset_unreached(service);
            info!(self.log, "service_reached"; "service" => %service,
                "ms" => since.map_or(0, |since| ms(now.since(since))));
            self.notify_peers(self.relay.notice());
        }
    }

    /// Records that no connection to a target could be made.
    pub(crate) fn record_unreached(&self, service: &name::Service, target: &name::Target) {
        let targets = self.balancer().ready(service).len();
        let mut inner = self.relay.lock();
        let change = inner.table.record_unreached(service, target, targets, Moment::now());
        self.relay.cut_off.store(inner.table.cut_off().count(), Ordering::Release);
        drop(inner);
        if change == Some(reach::Change::CutOff) {
            self.relay.became_cut_off.notify_waiters();
            metrics::counter!("daisydrum_services_cut_off_total").increment(1);
            info!(self.log, "service_cut_off"; "service" => %service, "targets" => targets,
                "last" => %target);
            self.notify_peers(self.relay.notice());
        }
    }
}

/// The codec of a connection after its preface.
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(fleet::relay::MAX_FRAME_BYTES).new_codec()
}

/// Headers as they are sent to a peer.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (String::from(name.as_str()), value.as_bytes().to_vec()))
        .collect()
}

/// Headers of a peer; `None` if one is not valid.
pub(crate) fn decode_headers(headers: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = header::HeaderName::from_bytes(name.as_bytes()).ok()?;
        decoded.append(name, header::HeaderValue::from_bytes(value).ok()?);
    }
    Some(decoded)
}

/// Timeout for a connection to a peer, as for one to a target.
const CONNECT_TIMEOUT: Duration = connection::CONNECT_TIMEOUT;
