//! Reads the newest version of the configuration through the leader, so that entry instances know that their API keys are
//! current; see [`credentials::lease`].

use std::time::Duration;

use common::clock::Moment;
use slog::info;
use tokio::time;

use crate::seeded::{context::Context, directory::Directory, replicas::Replicas};

/// Time between two readings. An entry instance follows all control instances, so its lease is renewed more often.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Reads until its task is cancelled, once the configuration has organisations.
pub(crate) async fn run(context: Context, directory: Directory, replicas: Replicas) {
    if context.settings.revocation.is_none() {
        return;
    }
    let mut is_confirmed = true;
    loop {
        time::sleep(READ_INTERVAL).await;
        let began_at = Moment::now();
        let read = replicas.read_version().await;
        if let Ok(version) = read {
            directory.set_reading(version, began_at);
        }
        if std::mem::replace(&mut is_confirmed, read.is_ok()) != read.is_ok() {
            info!(context.log, "config_version_confirmed"; "confirmed" => read.is_ok(),
                "ms" => u64::try_from(Moment::now().since(began_at).as_millis()).unwrap_or(u64::MAX));
        }
    }
}
