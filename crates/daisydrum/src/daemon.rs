//! Starts the duties of an instance and stops them in order.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use ::orders::registry::Registry;
use common::{clock, name};
use entry::{directory::Directory, offered::Meter, protocol, router, server};
use settings::{check, error::Faults, instance, tree};
use slog::{Level, info, warn};
use spread::node;
use telemetry::{log, metric, span};
use tokio::{
    runtime::{self, Runtime},
    sync::watch,
    time,
};

use crate::{
    claims,
    context::Context,
    duty::{
        callers, control, declarations, members, membership, operators, orders, peers, replica,
        services,
    },
    error::Fault,
    links::Links,
    logs, signal,
};

const PEER_WORKERS: usize = 2;

/// Checks the settings of an instance and its tree.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn check(path: &Path) -> Result<(), Fault> {
    let instance = check::instance(path).map_err(Faults::from)?;
    load_directory(path, &instance)?;
    Ok(())
}

/// Runs an instance until it is told to stop.
///
/// # Errors
///
/// Returns a [`Fault`] when the instance can't start.
pub fn run(path: &Path) -> Result<(), Fault> {
    let settings = check::instance(path).map_err(Faults::from)?;
    let directory = load_directory(path, &settings)?;
    let log = log::start(level(settings.log.level));
    let runtime = peer_runtime()?;
    let context = Context::new(settings, runtime.handle().clone(), log);
    let mut signals = runtime.block_on(async { signal::Stop::new() })?;
    let duties = Duties::start(&context, directory)?;
    let instance = &context.identity.instance;
    info!(context.log, "started"; "instance" => %instance, "data_centre" => %context.identity.data_centre,
        "callers" => %context.settings.callers, "control" => %context.settings.control,
        "peers" => %context.settings.peers_listen);

    runtime.block_on(signals.wait());
    info!(context.log, "stopping"; "instance" => %instance);
    duties.refuse_callers(&context);
    runtime.block_on(wait_for_answers(&context, &mut signals));
    duties.stop(&context);
    info!(context.log, "stopped"; "instance" => %instance);
    Ok(())
}

/// Waits until all answers are given; a second signal or the limit of the settings cuts those that are left.
async fn wait_for_answers(context: &Context, signals: &mut signal::Stop) {
    let limit = Duration::from_secs(context.settings.stop_s);
    tokio::select! {
        () = context.answered.cancelled() => return,
        () = signals.wait() => warn!(context.log, "stopping_at_once"; "reason" => "second signal"),
        () = time::sleep(limit) => warn!(context.log, "stopping_at_once"; "reason" => "limit of stop_s"),
    }
    context.cut.cancel();
}

/// The running duties, in the groups in which they are stopped.
struct Duties {
    ready: Arc<AtomicBool>,
    /// End once all answers are given after `stop`.
    callers: JoinHandle<()>,
    /// End after `end`.
    others: Vec<JoinHandle<()>>,
}

impl Duties {
    fn start(context: &Context, directory: Directory) -> Result<Duties, Fault> {
        let metrics = metric::install();
        let ready = Arc::new(AtomicBool::new(false));
        let (router, router_thread) = router::start(router_setup(), context.end.clone())?;
        let mut others = vec![router_thread];
        let (spans, spans_thread) = start_spans(&context.settings)?;
        others.extend(spans_thread);
        let (directory_in_force, directory) = watch::channel(Arc::new(directory));
        let follow = services::follow(directory.clone(), router.clone(), context.end.clone());
        context.runtime.spawn(follow);
        let replica::Replicas { host, logs, threads } = replica::start(context)?;
        others.extend(threads);
        let spread = start_spread(context, &logs, directory_in_force)?;
        let registry = Registry::default();
        let (membership, membership_thread) =
            membership::start(context, router.clone(), registry.clone())?;
        others.push(membership_thread);
        let offered = Meter::default();
        let counter = orders::Counter::new(offered.clone());
        let sources = orders::Sources { registry, node: spread.clone(), counter: counter.clone() };
        let (orders, orders_thread) = orders::start(context, logs.clone(), sources)?;
        others.push(orders_thread);
        let control = control::Control {
            identity: context.identity.clone(),
            ready: Arc::clone(&ready),
            router: router.clone(),
            membership: membership.clone(),
            metrics,
            members: members::Members {
                context: context.clone(),
                host: host.clone(),
                logs: logs.clone(),
            },
            operators: operators::Operators {
                context: context.clone(),
                authority: logs.clone(),
                spread: spread.clone(),
            },
            orders,
        };
        let _listener = control::start(context.settings.control, control)?;
        others.push(peers::start(
            context,
            peers::Server {
                identity: context.identity.clone(),
                replicas: host,
                spread,
                membership,
                counter,
            },
        )?);
        let server = server::Server {
            instance: context.identity.instance.clone(),
            directory,
            router,
            protocol: protocol::Native { instance: context.identity.instance.clone() },
            register: claims::Claims { logs: logs.clone() },
            offered,
            spans,
            log: context.log.clone(),
        };
        let callers = callers::start(context, server)?;
        ready.store(true, Ordering::Release);
        Ok(Duties { ready, callers, others })
    }

    /// Takes no new callers; those that are being answered go on.
    fn refuse_callers(&self, context: &Context) {
        self.ready.store(false, Ordering::Release);
        context.stop.cancel();
    }

    /// Ends all duties once the callers are answered or cut.
    fn stop(self, context: &Context) {
        join(self.callers);
        context.end.cancel();
        for duty in self.others {
            join(duty);
        }
    }
}

/// Starts what brings declarations to this instance; without replicated logs the directory stays as it is.
fn start_spread(
    context: &Context,
    logs: &logs::Logs,
    directory: watch::Sender<Arc<Directory>>,
) -> Result<node::Node, Fault> {
    let options = node::Options {
        instance: Arc::clone(&context.settings),
        log: context.log.clone(),
        stop: context.end.clone(),
    };
    let node = node::Node::start(options, logs, &Links::new(context), &context.runtime)?;
    let follow = declarations::follow(node.clone(), directory, context.clone());
    context.runtime.spawn(follow);
    for replica in &context.settings.replicas {
        let branch = name::Branch::from(replica.branch.as_str());
        let (node, logs) = (node.clone(), logs.clone());
        if branch.0 != check::VENTURE {
            let adopt = declarations::adopt(node, logs.clone(), branch.clone(), context.clone());
            context.runtime.spawn(adopt);
        }
        context.runtime.spawn(declarations::count_time(logs, branch, context.clone()));
    }
    Ok(node)
}

fn router_setup() -> route::router::Setup {
    route::router::Setup { seed: clock::unix_ns(), ..Default::default() }
}

fn join(duty: JoinHandle<()>) {
    duty.join().expect("invariant: duties end without a panic");
}

fn peer_runtime() -> Result<Runtime, Fault> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(PEER_WORKERS)
        .thread_name("peers")
        .enable_all()
        .build()?;
    Ok(runtime)
}

fn load_directory(path: &Path, instance: &instance::Instance) -> Result<Directory, Fault> {
    let Some(folder) = &instance.tree else {
        return Ok(Directory::default());
    };
    let mut loaded = tree::load(Path::new(folder));
    loaded.faults.extend(check::places(path, instance, &loaded.tree));
    if !loaded.faults.is_empty() {
        return Err(Fault::from(Faults::from(loaded.faults)));
    }
    Ok(Directory::new(&loaded.tree)?)
}

fn start_spans(
    instance: &instance::Instance,
) -> Result<(span::Exporter, Option<JoinHandle<()>>), Fault> {
    let Some(file) = &instance.spans.file else {
        return Ok((span::Exporter::off(), None));
    };
    let (exporter, thread) = span::Exporter::start(Path::new(file), &instance.name)
        .map_err(|cause| Fault::Spans { path: file.clone(), cause })?;
    Ok((exporter, Some(thread)))
}

fn level(level: instance::Level) -> Level {
    match level {
        instance::Level::Debug => Level::Debug,
        instance::Level::Info => Level::Info,
        instance::Level::Warning => Level::Warning,
        instance::Level::Error => Level::Error,
    }
}
