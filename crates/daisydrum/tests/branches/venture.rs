//! Real daemons of the sample venture: three with replicas, one without a disk, behind proxies.

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
const REPLICAS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Key of `vent-llm` in the sample tree.
pub const KEY: &str = "vent-example-key";

/// Real daemons of the sample venture.
pub struct Venture {
    pub daemons: Vec<Daemon>,
    folder: Folder,
    /// Proxies by who connects and to whom.
    proxies: Map<(usize, usize), Proxy>,
}

impl Venture {
    /// Starts the daemons without any declarations and waits for leaders.
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

    /// A copy of the sample tree that a test may change.
    pub fn tree(&self, name: &str) -> Tree {
        let folder = self.folder.path().join(name);
        copy(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture"), &folder);
        Tree(folder)
    }

    /// Runs `daisyctl` against a daemon.
    pub async fn run_daisyctl(
        &self,
        number: usize,
        arguments: &[&str],
    ) -> Result<(), error::Fault> {
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

    /// Whether a daemon's answers for the branches satisfy `holds`.
    pub async fn until_summaries(&self, number: usize, holds: impl Fn(&[branch::Branch]) -> bool) {
        wait::until("the branches answer", async || {
            let response = self.daemons[number].get(branch::BRANCHES_PATH).await;
            let summaries: Option<Vec<branch::Branch>> =
                response.and_then(|response| response.json().ok());
            summaries.is_some_and(|summaries| holds(&summaries))
        })
        .await;
    }

    /// The declarations of a branch that the log has accepted.
    pub async fn accepted(&self, number: usize, branch: &str) -> Declarations {
        let path = format!("{}?branch={branch}", branch::DECLARATIONS_PATH);
        self.daemons[number].get(&path).await.unwrap().json().unwrap()
    }

    /// The version of a branch in force on an instance, as another one hears it.
    pub async fn in_force(&self, number: usize, of: usize, branch: &str) -> Option<u64> {
        let response = self.daemons[number].get(branch::INSTANCES_PATH).await?;
        let instances: Vec<branch::Instance> = response.json().ok()?;
        let instance = instances.into_iter().find(|entry| entry.instance.0 == INSTANCES[of].0)?;
        let found = |reported: &&Version| reported.branch.0 == branch;
        instance.in_force?.iter().find(found).map(|reported| reported.version)
    }

    /// Cuts an instance off from all others, or heals the cut.
    pub fn cut(&self, number: usize, flow: Flow) {
        let conditions = Conditions { upstream: flow, downstream: flow, ..Conditions::default() };
        for ((from, to), proxy) in &self.proxies {
            if *from == number || *to == number {
                proxy.set(conditions);
            }
        }
    }

    /// The status that a caller's look at the service's models gets.
    pub async fn call(&self, number: usize, key: &str) -> Option<StatusCode> {
        let request = Request::get("/v1/models")
            .header("authorization", format!("Bearer {key}"))
            .body(http_body_util::Full::default())
            .unwrap();
        let response = http::call(self.daemons[number].callers(), request, TIMEOUT).await;
        response.ok().map(|response| response.status)
    }
}

/// A folder of declarations.
pub struct Tree(pub PathBuf);

impl Tree {
    /// Replaces a text in one of the files.
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
    if number < REPLICAS {
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
        let target = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy(&path, &target);
        } else {
            fs::copy(&path, &target).unwrap();
        }
    }
}
