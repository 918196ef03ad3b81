//! Starts the replicas that this instance keeps and the client of all replicated logs.

use std::{fs, path::Path, thread::JoinHandle};

use common::{collections::Map, name};
use consensus::options::Options;
use control::state::State;
use replica::{
    client::Client,
    host::{self, Bootstrap, Host},
    transport,
};
use settings::instance;
use tokio::sync::watch;

use crate::{context::Context, error::Error, replicated_logs::Logs};

/// Folder of the replicas' files inside the data folder.
const FOLDER: &str = "replicas";

/// The replicas of this instance and the client of all replicated logs.
#[derive(Debug)]
pub struct Replicas {
    /// The replicas kept here.
    pub host: Host,
    /// Client of the logs, wherever their replicas are.
    pub logs: Logs,
    /// Threads of the replicas; they end at `context.end`.
    pub threads: Vec<JoinHandle<()>>,
}

/// Starts a replica for each branch that the settings name, and a client that reaches the replicas of peers too.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the settings name no data folder, or a replica's files can't be used.
pub fn start(context: &Context) -> Result<Replicas, Error> {
    let peers = peers(context);
    let mut handles = Map::default();
    let mut threads = Vec::new();
    for settings in &context.settings.replicas {
        let folder = context.settings.data_folder.as_ref().ok_or(Error::NoDataFolder)?;
        let folder = Path::new(folder).join(FOLDER).join(&settings.branch);
        make_folder(&folder)?;
        let branch = name::Branch::from(settings.branch.as_str());
        let others = peers.iter().filter(|peer| peer.branches.contains(&branch));
        let options = host::Settings {
            branch: branch.clone(),
            instance: context.identity.instance.clone(),
            folder,
            bootstrap: bootstrap(settings.start),
            peers: others.cloned().collect(),
            contacts: watch::Sender::default().subscribe(),
            join_policy: host::JoinPolicy::Manual,
            options: Options::default(),
            runtime: context.runtime.clone(),
            logger: context.log.clone(),
            stop: context.stop.clone(),
            end: context.end.clone(),
        };
        let started = host::start(options, State::new(branch.clone()))?;
        handles.insert(branch, started.handle);
        threads.extend(started.threads);
    }
    let any_replica = !handles.is_empty() || peers.iter().any(|peer| !peer.branches.is_empty());
    let host = Host::new(handles);
    let client = Client::new(context.identity.instance.clone(), host.clone(), peers);
    let logs = if any_replica { Logs::Replicated(client) } else { Logs::Absent };
    Ok(Replicas { host, logs, threads })
}

fn make_folder(folder: &Path) -> Result<(), Error> {
    fs::create_dir_all(folder)
        .map_err(|cause| Error::DataFolder { path: folder.display().to_string(), cause })
}

fn bootstrap(start: instance::Start) -> Bootstrap {
    match start {
        instance::Start::Founder => Bootstrap::Founder,
        instance::Start::Learner => Bootstrap::Learner,
    }
}

fn peers(context: &Context) -> Vec<transport::Peer> {
    let peer = |peer: &crate::context::Peer| transport::Peer {
        instance: peer.instance.clone(),
        branches: peer.replicas.clone(),
        link: peer.link.clone(),
    };
    context.peers.iter().map(peer).collect()
}
