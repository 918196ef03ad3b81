//! Runs the executor of orders and the planner of roles for the instance's data centre, once a partner's declarations
//! name that data centre.

use std::{
    io,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{clock, clock::Moment, name};
use control::lease::Session;
use entry::offered::Meter;
use orders::{
    branch::Client,
    data_centre::{self, Counts, Engines},
    executor::{self, Options},
    planner::{Deployment, Process},
    planning,
    registry::Registry,
};
use roles::pool::Pool;
use settings::{service::Kind, tree};
use slog::warn;
use spread::{replicated_log, synchronizer::Synchronizer, view::View};
use wire::{operator, peer, target::Announcement};

use crate::context::Context;

/// Time after which a lease expires unless it is renewed; a new holder waits a little longer before it sends orders.
const LEASE_DURATION: Duration = Duration::from_secs(8);
/// Time between two reads of an engine's state or of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time without announcements after which an engine counts as gone.
const GONE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks whether a partner's declarations name the data centre.
const DECLARED_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a peer's counts of offered requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Summary of orders and roles for operators; empty until the executor and the planner have started.
#[derive(Clone, Debug, Default)]
pub struct Handle(Arc<OnceLock<Monitors>>);

#[derive(Debug)]
struct Monitors {
    executor: executor::Monitor,
    planning: planning::Monitor,
}

/// Sources from which the data centre's state is read.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Latest announcements of targets.
    pub registry: Registry,
    /// Synchronizes the declarations of this instance.
    pub synchronizer: Synchronizer,
    /// Requests that callers offer to this instance.
    pub offered: OfferedLoad,
}

/// Requests that callers offer to this process. The holder of the data centre's lease adds up those of all instances.
#[derive(Clone, Debug)]
pub struct OfferedLoad {
    started_unix_ms: u64,
    meter: Meter,
}

impl OfferedLoad {
    /// Wraps the meter that the request path writes to, with the current time as the process's start.
    pub fn new(meter: Meter) -> OfferedLoad {
        OfferedLoad { started_unix_ms: clock::unix_ms(), meter }
    }

    /// Reads the counts since the process's start.
    pub fn read(&self) -> peer::Counts {
        peer::Counts { started_unix_ms: self.started_unix_ms, offered: self.meter.snapshot() }
    }
}

impl Handle {
    /// Summarises orders and roles if this instance holds the lease.
    pub fn summary(&self) -> Option<operator::Orders> {
        let monitors = self.0.get()?;
        planning::summary(&monitors.executor, &monitors.planning)
    }
}

/// Starts the thread that waits for the declarations and then runs the executor and the planner.
///
/// The thread ends at `context.stop`, not at `context.end`, so that the lease is returned while the logs still run.
///
/// # Errors
///
/// Returns the operating system's error when the thread can't be started.
pub fn start<A: replicated_log::Client>(
    context: &Context,
    log: A,
    sources: Sources,
) -> io::Result<(Handle, JoinHandle<()>)> {
    let handle = Handle::default();
    let monitors = handle.clone();
    let context = context.clone();
    let run = move || {
        let Some(owner) = wait_for_owner(&context, &sources.synchronizer) else {
            return;
        };
        if let Err(cause) = run_orders(&context, log, sources, owner, &monitors) {
            warn!(context.log, "orders not started"; "cause" => %cause);
        }
    };
    let thread = thread::Builder::new().name(String::from("orders-start")).spawn(run)?;
    Ok((handle, thread))
}

/// Waits until a partner's declarations name the data centre; `None` once `context.stop` is cancelled.
fn wait_for_owner(context: &Context, synchronizer: &Synchronizer) -> Option<name::Branch> {
    while !context.stop.is_cancelled() {
        let view = Arc::clone(&synchronizer.watch().borrow());
        if let Some(owner) = owner(&view, &context.identity.data_centre) {
            return Some(owner);
        }
        thread::sleep(DECLARED_INTERVAL);
    }
    None
}

fn owner(view: &View, data_centre: &name::DataCentre) -> Option<name::Branch> {
    let tree = view.tree();
    let owner = tree
        .partners
        .iter()
        .find(|(_, branch)| branch.partner.data_centres.contains(&data_centre.0));
    owner.map(|(partner, _)| name::Branch(partner.0.clone()))
}

fn run_orders<A: replicated_log::Client>(
    context: &Context,
    log: A,
    sources: Sources,
    owner: name::Branch,
    monitors: &Handle,
) -> io::Result<()> {
    let authority = Client {
        log,
        branch: owner,
        data_centre: context.identity.data_centre.clone(),
        holder: context.identity.instance.clone(),
        session: Session(clock::unix_ns()),
        runtime: context.runtime.clone(),
    };
    let options = Options {
        data_centre: context.identity.data_centre.clone(),
        term: LEASE_DURATION,
        poll_interval: POLL_INTERVAL,
        gone_after: GONE_TIMEOUT,
    };
    let local = LocalDataCentre { context: context.clone(), sources, deployments: Arc::default() };
    let (end, log) = (context.stop.clone(), context.log.clone());
    let data_centre = context.identity.data_centre.clone();
    let executor =
        executor::start(options, authority, Engines(local.clone()), end.clone(), log.clone())?;
    let planning = planning::start(
        data_centre,
        local,
        executor.monitor.clone(),
        executor.proposals.clone(),
        end,
        log,
    )?;
    let _already =
        monitors.0.set(Monitors { executor: executor.monitor, planning: planning.monitor });
    for thread in [executor.thread, planning.thread] {
        thread.join().expect("invariant: components end without a panic");
    }
    Ok(())
}

/// View of the data centre of this instance.
#[derive(Clone)]
struct LocalDataCentre {
    context: Context,
    sources: Sources,
    deployments: Arc<Mutex<Option<Cached>>>,
}

/// Deployments derived from a view of the declarations, kept until the view changes.
struct Cached {
    view: Arc<View>,
    deployments: Vec<Deployment>,
}

impl data_centre::View for LocalDataCentre {
    fn targets(&self) -> Vec<Announcement> {
        self.sources.registry.list(&self.context.identity.data_centre, Moment::now())
    }

    fn deployments(&self) -> Vec<Deployment> {
        let view = Arc::clone(&self.sources.synchronizer.watch().borrow());
        let mut slot = self.deployments.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = slot.as_ref().filter(|cached| Arc::ptr_eq(&cached.view, &view)) {
            return cached.deployments.clone();
        }
        let deployments = deployments(&view, &self.context.identity.data_centre);
        *slot = Some(Cached { view, deployments: deployments.clone() });
        deployments
    }

    fn offered(&self) -> Vec<Counts> {
        let own = self.sources.offered.read();
        let mut all = vec![counts(&self.context.identity.instance, own)];
        let here = &self.context.identity.data_centre;
        for peer in self.context.peers.iter().filter(|peer| peer.data_centre == *here) {
            let call = async |client: &peer::PeerClient, context| client.offered(context).await;
            let response = self.context.runtime.block_on(peer.link.call(CALL_TIMEOUT, call));
            if let Ok(response) = response {
                all.push(counts(&peer.instance, response));
            }
        }
        all
    }
}

fn counts(instance: &name::Instance, counts: peer::Counts) -> Counts {
    let process = Process { instance: instance.clone(), incarnation: counts.started_unix_ms };
    Counts { process, offered: counts.offered }
}

fn deployments(view: &View, data_centre: &name::DataCentre) -> Vec<Deployment> {
    let declared = view.tree();
    let mut deployments = Vec::new();
    for (partner, branch) in &declared.partners {
        if !branch.partner.data_centres.contains(&data_centre.0) {
            continue;
        }
        for name in branch.services.keys() {
            let Ok(service) = tree::effective(&declared.venture, branch, name) else { continue };
            if service.kind == Kind::Model {
                let pool = Pool {
                    partner: partner.clone(),
                    service: name.clone(),
                    data_centre: data_centre.clone(),
                };
                deployments.push(Deployment { pool, service });
            }
        }
    }
    deployments
}
