//! Tells the router's thread which services the tree in force declares.

use std::{sync::Arc, time::Duration};

use common::cancel;
use entry::{directory::Directory, router};
use tokio::{sync::watch, time};

/// Pause before the router's thread is told again after its ring was full.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Follows the directory in force until `end` is cancelled.
pub async fn follow(
    mut directory: watch::Receiver<Arc<Directory>>,
    router: router::Handle,
    end: cancel::Token,
) {
    loop {
        let services = Arc::clone(&directory.borrow_and_update());
        while router.send(router::Command::Configure(Arc::clone(&services))).is_err() {
            tokio::select! {
                () = end.cancelled() => return,
                () = time::sleep(RETRY_INTERVAL) => {}
            }
        }
        tokio::select! {
            () = end.cancelled() => return,
            changed = directory.changed() => if changed.is_err() { return },
        }
    }
}
