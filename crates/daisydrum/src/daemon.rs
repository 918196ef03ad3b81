//! Runs an instance with a configured list of peers, from reading its settings to its shutdown.

use std::{path::Path, time::Duration};

use entry::directory::Directory;
use settings::{check, error::Faults, instance, tree};
use slog::{Level, info, warn};
use telemetry::log;
use tokio::{
    runtime::{self, Runtime},
    time,
};

use crate::{context::Context, error::Error, lifecycle::Threads, signal};

const PEER_WORKER_THREADS: usize = 2;

/// Checks the settings of an instance and the tree that they name.
///
/// # Errors
///
/// Returns the errors of the settings or, if there are none, those of the tree.
pub fn check(path: &Path) -> Result<(), Error> {
    let instance = check::instance(path).map_err(Faults::from)?;
    load_directory(path, &instance)?;
    Ok(())
}

/// Runs an instance until SIGTERM or SIGINT, then shuts it down in order.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the instance can't start.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = check::instance(path).map_err(Faults::from)?;
    let directory = load_directory(path, &settings)?;
    let (log, _flush) = log::start(level(settings.log.level), settings.log.details_per_s);
    let runtime = peer_runtime()?;
    let context = Context::new(settings, runtime.handle().clone(), log);
    let mut signals = runtime.block_on(async { signal::Stop::new() })?;
    let threads = match Threads::start(&context, directory) {
        Ok(threads) => threads,
        Err(error) => {
            // Threads that have started still wait on the runtime; the process exits right after this.
            std::mem::forget(runtime);
            return Err(error);
        }
    };
    let instance = &context.identity.instance;
    info!(context.log, "started"; "instance" => %instance, "data_centre" => %context.identity.data_centre,
        "callers" => %context.settings.callers, "control" => %context.settings.control,
        "peers" => %context.settings.peers_listen);

    runtime.block_on(signals.wait());
    info!(context.log, "stopping"; "instance" => %instance);
    threads.refuse_callers(&context);
    runtime.block_on(wait_for_callers(&context, &mut signals));
    threads.stop(&context);
    info!(context.log, "stopped"; "instance" => %instance);
    Ok(())
}

/// Waits until all callers' connections are closed. A second signal or the limit `stop_s` closes those still open.
async fn wait_for_callers(context: &Context, signals: &mut signal::Stop) {
    let limit = Duration::from_secs(context.settings.stop_s);
    tokio::select! {
        () = context.connections_closed.cancelled() => return,
        () = signals.wait() => warn!(context.log, "stopping_at_once"; "reason" => "second signal"),
        () = time::sleep(limit) => warn!(context.log, "stopping_at_once"; "reason" => "limit of stop_s"),
    }
    context.abort_connections.cancel();
}

fn peer_runtime() -> Result<Runtime, Error> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(PEER_WORKER_THREADS)
        .thread_name("peers")
        .enable_all()
        .build()?;
    Ok(runtime)
}

fn load_directory(path: &Path, instance: &instance::Instance) -> Result<Directory, Error> {
    let Some(folder) = &instance.tree else {
        return Ok(Directory::default());
    };
    let mut loaded = tree::load(Path::new(folder));
    loaded.faults.extend(check::data_centres(path, instance, &loaded.tree));
    if !loaded.faults.is_empty() {
        return Err(Error::from(Faults::from(loaded.faults)));
    }
    Ok(Directory::new(&loaded.tree)?)
}

/// Converts the log level of the settings.
pub(crate) fn level(level: instance::Level) -> Level {
    match level {
        instance::Level::Debug => Level::Debug,
        instance::Level::Info => Level::Info,
        instance::Level::Warning => Level::Warning,
        instance::Level::Error => Level::Error,
    }
}
