//! A daemon that is told to stop hands over what it holds.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::path::Path;

use daisyctl::{arguments::Daisyctl, command};
use settings::instance;
use standin::harness::{
    daemon::{self, Daemon},
    folder::Folder,
    wait,
};

const BRANCHES: [&str; 3] = ["venture", "association", "inkleaf"];

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_gives_the_lease_for_orders_back() {
    let folder = Folder::new("handover");
    let tree = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let binary = Path::new(env!("CARGO_BIN_EXE_daisydrum"));
    let mut daemon = Daemon::start(binary, folder.path(), alone(&tree, folder.path()));
    let control = daemon.control().to_string();
    wait::until("the tree is applied", async || apply(&tree, &control).await).await;
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

/// An instance that keeps the only replica of each branch, so that it can give nothing back once that has ended.
fn alone(tree: &Path, folder: &Path) -> instance::Instance {
    let replica = |branch: &&str| instance::Replica {
        branch: (*branch).to_string(),
        start: instance::Start::Founder,
    };
    instance::Instance {
        tree: None,
        data_folder: Some(folder.join("data").display().to_string()),
        replicas: BRANCHES.iter().map(replica).collect(),
        ..daemon::settings("suva-1", "suva", tree)
    }
}

async fn apply(tree: &Path, control: &str) -> bool {
    let tree = tree.display().to_string();
    let words = ["apply", &tree, "--instance", control, "--wait"];
    let arguments = Daisyctl::from_vec(words.map(Into::into).to_vec()).unwrap();
    tokio::task::spawn_blocking(move || command::run(arguments).is_ok()).await.unwrap()
}
