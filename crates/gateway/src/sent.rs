//! A request that was sent to a target, counted there until it ends however it ends.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{clock::Moment, name};
use fleet::exchange::{Notice, Part};
use placement::{
    balancer::{Key, selection::Plan},
    health::Outcome,
};
use platform::request::Metadata;
use slog::{debug, info};
use tokio::time;

use crate::{
    connection::Connection,
    metric,
    state::{Gateway, ms},
};

const FIRST_REACH_PAUSE: Duration = Duration::from_millis(250);
/// Targets and zones come back after seconds; a try costs one packet.
const MAX_REACH_PAUSE: Duration = Duration::from_secs(1);

/// A request that was sent to a target; its end is counted when this is dropped.
#[derive(Debug)]
pub(crate) struct Sent {
    gateway: Arc<Gateway>,
    pub(crate) plan: Plan,
    /// Number of its prompt.
    number: u64,
    /// Identity of the caller's attempt, for logs.
    id: String,
    parts: Vec<Part>,
    at: Moment,
    begun: bool,
}

/// Where a target is reached.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) name: name::Target,
    pub(crate) address: SocketAddr,
}

impl Sent {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        plan: Plan,
        number: u64,
        metadata: &Metadata,
        at: Moment,
    ) -> Sent {
        let (id, parts) = (metadata.id.clone(), metadata.parts.clone());
        Sent { gateway, plan, number, id, parts, at, begun: false }
    }

    pub(crate) fn place(&self, key: Key) -> Option<Place> {
        let balancer = self.gateway.balancer();
        let target = &balancer.entry(key)?.target;
        Some(Place { name: target.name.clone(), address: target.address })
    }

    /// Writes down where the request goes and what that was decided by.
    pub(crate) fn log_place(&self, route: &str, run: u32, left: Duration) {
        let name = |key| self.place(key).map_or_else(String::new, |place| place.name.0);
        debug!(self.gateway.log, "request_placed"; "id" => &self.id, "route" => route, "run" => run,
            "target" => name(self.plan.target),
            "prefill" => self.plan.prefill.map_or_else(String::new, name),
            "fetch" => self.plan.prefix_source.map_or_else(String::new, name),
            "fresh_tokens" => self.plan.uncached_tokens, "pending_tokens" => self.plan.pending_tokens,
            "prompt_ms" => format!("{:.0}", self.plan.prompt_ms),
            "predicted_ms" => self.predicted_ms(), "left_ms" => ms(left));
    }

    fn predicted_ms(&self) -> String {
        format!("{:.0}", self.plan.first_token_at_ms - self.at.0 as f64)
    }

    /// Notes that the prompt is computed.
    pub(crate) fn computed(&self) {
        let now = Moment::now();
        let notice = self.gateway.balancer().complete_prompt(self.number, now);
        if notice.is_none() {
            return;
        }
        self.gateway.tell(notice);
        let took = now.since(self.at);
        metric::observe(metric::Stage::Prompt, took);
        debug!(self.gateway.log, "prompt_computed"; "id" => &self.id,
            "predicted_ms" => self.predicted_ms(), "ms" => ms(took));
    }

    /// Notes that the prompt is computed apart: its parts can be copied from there, also once the handle has lapsed.
    pub(crate) fn computed_at(&self, key: Key) {
        self.computed();
        self.hold(key);
    }

    /// Notes that the first event has come, after which the prompt's parts can be copied.
    pub(crate) fn begun(&mut self) {
        if std::mem::replace(&mut self.begun, true) {
            return;
        }
        self.computed();
        self.hold(self.plan.target);
    }

    fn hold(&self, key: Key) {
        let notice = self.gateway.balancer().record_cached(key, &self.parts);
        self.gateway.tell(notice);
    }

    /// Takes in how the exchange with a target went.
    pub(crate) fn judge(&self, key: Key, outcome: Outcome) {
        let left_out = self.gateway.balancer().record_outcome(key, outcome, Moment::now());
        let Some(place) = self.place(key) else {
            return;
        };
        if matches!(outcome, Outcome::Broken | Outcome::Unreached) {
            self.gateway.pool.remove(place.address);
        }
        if outcome == Outcome::Unreached && left_out {
            self.gateway.tell([Notice::Unreached { target: place.name.clone() }]);
            tokio::spawn(reach_again(Arc::clone(&self.gateway), key, place.address));
        }
        if left_out {
            metrics::counter!("daisydrum_targets_left_out_total").increment(1);
            info!(self.gateway.log, "target_left_out"; "target" => %place.name,
                "address" => %place.address, "outcome" => ?outcome, "id" => &self.id);
        }
    }
}

/// Tries to connect to a target that could not be reached, so that no request has to.
async fn reach_again(gateway: Arc<Gateway>, key: Key, address: SocketAddr) {
    let mut pause = FIRST_REACH_PAUSE;
    loop {
        time::sleep(pause).await;
        if gateway.balancer().entry(key).is_none() {
            return;
        }
        if let Ok(connection) = Connection::open(address).await {
            gateway.balancer().record_connected(key);
            gateway.pool.mark_alive(address);
            gateway.pool.put(address, connection);
            info!(gateway.log, "target_reached"; "address" => %address);
            return;
        }
        pause = (pause * 2).min(MAX_REACH_PAUSE);
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut balancer = self.gateway.balancer();
        balancer.complete_request(self.plan.target);
        let notice = balancer.cancel_prompt(self.number, Moment::now());
        drop(balancer);
        self.gateway.tell(notice);
    }
}
