//! Real daemons of the sample venture, connected through proxies: three with replicas, one without a data folder.

use std::{
    ffi::OsString,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use common::collections::Map;
use control::query::Declarations;
use daisyctl::{arguments::Daisyctl, command, error};
use hyper::{Request, StatusCode};
use settings::instance;
use standin::{
    harness::{
        daemon::{self, Daemon},
        folder::Folder,
        wait,
    },
    http,
    proxy::{Conditions, Flow, Proxy},
};
use wire::{operator::branch, spread::Version};

pub const BRANCHES: [&str; 3] = ["venture", "association", "inkleaf"];
/// Name and data centre of each instance; the first three keep replicas.
const INSTANCES: [(&str, &str); 4] =
    [("suva-1", "suva"), ("lautoka-1", "lautoka"), ("sapporo-1", "sapporo-a"), ("nadi-1", "nadi")];
const INSTANCES_WITH_REPLICAS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Key of `vent-llm` in the sample tree.
pub const KEY: &str = "vent-example-key";

/// Real daemons of the sample venture.
pub struct Venture {
    pub daemons: Vec<Daemon>,
    folder: Folder,
    /// Proxies by the numbers of the instance that connects and the one that accepts.
    proxies: Map<(usize, usize), Proxy>,
}

impl Venture {
    /// Starts the daemons without any declarations and waits until each branch has a summary, hence a leader.
    pub async fn start(name: &str) -> Venture {
        let folder = Folder::new(name);
        let mut all: Vec<instance::Instance> = INSTANCES
            .iter()
            .enumerate()
            .map(|(number, (name, data_centre))| settings(number, name, data_centre, &folder))
            .collect();
        daemon::connect(&mut all);
        let addresses: Vec<SocketAddr> = all.iter().map(|instance| instance.peers_listen).collect();
        let mut proxies = Map::default();
        for (from, instance) in all.iter_mut().enumerate() {
            for peer in &mut instance.peers {
                let to = addresses.iter().position(|address| *address == peer.address).unwrap();
                let proxy = Proxy::start(peer.address).await.unwrap();
                peer.address = proxy.address();
                proxies.insert((from, to), proxy);
            }
        }
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_daisydrum"));
        let start = |settings| Daemon::start(&binary, folder.path(), settings);
        let daemons = all.into_iter().map(start).collect();
        let venture = Venture { daemons, folder, proxies };
        venture
            .until_summaries(0, |summaries| summaries.iter().all(|entry| entry.summary.is_some()))
            .await;
        venture
    }

    /// Copies the sample tree to a folder that a test may edit.
    pub fn tree(&self, name: &str) -> Tree {
        let folder = self.folder.path().join(name);
        copy(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture"), &folder);
        Tree(folder)
    }

    /// Runs `daisyctl` with the daemon of this number as its instance.
    pub async fn run_daisyctl(
        &self,
        number: usize,
        arguments: &[&str],
    ) -> Result<(), error::Error> {
        let instance = self.daemons[number].control().to_string();
        let all = arguments.iter().copied().chain(["--instance", &instance]);
        let all: Vec<OsString> = all.map(OsString::from).collect();
        let run = move || command::run(Daisyctl::from_vec(all).unwrap());
        tokio::task::spawn_blocking(run).await.unwrap()
    }

    /// Applies a tree and waits until it is in force on all live instances.
    pub async fn apply(&self, number: usize, tree: &Tree) {
        let folder = tree.0.to_string_lossy().into_owned();
        self.run_daisyctl(number, &["apply", &folder, "--wait", "--operator", "test"])
            .await
            .unwrap();
    }

    /// Waits until a daemon's summaries of the branches satisfy `holds`.
    pub async fn until_summaries(&self, number: usize, holds: impl Fn(&[branch::Branch]) -> bool) {
        wait::until("the summaries of the branches are as expected", async || {
            let response = self.daemons[number].get(branch::BRANCHES_PATH).await;
            let summaries: Option<Vec<branch::Branch>> =
                response.and_then(|response| response.json().ok());
            summaries.is_some_and(|summaries| holds(&summaries))
        })
        .await;
    }

    /// Returns the declarations that a branch's log has accepted, as read through a daemon.
    pub async fn accepted(&self, number: usize, branch: &str) -> Declarations {
        let path = format!("{}?branch={branch}", branch::DECLARATIONS_PATH);
        self.daemons[number].get(&path).await.unwrap().json().unwrap()
    }

    /// The version of a branch that is in force on `instance`, as `reporter` reports it.
    pub async fn in_force(&self, reporter: usize, instance: usize, branch: &str) -> Option<u64> {
        let response = self.daemons[reporter].get(branch::INSTANCES_PATH).await?;
        let instances: Vec<branch::Instance> = response.json().ok()?;
        let report =
            instances.into_iter().find(|entry| entry.instance.0 == INSTANCES[instance].0)?;
        let found = |reported: &&Version| reported.branch.0 == branch;
        report.in_force?.iter().find(found).map(|reported| reported.version)
    }

    /// Sets the flow of data between an instance and all others, in both directions.
    pub fn set_flow(&self, number: usize, flow: Flow) {
        let conditions = Conditions { upstream: flow, downstream: flow, ..Conditions::default() };
        for ((from, to), proxy) in &self.proxies {
            if *from == number || *to == number {
                proxy.set(conditions);
            }
        }
    }

    /// Lists the models that a caller with `key` may use; returns the status, or `None` when no response arrives.
    pub async fn call(&self, number: usize, key: &str) -> Option<StatusCode> {
        let request = Request::get("/v1/models")
            .header("authorization", format!("Bearer {key}"))
            .body(http_body_util::Full::default())
            .unwrap();
        let response = http::call(self.daemons[number].callers(), request, TIMEOUT).await;
        response.ok().map(|response| response.status)
    }
}

/// A folder that holds a tree of declarations.
pub struct Tree(pub PathBuf);

impl Tree {
    /// Replaces each occurrence of a text in one of the files, which must contain it.
    pub fn edit(&self, file: &str, from: &str, to: &str) {
        let path = self.0.join(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{file} has no {from}");
        fs::write(path, text.replace(from, to)).unwrap();
    }
}

fn settings(number: usize, name: &str, data_centre: &str, folder: &Folder) -> instance::Instance {
    let mut settings = daemon::settings(name, data_centre, folder.path());
    settings.tree = None;
    if number < INSTANCES_WITH_REPLICAS {
        settings.data_folder = Some(folder.path().join(name).display().to_string());
        let replica = |branch: &str| instance::Replica {
            branch: String::from(branch),
            start: instance::Start::Founder,
        };
        settings.replicas = BRANCHES.iter().copied().map(replica).collect();
    }
    settings
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let destination = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy(&path, &destination);
        } else {
            fs::copy(&path, &destination).unwrap();
        }
    }
}
