//! Saves the known targets on a control instance's disk, so that after a simultaneous restart of all instances they
//! are known before they announce themselves again.
//!
//! The saved state may be outdated: targets that have left since are known from [`crate::seeded::departures`], and one that
//! doesn't announce itself again is marked as lost after the usual time.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use fleet::{exchange, registry::Target};
use slog::{info, warn};
use tokio::time;

use crate::seeded::{context::Context, directory::Directory, entry::spawn};

const FILE_NAME: &str = "targets";
/// Delay between a change and its write: changes come in bursts when a service is replaced.
const SAVE_DELAY: Duration = Duration::from_millis(500);

/// Loads the saved targets into the directory and starts to save each change; does nothing without a data folder.
/// `members` are the control instances that were known at the last save.
pub(crate) fn start(context: &Context, directory: &Directory, members: Vec<SocketAddr>) {
    let Some(folder) = context.settings.data_folder.clone().map(PathBuf::from) else {
        return;
    };
    match load(&folder) {
        Ok(targets) => {
            info!(context.log, "targets_loaded"; "targets" => targets.len());
            let seeds = context.seeds.borrow().clone();
            directory.restore(targets, members.into_iter().chain(seeds).collect());
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
        let targets = directory.ready_targets();
        let folder = folder.clone();
        // Writes may block for seconds and must not delay other tasks.
        let content = exchange::encode_targets(&targets);
        let write = move || replace(&folder, FILE_NAME, &content);
        let saved = tokio::task::spawn_blocking(write).await;
        if let Ok(Err(cause)) = saved {
            warn!(context.log, "targets_not_saved"; "cause" => %cause);
        }
    }
}

fn load(folder: &Path) -> io::Result<Vec<Target>> {
    let bytes = fs::read(folder.join(FILE_NAME))?;
    exchange::decode_targets(&bytes).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

/// Replaces a file's content, so that after a loss of power it is the content before or the new one.
pub(super) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}
