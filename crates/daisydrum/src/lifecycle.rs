//! Starts the components of an instance and stops them in order.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
};

use ::orders::registry::Registry;
use common::{clock, name};
use entry::{directory::Directory, offered::Meter, protocol, router, server};
use settings::{check, instance};
use spread::synchronizer;
use telemetry::{metric, span};
use tokio::sync::watch;

use crate::{
    claims,
    component::{
        branch_api, callers, control, declarations, membership, orders, peers, replica,
        replica_api, router_config,
    },
    context::Context,
    error::Error,
    links::Links,
    replicated_logs,
};

/// Threads of the running components, grouped by the order in which they are joined.
pub struct Threads {
    ready: Arc<AtomicBool>,
    /// Ends after `context.stop` once all callers' connections are closed.
    callers: JoinHandle<()>,
    /// Returns the lease after `context.stop`; the replicas must still be running for that.
    orders: JoinHandle<()>,
    /// End after `context.end`.
    others: Vec<JoinHandle<()>>,
}

/// Handles of the started components, from which the listeners are built.
struct Components {
    router: router::Handle,
    spans: span::Exporter,
    directory: watch::Receiver<Arc<Directory>>,
    host: ::replica::host::Host,
    logs: replicated_logs::Logs,
    synchronizer: synchronizer::Synchronizer,
    membership: membership::Handle,
    meter: Meter,
    offered: orders::OfferedLoad,
    orders: orders::Handle,
}

impl Threads {
    /// Starts all components. `directory` is in force until the replicated logs deliver a newer tree.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] when an address, a file or a thread is not available.
    pub fn start(context: &Context, directory: Directory) -> Result<Threads, Error> {
        let ready = Arc::new(AtomicBool::new(false));
        let (router, router_thread) = router::start(router_setup(), context.end.clone())?;
        let (spans, spans_thread) = start_spans(&context.settings)?;
        let (directory_in_force, directory) = watch::channel(Arc::new(directory));
        let follow = router_config::follow(directory.clone(), router.clone(), context.end.clone());
        context.runtime.spawn(follow);
        let replica::Replicas { host, logs, threads } = replica::start(context)?;
        let synchronizer = start_synchronizer(context, &logs, directory_in_force)?;
        let registry = Registry::default();
        let (membership, membership_thread) =
            membership::start(context, router.clone(), registry.clone())?;
        let meter = Meter::default();
        let offered = orders::OfferedLoad::new(meter.clone());
        let sources = orders::Sources {
            registry,
            synchronizer: synchronizer.clone(),
            offered: offered.clone(),
        };
        let (orders, orders_thread) = orders::start(context, logs.clone(), sources)?;
        let components = Components {
            router,
            spans,
            directory,
            host,
            logs,
            synchronizer,
            membership,
            meter,
            offered,
            orders,
        };
        let mut others = vec![router_thread, membership_thread];
        others.extend(spans_thread);
        others.extend(threads);
        others.push(start_listeners(context, &components, &ready)?);
        let callers = callers::start(context, components.callers_server(context))?;
        ready.store(true, Ordering::Release);
        Ok(Threads { ready, callers, orders: orders_thread, others })
    }

    /// Reports the instance as not ready and accepts no new callers; open requests run to their end.
    pub fn refuse_callers(&self, context: &Context) {
        self.ready.store(false, Ordering::Release);
        context.stop.cancel();
    }

    /// Ends the remaining components after the callers' connections are closed and the lease is returned.
    pub fn stop(self, context: &Context) {
        join(self.callers);
        join(self.orders);
        context.end.cancel();
        for thread in self.others {
            join(thread);
        }
    }
}

impl Components {
    fn control(&self, context: &Context, ready: &Arc<AtomicBool>) -> control::Control {
        let replica_api = replica_api::Api {
            context: context.clone(),
            host: self.host.clone(),
            logs: self.logs.clone(),
        };
        let branch_api = branch_api::Api {
            context: context.clone(),
            logs: self.logs.clone(),
            synchronizer: self.synchronizer.clone(),
        };
        control::Control {
            identity: context.identity.clone(),
            ready: Arc::clone(ready),
            router: self.router.clone(),
            membership: self.membership.clone(),
            metrics: metric::install(),
            replica_api,
            branch_api,
            orders: self.orders.clone(),
        }
    }

    fn peers_server(&self, context: &Context) -> peers::Components {
        peers::Components {
            identity: context.identity.clone(),
            replicas: self.host.clone(),
            synchronizer: self.synchronizer.clone(),
            membership: self.membership.clone(),
            offered: self.offered.clone(),
        }
    }

    fn callers_server(
        &self,
        context: &Context,
    ) -> server::Server<protocol::Native, claims::Claims> {
        server::Server {
            instance: context.identity.instance.clone(),
            directory: self.directory.clone(),
            router: self.router.clone(),
            protocol: protocol::Native { instance: context.identity.instance.clone() },
            claims: claims::Claims { logs: self.logs.clone() },
            offered: self.meter.clone(),
            spans: self.spans.clone(),
            log: context.log.clone(),
        }
    }
}

/// Starts the control listener, for targets and operators, and the peers' listener.
///
/// The control listener runs until the process exits; the returned thread is that of the peers' listener.
fn start_listeners(
    context: &Context,
    components: &Components,
    ready: &Arc<AtomicBool>,
) -> Result<JoinHandle<()>, Error> {
    let _listener = control::start(context.settings.control, components.control(context, ready))?;
    peers::start(context, components.peers_server(context))
}

/// Starts the tasks that keep the declarations of this instance up to date and, for each replica kept here, those
/// that adopt the venture's defaults and advance the log's clock. Without replicated logs the directory stays as it is.
fn start_synchronizer(
    context: &Context,
    logs: &replicated_logs::Logs,
    directory: watch::Sender<Arc<Directory>>,
) -> Result<synchronizer::Synchronizer, Error> {
    let options = synchronizer::Options {
        instance: Arc::clone(&context.settings),
        log: context.log.clone(),
        stop: context.end.clone(),
    };
    let synchronizer =
        synchronizer::Synchronizer::start(options, logs, &Links::new(context), &context.runtime)?;
    let follow = declarations::follow(synchronizer.clone(), directory, context.clone());
    context.runtime.spawn(follow);
    for replica in &context.settings.replicas {
        let branch = name::Branch::from(replica.branch.as_str());
        let (synchronizer, logs) = (synchronizer.clone(), logs.clone());
        if branch.0 != check::VENTURE_BRANCH {
            let adopt =
                declarations::adopt(synchronizer, logs.clone(), branch.clone(), context.clone());
            context.runtime.spawn(adopt);
        }
        context.runtime.spawn(declarations::advance_clock(logs, branch, context.clone()));
    }
    Ok(synchronizer)
}

fn router_setup() -> route::router::Setup {
    route::router::Setup { seed: clock::unix_ns(), ..Default::default() }
}

fn join(thread: JoinHandle<()>) {
    thread.join().expect("invariant: components end without a panic");
}

fn start_spans(
    instance: &instance::Instance,
) -> Result<(span::Exporter, Option<JoinHandle<()>>), Error> {
    let Some(file) = &instance.spans.file else {
        return Ok((span::Exporter::off(), None));
    };
    let (exporter, thread) = span::Exporter::start(Path::new(file), &instance.name)
        .map_err(|cause| Error::Spans { path: file.clone(), cause })?;
    Ok((exporter, Some(thread)))
}
