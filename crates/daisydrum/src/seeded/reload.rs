//! Reloads the settings file on SIGHUP and at intervals.

use std::{path::PathBuf, time::Duration};

use settings::{check, error::Faults};
use slog::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use crate::{
    error::Error,
    seeded::{
        context::{self, Context},
        entry::spawn,
    },
};

/// Time between two reads without a signal, since the file may change without one.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Starts to reload the settings file. Only changed seeds take effect; invalid settings are logged and change nothing.
///
/// # Errors
///
/// Returns the operating system's error when the signal handler can't be installed.
pub(crate) fn start(context: &Context, path: PathBuf) -> Result<(), Error> {
    let mut hangup = signal(SignalKind::hangup())?;
    let shared = context.clone();
    spawn(context, async move {
        let mut refused = None;
        loop {
            tokio::select! {
                _ = hangup.recv() => refused = None,
                () = time::sleep(READ_INTERVAL) => {}
            }
            match check::seeded(&path) {
                Ok(settings) => {
                    refused = None;
                    update_seeds(&shared, &context::peer_addresses(&settings));
                }
                Err(faults) => {
                    let faults = Faults::from(faults).to_string();
                    if refused.as_ref() != Some(&faults) {
                        warn!(shared.log, "settings_refused"; "faults" => &faults);
                    }
                    refused = Some(faults);
                }
            }
        }
    });
    Ok(())
}

fn update_seeds(context: &Context, seeds: &[std::net::SocketAddr]) {
    let changed = context.seeds.send_if_modified(|held| {
        let changed = held != seeds;
        if changed {
            *held = seeds.to_vec();
        }
        changed
    });
    if changed {
        info!(context.log, "settings_reloaded"; "seeds" => format!("{seeds:?}"));
    }
}
