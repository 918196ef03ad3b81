//! The component that serves callers: connects the gateway's request path to the directory of the fleet.

use std::{sync::Arc, time::Duration};

use common::clock::{self, Moment};
use gateway::{
    listener::{self, Shutdown},
    metric,
    relay::probe,
    state::{Gateway, Options},
};
use placement::{balancer, precedence, retry};
use slog::info;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    error::Error,
    seeded::{
        context::Context,
        directory::{self, Directory},
        ends, listener as http_listener, notices, origins, standings, usage, warmup,
    },
    signal,
};

/// Time that the platform's balancer needs to notice that the instance isn't ready; until then it still sends
/// connections, which are accepted. At most half of the time to stop (`stop_s` less `STOP_MARGIN`) is spent on it.
const REROUTE_TIME: Duration = Duration::from_millis(2_600);
/// Time before the end of `stop_s` at which open connections are closed, so that the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time before that in which requests without a response get an error: a closed connection would tell their callers nothing.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time between two rounds that evict expired connections and publish metrics; also the longest time between two
/// refreshes of the targets and the instance count.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The running component.
#[derive(Debug)]
pub(crate) struct Entry {
    /// State that all requests share.
    pub(crate) gateway: Arc<Gateway>,
    shutdown: Shutdown,
    callers_task: JoinHandle<()>,
}

/// Starts the component if the settings name addresses for callers and for readiness.
///
/// # Errors
///
/// Returns an [`enum@Error`] when an address can't be listened on.
pub(crate) async fn start(
    context: &Context,
    directory: &Directory,
) -> Result<Option<Entry>, Error> {
    let (Some(callers_address), Some(readiness)) =
        (context.settings.callers, context.settings.readiness)
    else {
        return Ok(None);
    };
    let bounds = context.settings.retries;
    let options = Options {
        instance: context.identity.instance.clone(),
        data_centre: context.identity.data_centre.clone(),
        retries: retry::Bounds {
            window: Duration::from_secs(bounds.window_s),
            ratio: bounds.ratio,
            slack: bounds.slack,
        },
        source: context.settings.targets_source,
        seed: clock::unix_ns(),
        revocation: context
            .settings
            .revocation
            .map(|revocation| Duration::from_millis(revocation.limit_ms)),
        memory: context.memory.clone(),
        precedence: if platform::rule::asks_for_precedence(&context.settings.rules) {
            precedence::Scope::Contended
        } else {
            precedence::Scope::Nowhere
        },
    };
    let (gateway, outgoing) = Gateway::new(options, context.log.clone());
    notices::start(context, directory, &gateway, outgoing.notices, outgoing.inquiries).await?;
    origins::start(context, directory, &gateway, outgoing.questions);
    ends::start(context, directory, outgoing.ends);
    usage::entry::start(context, directory, &gateway);
    let retry_window = Duration::from_secs(bounds.window_s);
    spawn(context, follow_targets(directory.clone(), Arc::clone(&gateway), retry_window));
    spawn(context, follow_configs(directory.clone(), Arc::clone(&gateway)));
    spawn(context, maintain(Arc::clone(&gateway)));
    spawn(context, probe::run(Arc::clone(&gateway)));
    let listener = bind(callers_address, "callers").await?;
    let shutdown = Shutdown { drain: context.stop.clone(), close: common::cancel::Token::new() };
    let callers_task =
        tokio::spawn(listener::run(listener, Arc::clone(&gateway), shutdown.clone()));
    spawn(context, standings::report(context.clone(), directory.clone(), Arc::clone(&gateway)));
    spawn(context, warmup::run(context.clone(), directory.clone(), Arc::clone(&gateway)));
    http_listener::start_readiness(context, readiness, Arc::clone(&gateway)).await?;
    Ok(Some(Entry { gateway, shutdown, callers_task }))
}

impl Entry {
    /// Accepts connections for up to `REROUTE_TIME`, then closes the listener and waits until open requests end. A
    /// second signal, or `STOP_MARGIN` before `stop_s`, ends the wait.
    pub(crate) async fn stop(self, context: &Context, signals: &mut signal::Stop) {
        let limit = Duration::from_secs(context.settings.stop_s).saturating_sub(STOP_MARGIN);
        let Entry { gateway, shutdown, callers_task } = self;
        let answered = limit.saturating_sub(ANSWER_MARGIN);
        gateway.set_end(Moment::now() + answered);
        let served = &gateway.relay.served;
        served.close();
        let ended = async {
            time::sleep(REROUTE_TIME.min(limit / 2)).await;
            shutdown.close.cancel();
            tokio::join!(callers_task, served.wait())
        };
        let limited = async {
            time::sleep(answered).await;
            gateway.given_up.cancel();
            time::sleep(ANSWER_MARGIN).await;
        };
        let reason = tokio::select! {
            _ended = ended => "all answers given",
            () = limited => "limit of stop_s",
            () = signals.wait() => "second signal",
        };
        info!(context.log, "callers_ended"; "reason" => reason);
    }
}

/// Binds a TCP listener; `purpose` names it in the error.
pub(crate) async fn bind(
    address: std::net::SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|cause| Error::Listen { address, purpose, cause })
}

/// Runs a task until `context.end` is cancelled.
pub(crate) fn spawn(context: &Context, task: impl Future<Output = ()> + Send + 'static) {
    let end = context.end.clone();
    tokio::spawn(async move { end.run_until_cancelled(task).await });
}

async fn follow_targets(directory: Directory, gateway: Arc<Gateway>, retry_window: Duration) {
    let mut changes = directory.changes();
    let mut revision = 0;
    let mut entries = None;
    loop {
        let (reached, targets) = directory.changed_since(revision);
        revision = reached;
        if !targets.is_empty() {
            gateway.origins.learn_versions(&directory.versions(Moment::now()));
        }
        for target in &targets {
            if gateway.update_target(target) == balancer::Update::Started {
                probe::start_at(&gateway, target);
            }
            info!(gateway.log, "target_known"; "target" => %target.name, "state" => ?target.state,
                "stage" => ?target.stage, "software" => %target.software, "address" => %target.address);
        }
        gateway.set_changing(&directory.changing());
        gateway.set_has_predecessor(!directory.excludes_predecessor(retry_window));
        let current =
            (directory.entries_revision(), directory.knows_entry_instances(Moment::now()));
        if entries.replace(current) != Some(current) {
            let peers = directory.entry_instances();
            gateway.set_instance_count(peers.len() + 1);
            gateway.set_peers(&peers);
            if current.1 {
                let others = peers.into_iter().map(|identity| identity.instance);
                gateway.set_instances(others.collect());
            }
        }
        let changed = time::timeout(MAINTENANCE_INTERVAL, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

async fn follow_configs(directory: Directory, gateway: Arc<Gateway>) {
    let mut newest = directory.newest();
    loop {
        let directory::Newest { held, announced } = newest.borrow_and_update().clone();
        gateway.announce_config(announced);
        if let Some(config) = held {
            let (version, routes) = (config.version, config.routes.len());
            if gateway.install_config(config) {
                // Passes the known targets to the balancer again.
                let (_, targets) = directory.changed_since(0);
                for target in &targets {
                    gateway.update_target(target);
                }
                info!(gateway.log, "config_in_force"; "version" => version, "routes" => routes);
            }
        }
        if newest.changed().await.is_err() {
            return;
        }
    }
}

async fn maintain(gateway: Arc<Gateway>) {
    loop {
        time::sleep(MAINTENANCE_INTERVAL).await;
        gateway.pool.evict_expired();
        gateway.relay.evict_expired();
        gateway.refresh_origins();
        metric::publish(&gateway);
    }
}
