//! Starts the duties of an instance and stops them in order.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use common::{cancel, name};
use entry::{directory::Directory, router, server};
use settings::{check, error::Faults, instance, tree};
use slog::{Level, Logger, info};
use telemetry::{log, metric, span};
use tokio::{runtime, sync::watch};
use wire::peer;

use crate::{
    duty::{callers, control, peers},
    error::Fault,
    signal,
};

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
    let instance = check::instance(path).map_err(Faults::from)?;
    let directory = load_directory(path, &instance)?;
    let log = log::start(level(instance.log.level));
    let metrics = metric::install();
    let signals = runtime::Builder::new_current_thread().enable_all().build()?;
    let mut stop_signal = signals.block_on(async { signal::Stop::new() })?;

    let stop = cancel::Token::new();
    let end = cancel::Token::new();
    let (router, router_thread) = router::start(end.clone())?;
    let (spans, spans_thread) = start_spans(&instance)?;
    let ready = Arc::new(AtomicBool::new(false));
    let control = control::Control {
        instance: name::Instance(instance.name.clone()),
        data_centre: name::DataCentre(instance.data_centre.clone()),
        ready: Arc::clone(&ready),
        router: router.clone(),
        metrics,
    };
    let identity = peer::Identity {
        version: peer::VERSION,
        instance: control.instance.clone(),
        data_centre: control.data_centre.clone(),
    };
    let (_tree_in_force, directory) = watch::channel(Arc::new(directory));
    let server = server::Server { directory, router, spans, log: log.clone() };
    let _listener = control::start(instance.control, control)?;
    let peers_thread =
        peers::start(instance.peers_listen, peers::Server { identity }, end.clone())?;
    let callers_thread = callers::start(instance.callers, server, stop.clone())?;
    ready.store(true, Ordering::Release);
    announce_start(&log, &instance);

    signals.block_on(stop_signal.wait());
    info!(log, "stopping"; "instance" => &instance.name);
    ready.store(false, Ordering::Release);
    stop.cancel();
    join(callers_thread);
    end.cancel();
    join(peers_thread);
    join(router_thread);
    if let Some(spans_thread) = spans_thread {
        join(spans_thread);
    }
    info!(log, "stopped"; "instance" => &instance.name);
    Ok(())
}

fn join(thread: std::thread::JoinHandle<()>) {
    thread.join().expect("invariant: duties end without a panic");
}

fn announce_start(log: &Logger, instance: &instance::Instance) {
    info!(log, "started"; "instance" => &instance.name, "data_centre" => &instance.data_centre,
        "callers" => %instance.callers, "control" => %instance.control, "peers" => %instance.peers_listen);
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

type SpansThread = Option<std::thread::JoinHandle<()>>;

fn start_spans(instance: &instance::Instance) -> Result<(span::Exporter, SpansThread), Fault> {
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
