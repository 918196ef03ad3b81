//! Sends orders that change the stage of engines, so that each service keeps its share of prefill engines.
//!
//! Only the leader of the configuration's log does so, once it holds the lease on orders and no earlier holder's orders
//! can take effect any more.

use std::{net::IpAddr, time::Duration};

use bytes::Bytes;
use common::{clock::Moment, collections::Map, name};
use fleet::{
    config::Config,
    registry::{Stage, State, Target},
};
use gateway::connection::Connection;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, header::HOST};
use platform::engine::{self, Order};
use roles::split::{self, Change, Engine};
use slog::{info, warn};
use tokio::time::{self, Instant};

use crate::seeded::{
    authority::{Authority, HANDOVER_WAIT, Permit},
    context::Context,
    directory::Directory,
};

/// Time between two comparisons of the engines' stages with the wanted share.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the first observation of an engine's current process until the engine counts in its service's split.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time until all entry instances know that an engine takes no new work.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Time after which an order without a visible effect is no longer waited for; it may still be carried out later.
const ORDER_TIMEOUT: Duration = Duration::from_secs(14);
/// Longest time for an order, including the query of the engine's state.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Limit of an engine's report of its state, in bytes.
const MAX_STATE_BYTES: usize = 64 * 1024;
/// Share of a service's engines that change at the same time.
const CHANGING_SHARE: f64 = 0.34;
/// Time for which a service must have one prefill engine too many or too few before that is corrected, since an engine
/// that has left may come back.
const SINGLE_CHANGE_DELAY: Duration = Duration::from_secs(4);

/// The component that plans and sends orders.
pub(crate) struct Coordinator {
    context: Context,
    directory: Directory,
    authority: Authority,
    /// Orders in progress, by engine.
    pending: Map<name::Target, Pending>,
    /// Since when a service has had too many or too few prefill engines.
    mismatched_since: Map<name::Service, Moment>,
    /// Current process of each engine and when it was first observed.
    observed: Map<name::Target, Observation>,
}

/// An order in progress: the new stage, and when the engine began to drain.
#[derive(Clone, Copy, Debug)]
struct Pending {
    stage: Stage,
    at: Moment,
}

/// A process of an engine and when it was first observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    started_unix_ms: u64,
    since: Moment,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The engine accepted it, or already has the stage.
    Taken,
    /// The engine refused it.
    Refused,
    /// It may have been accepted and may take effect at once or later.
    Unknown,
    /// It was not sent.
    NotSent,
}

impl Coordinator {
    pub(crate) fn new(
        context: &Context,
        directory: &Directory,
        authority: &Authority,
    ) -> Coordinator {
        Coordinator {
            context: context.clone(),
            directory: directory.clone(),
            authority: authority.clone(),
            pending: Map::default(),
            mismatched_since: Map::default(),
            observed: Map::default(),
        }
    }

    /// Runs until its task is cancelled.
    pub(crate) async fn run(mut self) {
        loop {
            time::sleep(PLAN_INTERVAL).await;
            let now = Moment::now();
            let (_, targets) = self.directory.changed_since(0);
            self.observe_targets(&targets, now);
            if !self.authority.may_claim() {
                self.pending.clear();
                self.publish_changing();
                continue;
            }
            let Some(config) = self.directory.config() else {
                continue;
            };
            let changes = self.due_changes(&config, &targets, now);
            self.publish_changing();
            if !changes.is_empty() && self.acquire().await.is_some() {
                self.execute(changes, &targets).await;
            }
        }
    }

    fn observe_targets(&mut self, targets: &[Target], now: Moment) {
        for target in targets {
            let observed = Observation { started_unix_ms: target.started_unix_ms, since: now };
            let known = self.observed.entry(target.name.clone()).or_insert(observed);
            if known.started_unix_ms != target.started_unix_ms {
                *known = observed;
            }
            let arrived = |pending: &Pending| target.stage == Some(pending.stage);
            if self.pending.get(&target.name).is_some_and(arrived) {
                info!(self.context.log, "order_done"; "target" => %target.name,
                    "stage" => ?target.stage);
                self.pending.remove(&target.name);
            }
        }
        self.pending.retain(|_, pending| now.since(pending.at) < ORDER_TIMEOUT);
        let known = |name: &name::Target| targets.iter().any(|target| target.name == *name);
        self.observed.retain(|name, _| known(name));
    }

    /// Publishes to the entry instances which engines take no new work.
    fn publish_changing(&self) {
        let mut changing: Vec<name::Target> = self.pending.keys().cloned().collect();
        changing.sort();
        self.directory.set_changing(self.context.identity.address, changing);
    }

    /// Plans the changes that are due now, for all services.
    fn due_changes(&mut self, config: &Config, targets: &[Target], now: Moment) -> Vec<Change> {
        let mut due = Vec::new();
        for service in config.services.iter().filter(|service| service.engine.is_some()) {
            let engines = self.engines(&service.name, targets, now);
            let share = self.context.settings.engines.prompt_share;
            let prefill_wanted = split::prefill_count(engines.len(), share);
            let prefilling = engines.iter().filter(|engine| engine.stage == Stage::Prefill).count();
            let difference = prefilling.abs_diff(prefill_wanted);
            if difference == 0 {
                self.mismatched_since.remove(&service.name);
                continue;
            }
            let since = *self.mismatched_since.entry(service.name.clone()).or_insert(now);
            if difference == 1 && now.since(since) < SINGLE_CHANGE_DELAY {
                continue;
            }
            due.extend(split::changes(&engines, prefill_wanted, self.limit(engines.len())));
        }
        due
    }

    /// Number of further engines of a service with `engines` engines that may change now.
    #[allow(
        clippy::cast_sign_loss,
        clippy::cast_possible_truncation,
        reason = "a share of a count"
    )]
    fn limit(&self, engines: usize) -> usize {
        let max_changing = ((engines as f64 * CHANGING_SHARE) as usize).max(1);
        max_changing.saturating_sub(self.pending.len())
    }

    /// The settled engines of a service, each with the stage that it has once orders in progress have taken effect.
    fn engines(&self, service: &name::Service, targets: &[Target], now: Moment) -> Vec<Engine> {
        let settled = |target: &&Target| {
            self.observed
                .get(&target.name)
                .is_some_and(|observed| now.since(observed.since) >= SETTLE_TIME)
        };
        let of_service = targets.iter().filter(|target| target.service == *service);
        let ready = of_service.filter(|target| target.state == State::Ready).filter(settled);
        let engine = |target: &Target| {
            let pending = self.pending.get(&target.name).map(|pending| pending.stage);
            Some(Engine {
                target: target.name.clone(),
                data_centre: target.data_centre.clone(),
                stage: pending.or(target.stage)?,
            })
        };
        ready.filter_map(engine).collect()
    }

    /// Claims the right to give orders; returns it once no order of an earlier holder can take effect any more.
    async fn acquire(&self) -> Option<Permit> {
        let turn_limit = Duration::from_millis(self.context.settings.engines.turn_ms);
        self.authority.acquire(turn_limit + HANDOVER_WAIT).await
    }

    /// Drains the engines, renews the claim and sends the orders concurrently.
    async fn execute(&mut self, changes: Vec<Change>, targets: &[Target]) {
        let at = Moment::now();
        for change in &changes {
            self.pending.insert(change.target.clone(), Pending { stage: change.stage, at });
        }
        self.publish_changing();
        time::sleep(DRAIN_TIME).await;
        let Some(permit) = self.acquire().await else {
            // Another instance has claimed the right meanwhile, or the log has no leader; start over.
            self.pending.clear();
            self.publish_changing();
            return;
        };
        let lease = Lease { holder: self.context.identity.instance.clone(), permit };
        let source = self.context.settings.targets_source;
        let orders = changes.into_iter().filter_map(|change| {
            let target = targets.iter().find(|target| target.name == change.target)?;
            Some(send_order(lease.clone(), change, target.clone(), source))
        });
        for (change, outcome) in futures::future::join_all(orders).await {
            info!(self.context.log, "order_given"; "target" => %change.target,
                "stage" => ?change.stage, "fence" => permit.fence, "outcome" => ?outcome);
            if matches!(outcome, Outcome::Refused | Outcome::NotSent) {
                self.pending.remove(&change.target);
            }
            if outcome == Outcome::Unknown {
                warn!(self.context.log, "order_unanswered"; "target" => %change.target);
            }
        }
        self.publish_changing();
    }
}

/// The right to send orders and its holder.
#[derive(Clone, Debug)]
struct Lease {
    holder: name::Instance,
    permit: Permit,
}

/// Sends one order. It states how many orders the engine has accepted before, so that a copy of it that arrives late
/// has no effect.
///
/// An engine that doesn't report its state in time got no order; only one that doesn't answer an order may carry it out.
async fn send_order(
    lease: Lease,
    change: Change,
    target: Target,
    source: Option<IpAddr>,
) -> (Change, Outcome) {
    let end = Instant::now() + CALL_TIMEOUT;
    let prepared = time::timeout_at(end, prepare_order(&lease, &change, &target, source)).await;
    let outcome = match prepared.unwrap_or(Err(Outcome::NotSent)) {
        Ok(prepared) => {
            let given = give_order(&lease, prepared);
            time::timeout_at(end, given).await.unwrap_or(Outcome::Unknown)
        }
        Err(outcome) => outcome,
    };
    (change, outcome)
}

/// An order that is ready to be sent over a connection to its engine.
struct Prepared {
    connection: Connection,
    order: Request<Full<Bytes>>,
}

/// Queries the state of an engine; fails with the outcome if no order is to be sent.
async fn prepare_order(
    lease: &Lease,
    change: &Change,
    target: &Target,
    source: Option<IpAddr>,
) -> Result<Prepared, Outcome> {
    let Ok(mut connection) = Connection::open_for_order(target.address, source).await else {
        return Err(Outcome::NotSent);
    };
    let question = request(Method::GET, engine::STATE_PATH, target, Bytes::new());
    let Ok(response) = connection.send(question).await else {
        return Err(Outcome::NotSent);
    };
    let Ok(body) = Limited::new(response.into_body(), MAX_STATE_BYTES).collect().await else {
        return Err(Outcome::NotSent);
    };
    let Some(state) = engine::decode_state(&body.to_bytes()) else {
        return Err(Outcome::NotSent);
    };
    if state.busy {
        return Err(Outcome::Refused);
    }
    let order = Order {
        stage: change.stage,
        holder: lease.holder.clone(),
        fence: lease.permit.fence,
        orders: state.orders,
    };
    let order =
        request(Method::POST, engine::ORDER_PATH, target, engine::encode_order(&order).into());
    Ok(Prepared { connection, order })
}

async fn give_order(lease: &Lease, prepared: Prepared) -> Outcome {
    let Prepared { mut connection, order } = prepared;
    // Checked immediately before sending, since the process may have been suspended after it claimed the lease.
    if Moment::now() >= lease.permit.until {
        return Outcome::NotSent;
    }
    match connection.send(order).await.map(|response| response.status()) {
        Ok(StatusCode::ACCEPTED | StatusCode::OK) => Outcome::Taken,
        Ok(_) => Outcome::Refused,
        Err(_) => Outcome::Unknown,
    }
}

fn request(method: Method, path: &str, target: &Target, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("invariant: the path is well formed");
    *request.headers_mut() = engine::order_headers(&target.name);
    if let Ok(host) = target.address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    request
}
