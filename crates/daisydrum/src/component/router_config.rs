//! Sends the services that the tree in force declares to the router's thread.

use std::{sync::Arc, time::Duration};

use common::{cancel, ring};
use entry::{directory::Directory, router};
use tokio::{sync::watch, time};

/// Delay before a directory is sent again after the router's ring was full.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Sends the directory in force to the router, and returns the task that sends each later one until `end` is cancelled.
///
/// The first one is sent before the task runs, so that the router knows the services before a request can reach it.
pub fn follow(
    mut directory: watch::Receiver<Arc<Directory>>,
    router: router::Handle,
    end: cancel::Token,
) -> impl Future<Output = ()> {
    let mut services = Arc::clone(&directory.borrow_and_update());
    let mut sent = send(&router, &services);
    async move {
        loop {
            while sent.is_err() {
                tokio::select! {
                    () = end.cancelled() => return,
                    () = time::sleep(RETRY_INTERVAL) => {}
                }
                sent = send(&router, &services);
            }
            tokio::select! {
                () = end.cancelled() => return,
                changed = directory.changed() => if changed.is_err() { return },
            }
            services = Arc::clone(&directory.borrow_and_update());
            sent = send(&router, &services);
        }
    }
}

fn send(router: &router::Handle, services: &Arc<Directory>) -> Result<(), ring::Refusal> {
    router.send(router::Command::Configure(Arc::clone(services)))
}
