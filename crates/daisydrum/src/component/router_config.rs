//! Sends the services that the tree in force declares to the router's thread.

use std::{sync::Arc, time::Duration};

use common::cancel;
use entry::{directory::Directory, router};
use tokio::{sync::watch, time};

/// Delay before a directory is sent again after the router's ring was full.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Sends each new directory to the router until `end` is cancelled.
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
