//! A daemon that stops gracefully releases the lease for orders, so that a successor needn't wait for its expiry.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/alone.rs"]
mod alone;

use std::path::Path;

use standin::harness::{folder::Folder, wait};

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_releases_the_lease_for_orders() {
    let folder = Folder::new("handover");
    let tree = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let mut daemon = alone::start(&tree, folder.path()).await;
    wait::until("the lease is taken", async || daemon.log().contains("lease taken")).await;
    daemon.terminate();
    wait::until("the daemon has exited", async || daemon.has_ended()).await;
    let log = daemon.log();
    let line = log
        .lines()
        .find(|line| line.contains("lease given back"))
        .expect("the log records that the lease was given back");
    assert!(line.contains("recorded=true"), "{line}");
}
