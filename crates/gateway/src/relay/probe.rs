//! Probes of the targets of services that the instance may be cut off from.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::name;
use fleet::registry::Target;
use futures::future;
use placement::balancer::Key;
use slog::debug;
use tokio::time;

use crate::state::Gateway;

/// Time between two checks whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Targets that a round of probes connects to at the same time.
const ROUND_TARGETS: usize = 3;

/// Probes the services that the instance is cut off from, until one of their targets accepts a connection.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        for service in gateway.relay.cut_off() {
            start_if_due(&gateway, &service);
        }
    }
}

/// Starts a round of probes of a service, unless one has begun lately.
pub(crate) fn start_if_due(gateway: &Arc<Gateway>, service: &name::Service) {
    if gateway.relay.take_probe(service) {
        tokio::spawn(round(Arc::clone(gateway), service.clone()));
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

async fn round(gateway: Arc<Gateway>, service: name::Service) {
    let targets = gateway.balancer().sample_ready(&service, ROUND_TARGETS);
    let probes = targets
        .into_iter()
        .map(|(key, target, address)| probe(&gateway, &service, key, target, address));
    future::join_all(probes).await;
}

async fn probe(
    gateway: &Gateway,
    service: &name::Service,
    key: Key,
    target: name::Target,
    address: SocketAddr,
) {
    match gateway.pool.open(address).await {
        Ok(connection) => {
            gateway.balancer().record_connected(key);
            gateway.pool.mark_alive(address);
            gateway.pool.put(address, connection);
            gateway.record_reached(service);
        }
        Err(error) => {
            debug!(gateway.log, "probe_failed"; "service" => %service, "target" => %target,
                "fault" => %error);
            gateway.record_unreached(service, &target);
        }
    }
}
