//! Runs an instance that discovers its peers from seeds.
//!
//! An entry instance serves callers; a control instance keeps the configuration and receives targets' announcements.

mod authority;
mod context;
mod control;
mod currency;
mod departures;
mod directory;
mod ends;
mod entry;
mod ledger;
mod listener;
mod notices;
mod occupant;
mod orders;
mod origins;
mod peers;
mod platform_api;
mod reload;
mod replicas;
mod saved_targets;
mod scaling;
mod standings;
mod subscription;
mod usage;
mod warmup;

use std::{path::Path, sync::Arc};

use settings::{check, error::Faults};
use slog::info;
use telemetry::log;
use tokio::runtime::{self, Runtime};

use crate::{daemon, error::Error, seeded::context::Context, signal};

/// Runs an instance until SIGTERM or SIGINT, then shuts it down in order.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the instance can't start.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = check::seeded(path).map_err(Faults::from)?;
    let (log, _flush) = log::start(daemon::level(settings.log.level), settings.log.details_per_s);
    let runtime = runtime()?;
    runtime.block_on(async {
        let mut signals = signal::Stop::new()?;
        let context = Context::new(settings, log);
        let directory = directory::Directory::new(context.identity.clone());
        entry::spawn(&context, directory.clone().follow_documents(context.clone()));
        let entry = entry::start(&context, &directory).await?;
        let control = control::start(&context, &directory, runtime.handle()).await?;
        peers::start(&context, &directory, entry.as_ref(), control.as_ref()).await?;
        let ledger = control.as_ref().map(|control| control.ledger.clone());
        let keys = entry.as_ref().map(|entry| Arc::clone(&entry.gateway.keys));
        subscription::start(&context, &directory, ledger, keys);
        reload::start(&context, path.to_path_buf())?;
        info!(context.log, "started"; "instance" => %context.identity.instance,
            "data_centre" => %context.identity.data_centre, "peers" => %context.identity.address,
            "seeds" => format!("{:?}", *context.seeds.borrow()));
        signals.wait().await;
        info!(context.log, "stopping"; "instance" => %context.identity.instance);
        context.stop.cancel();
        if let Some(control) = control {
            control.replicas.leave().await;
        }
        if let Some(entry) = entry {
            let gateway = Arc::clone(&entry.gateway);
            entry.stop(&context, &mut signals).await;
            usage::entry::flush(&context, &directory, &gateway).await;
        }
        info!(context.log, "stopped"; "instance" => %context.identity.instance);
        context.end.cancel();
        Ok(())
    })
}

/// Builds a runtime of one thread, for everything but the disk: passing work to another thread costs more than is
/// gained by splitting it.
fn runtime() -> Result<Runtime, Error> {
    Ok(runtime::Builder::new_current_thread().enable_all().build()?)
}
