//! Probes of the targets of services that the instance may be cut off from.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::name;
use fleet::registry::Target;
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, Shared},
    stream::FuturesUnordered,
};
use placement::balancer::Key;
use slog::debug;
use tokio::time;

use crate::{
    connection::{Connection, Error},
    state::Gateway,
};

/// Time between two checks whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Targets that a round of probes connects to at the same time.
const ROUND_TARGETS: usize = 3;
/// Time after which a connection that was not closed is taken for one to the target; several round trips.
const SETTLE_TIME: Duration = Duration::from_millis(25);
/// The same while the instance is cut off from the service, when no request waits for it.
const LONG_SETTLE_TIME: Duration = Duration::from_millis(150);

/// A round of probes, which all that wait for it share.
pub(crate) type Round = Shared<BoxFuture<'static, ()>>;

/// Probes the services that the instance is cut off from, until one of their targets accepts a connection, and renews what
/// peers know of that.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        gateway.notify_peers(gateway.relay.notice());
        for service in gateway.relay.cut_off() {
            start_if_due(&gateway, &service);
        }
    }
}

/// Starts a round of probes of a service, unless one has begun lately.
pub(crate) fn start_if_due(gateway: &Arc<Gateway>, service: &name::Service) {
    if gateway.relay.take_probe(service) {
        tokio::spawn(round(gateway, service));
    }
}

/// Finds out whether targets of a service still accept connections, after one to a target was lost.
pub(crate) async fn examine(gateway: &Arc<Gateway>, service: &name::Service) {
    if !gateway.relay.is_cut_off(service) {
        round(gateway, service).await;
    }
}

/// The round of probes of a service that is under way, or a new one.
fn round(gateway: &Arc<Gateway>, service: &name::Service) -> Round {
    let mut rounds = gateway.relay.rounds();
    if let Some(round) = rounds.get(service).filter(|round| round.peek().is_none()) {
        return round.clone();
    }
    let round = probe_some(Arc::clone(gateway), service.clone()).boxed().shared();
    rounds.insert(service.clone(), round.clone());
    round
}

/// Probes a few targets; ends with the first one that is reached.
async fn probe_some(gateway: Arc<Gateway>, service: name::Service) {
    let targets = gateway.balancer().sample_ready(&service, ROUND_TARGETS);
    let mut probes: FuturesUnordered<_> = targets
        .into_iter()
        .map(|(key, target, address)| probe(&gateway, &service, key, target, address))
        .collect();
    while let Some(reached) = probes.next().await {
        if reached == Reached::Yes {
            return;
        }
    }
}

/// Probes a target that has just started, if the instance is cut off from its service: the others may have ended.
pub fn start_at(gateway: &Arc<Gateway>, target: &Target) {
    if !gateway.relay.is_cut_off(&target.service) {
        return;
    }
    let key = gateway.balancer().key(&target.name);
    let Some(key) = key else {
        return;
    };
    let (gateway, target) = (Arc::clone(gateway), target.clone());
    tokio::spawn(async move {
        probe(&gateway, &target.service, key, target.name.clone(), target.address).await;
    });
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reached {
    Yes,
    No,
}

async fn probe(
    gateway: &Gateway,
    service: &name::Service,
    key: Key,
    target: name::Target,
    address: SocketAddr,
) -> Reached {
    match open(gateway, service, address).await {
        Ok(connection) => {
            gateway.balancer().record_connected(key);
            gateway.pool.mark_alive(address);
            gateway.pool.put(address, connection);
            gateway.record_reached(service);
            Reached::Yes
        }
        Err(error) => {
            debug!(gateway.log, "probe_failed"; "service" => %service, "target" => %target,
                "fault" => %error);
            gateway.record_unreached(service, &target);
            Reached::No
        }
    }
}

/// Opens a connection that stays open: a proxy on the way accepts connections before it finds that it reaches no target.
pub(crate) async fn open(
    gateway: &Gateway,
    service: &name::Service,
    address: SocketAddr,
) -> Result<Connection, Error> {
    let connection = gateway.pool.open(address).await?;
    let is_cut_off = gateway.relay.is_cut_off(service);
    time::sleep(if is_cut_off { LONG_SETTLE_TIME } else { SETTLE_TIME }).await;
    if connection.is_reusable() {
        Ok(connection)
    } else {
        Err(Error::NotSent(String::from("the connection was closed at once")))
    }
}
