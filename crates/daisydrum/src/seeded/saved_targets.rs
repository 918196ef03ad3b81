//! Saves the known targets on a control instance's disk, so that after a simultaneous restart of all instances they
//! are known before they announce themselves again.
//!
//! The saved state may be outdated: a target that has left since refuses requests that name it, and one that
//! doesn't announce itself again is marked as lost after the usual time.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    time::Duration,
};

use common::clock::Moment;
use fleet::{
    exchange,
    registry::{State, Target},
};
use slog::{info, warn};
use tokio::time;

use crate::seeded::{context::Context, directory::Directory, entry::spawn};

const FILE_NAME: &str = "targets";
const TEMPORARY_FILE_NAME: &str = "targets.new";
/// Delay between a change and its write: changes come in bursts when a service is replaced.
const SAVE_DELAY: Duration = Duration::from_millis(500);

/// Loads the saved targets into the directory and starts to save each change; does nothing without a data folder.
pub(crate) fn start(context: &Context, directory: &Directory) {
    let Some(folder) = context.settings.data_folder.clone().map(PathBuf::from) else {
        return;
    };
    match load(&folder) {
        Ok(targets) => {
            info!(context.log, "targets_loaded"; "targets" => targets.len());
            directory.merge(targets, Moment::now());
        }
        Err(cause) => info!(context.log, "targets_not_loaded"; "cause" => %cause),
    }
    spawn(context, save_changes(context.clone(), directory.clone(), folder));
}

async fn save_changes(context: Context, directory: Directory, folder: PathBuf) {
    let mut changes = directory.changes();
    while changes.changed().await.is_ok() {
        time::sleep(SAVE_DELAY).await;
        changes.mark_unchanged();
        let (_, mut targets) = directory.changed_since(0);
        targets.retain(|target| target.state == State::Ready);
        let folder = folder.clone();
        // Writes may block for seconds and must not delay other tasks.
        let saved = tokio::task::spawn_blocking(move || save(&folder, &targets)).await;
        if let Ok(Err(cause)) = saved {
            warn!(context.log, "targets_not_saved"; "cause" => %cause);
        }
    }
}

fn load(folder: &Path) -> io::Result<Vec<Target>> {
    let bytes = fs::read(folder.join(FILE_NAME))?;
    exchange::decode_targets(&bytes).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

fn save(folder: &Path, targets: &[Target]) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_FILE_NAME);
    let mut file = File::create(&temporary)?;
    file.write_all(&exchange::encode_targets(targets))?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
