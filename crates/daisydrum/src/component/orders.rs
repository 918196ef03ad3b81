//! Orders and roles of the instance's data centre, once a partner's declarations name it.

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

/// Term of the lease; a successor waits a little longer before it orders.
const TERM: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(200);
const GONE_AFTER: Duration = Duration::from_secs(10);
/// Pause between two looks at whether a partner's declarations name the data centre.
const DECLARED_INTERVAL: Duration = Duration::from_millis(200);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// What operators are shown, once the duty has started.
#[derive(Clone, Debug, Default)]
pub struct Handle(Arc<OnceLock<Shown>>);

#[derive(Debug)]
struct Shown {
    executor: executor::Monitor,
    planning: planning::Monitor,
}

/// What the data centre's state is read from.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The announcements that count.
    pub registry: Registry,
    /// The declarations in force.
    pub synchronizer: Synchronizer,
    /// What callers offer to this instance.
    pub offered: OfferedLoad,
}

/// What callers offer to this process, for the holder of the data centre's lease.
#[derive(Clone, Debug)]
pub struct OfferedLoad {
    started_unix_ms: u64,
    meter: Meter,
}

impl OfferedLoad {
    /// Makes the counter of this process.
    pub fn new(meter: Meter) -> OfferedLoad {
        OfferedLoad { started_unix_ms: clock::unix_ms(), meter }
    }

    /// The counters since the process's start.
    pub fn read(&self) -> peer::Counts {
        peer::Counts { started_unix_ms: self.started_unix_ms, offered: self.meter.snapshot() }
    }
}

impl Handle {
    /// Orders and roles, where this instance holds the lease.
    pub fn summary(&self) -> Option<operator::Orders> {
        let shown = self.0.get()?;
        planning::summary(&shown.executor, &shown.planning)
    }
}

/// Starts the thread that waits for the declarations and then runs the duties until `context.stop`, so that the lease is given back while the logs still run.
///
/// # Errors
///
/// Returns the operating system's error when the thread can't be made.
pub fn start<A: replicated_log::Client>(
    context: &Context,
    log: A,
    sources: Sources,
) -> io::Result<(Handle, JoinHandle<()>)> {
    let handle = Handle::default();
    let shown = handle.clone();
    let context = context.clone();
    let run = move || {
        let Some(owner) = wait_for_owner(&context, &sources.synchronizer) else {
            return;
        };
        if let Err(cause) = serve(&context, log, sources, owner, &shown) {
            warn!(context.log, "orders not started"; "cause" => %cause);
        }
    };
    let thread = thread::Builder::new().name(String::from("orders-start")).spawn(run)?;
    Ok((handle, thread))
}

/// Waits until a partner's declarations name the data centre; `None` once the process ends.
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

fn serve<A: replicated_log::Client>(
    context: &Context,
    log: A,
    sources: Sources,
    owner: name::Branch,
    shown: &Handle,
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
        term: TERM,
        poll_interval: POLL,
        gone_after: GONE_AFTER,
    };
    let place = Place { context: context.clone(), sources, deployments: Arc::default() };
    let (end, log) = (context.stop.clone(), context.log.clone());
    let data_centre = context.identity.data_centre.clone();
    let executor =
        executor::start(options, authority, Engines(place.clone()), end.clone(), log.clone())?;
    let planning = planning::start(
        data_centre,
        place,
        executor.monitor.clone(),
        executor.proposals.clone(),
        end,
        log,
    )?;
    let _already = shown.0.set(Shown { executor: executor.monitor, planning: planning.monitor });
    for thread in [executor.thread, planning.thread] {
        thread.join().expect("invariant: duties end without a panic");
    }
    Ok(())
}

/// The data centre of this instance.
#[derive(Clone)]
struct Place {
    context: Context,
    sources: Sources,
    deployments: Arc<Mutex<Option<Cached>>>,
}

/// Deployments worked out from a view.
struct Cached {
    view: Arc<View>,
    deployments: Vec<Deployment>,
}

impl data_centre::View for Place {
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
            let answer = self.context.runtime.block_on(peer.link.call(CALL_LIMIT, call));
            if let Ok(answer) = answer {
                all.push(counts(&peer.instance, answer));
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
