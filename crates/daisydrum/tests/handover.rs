//! A daemon that is told to stop hands over what it holds.

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
    wait::until("the daemon has ended", async || daemon.has_ended()).await;
    let log = daemon.log();
    let line = log
        .lines()
        .find(|line| line.contains("lease given back"))
        .expect("the lease is given back");
    assert!(line.contains("recorded=true"), "{line}");
}
