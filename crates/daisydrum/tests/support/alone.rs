//! One real daemon that keeps the only replica of each branch.

use std::path::Path;

use daisyctl::{arguments::Daisyctl, command};
use settings::instance;
use standin::harness::{
    daemon::{self, Daemon},
    wait,
};

const BRANCHES: [&str; 3] = ["venture", "association", "inkleaf"];

/// Starts the daemon and waits until the settings of `tree` are in force.
pub async fn start(tree: &Path, folder: &Path) -> Daemon {
    let binary = Path::new(env!("CARGO_BIN_EXE_daisydrum"));
    let daemon = Daemon::start(binary, folder, settings(tree, folder));
    let control = daemon.control().to_string();
    wait::until("the tree is applied", async || apply(tree, &control).await).await;
    daemon
}

fn settings(tree: &Path, folder: &Path) -> instance::Instance {
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
    let command_line = ["apply", &tree, "--instance", control, "--wait"];
    let arguments = Daisyctl::from_vec(command_line.map(Into::into).to_vec()).unwrap();
    tokio::task::spawn_blocking(move || command::run(arguments).is_ok()).await.unwrap()
}
