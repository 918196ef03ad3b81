//! Runs the spread on an instance: one task for each branch, and the answers to those that pull from it.

use std::{
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{cancel, clock::Moment, name};
use control::query::{Answer, Changes, Query};
use derive_more::{Display, Error, From};
use futures::future;
use settings::instance::Instance;
use slog::{Logger, debug, info, warn};
use tokio::{runtime::Handle, sync::watch, task, time};
use wire::spread::{Update, Version};

use crate::{
    disk::{self, Disk},
    peer,
    readiness::Readiness,
    replicated_log,
    upstream::{self, Selector, Upstream},
    view::{Outcome, View},
};

/// Longest wait of a pull for news.
pub const PULL_WAIT: Duration = Duration::from_secs(1);
/// Pause between two looks at an own replica.
const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the log.
const LOCAL_LIMIT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Folder of the declarations under the data folder.
const FOLDER: &str = "declarations";

/// What the spread of an instance needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's settings.
    pub instance: Arc<Instance>,
    /// Takes log lines.
    pub log: Logger,
    /// Ends the tasks.
    pub stop: cancel::Token,
}

/// The spread of an instance; clones share it.
#[derive(Clone, Debug)]
pub struct Synchronizer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    view: watch::Sender<Arc<View>>,
    readiness: Mutex<Readiness>,
    /// Versions that the request path has indexed; `None` before the first.
    indexed: Mutex<Option<Vec<Version>>>,
    disk: Option<Disk>,
}

/// Why a branch could not be brought forward.
#[derive(Debug, Display, Error, From)]
enum Fault {
    #[display("{_0}")]
    Peer(peer::Error),
    #[display("{_0}")]
    Log(replicated_log::Error),
    #[display("{_0}")]
    Disk(disk::Error),
    #[display("the replica gave another answer")]
    Answer,
}

impl Synchronizer {
    /// Reads what the disk holds and starts the tasks on `runtime`.
    ///
    /// # Errors
    ///
    /// Returns a [`disk::Error`] when the data folder can't be used.
    pub fn start<A: replicated_log::Client, E: peer::Client>(
        options: Options,
        logs: &A,
        exchange: &E,
        runtime: &Handle,
    ) -> Result<Synchronizer, disk::Error> {
        let branches = upstream::branches(&options.instance);
        let disk = match &options.instance.data_folder {
            Some(folder) => Some(Disk::open(&Path::new(folder).join(FOLDER))?),
            None => None,
        };
        let now = Moment::now();
        let mut view = View::default();
        for branch in &branches {
            if let Some(version) =
                disk.as_ref().map(|disk| disk.read(branch)).transpose()?.flatten()
            {
                view.restore(branch, version);
            }
        }
        let readiness = Mutex::new(Readiness::new(branches.clone(), &view.versions(), now));
        let (view, _) = watch::channel(Arc::new(view));
        let synchronizer = Synchronizer {
            shared: Arc::new(Shared { options, view, readiness, indexed: Mutex::default(), disk }),
        };
        for branch in branches {
            let follower = Follower {
                synchronizer: synchronizer.clone(),
                selector: Selector::new(&synchronizer.shared.options.instance, &branch),
                branch,
                logs: logs.clone(),
                exchange: exchange.clone(),
            };
            runtime.spawn(follower.run());
        }
        runtime.spawn(synchronizer.clone().ask_around(exchange.clone()));
        Ok(synchronizer)
    }

    /// The view, and each that follows it.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.shared.view.subscribe()
    }

    /// The versions in force: those that the request path has indexed.
    pub fn in_force(&self) -> Vec<Version> {
        self.indexed().clone().unwrap_or_default()
    }

    /// Records that the request path has indexed these declarations.
    pub fn set_indexed(&self, view: &View) {
        *self.indexed() = Some(view.versions());
    }

    fn indexed(&self) -> MutexGuard<'_, Option<Vec<Version>>> {
        self.shared.indexed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the instance may serve: it has what was in force when it was last known, and has indexed it.
    pub fn is_ready(&self) -> bool {
        self.indexed().is_some() && self.is_current()
    }

    /// Whether the instance has what was in force when it was last known.
    pub fn is_current(&self) -> bool {
        let view = self.shared.view.borrow().clone();
        let readiness = self.shared.readiness.lock().unwrap_or_else(PoisonError::into_inner);
        readiness.is_ready(&view, Moment::now())
    }

    /// Answers a pull: at once if there is anything new, else after `wait_ms`.
    pub async fn handle_pull(&self, have: Version, wait_ms: u64) -> Update {
        let wait = Duration::from_millis(wait_ms).min(PULL_WAIT);
        let mut news = self.watch();
        let ahead = news.wait_for(|view| view.is_ahead(&have));
        let _ = time::timeout(wait, ahead).await;
        let view = self.shared.view.borrow().clone();
        view.update_since(&have, Moment::now())
    }

    fn version(&self, branch: &name::Branch) -> u64 {
        self.shared.view.borrow().version(branch)
    }

    /// Takes an update: it is on the disk before it is in force.
    async fn apply(&self, branch: &name::Branch, update: Update) -> Result<Outcome, Fault> {
        let mut next = View::clone(&self.shared.view.borrow());
        let outcome = next.apply(update, Moment::now());
        if let Outcome::Mismatch(problem) = &outcome {
            warn!(self.shared.options.log, "declarations don't follow, asking for the whole";
                "branch" => %branch, "problem" => problem);
        }
        let Some(held) = next.branches().get(branch).cloned() else {
            return Ok(outcome);
        };
        if outcome != Outcome::Advanced {
            // No version changes, so none of those who wait for news is woken.
            self.shared.view.send_if_modified(|view| {
                Arc::make_mut(view).install(branch, held);
                false
            });
            return Ok(outcome);
        }
        if let Some(disk) = self.shared.disk.clone() {
            let (branch, version) = (branch.clone(), Arc::clone(&held.declarations));
            let write = task::spawn_blocking(move || disk.write(&branch, &version));
            write.await.expect("invariant: writing declarations does not panic")?;
        }
        let version = held.declarations.version;
        self.shared.view.send_modify(|view| Arc::make_mut(view).install(branch, held));
        info!(self.shared.options.log, "declarations in force"; "branch" => %branch,
            "version" => version);
        Ok(outcome)
    }

    /// Asks the instances of the data centre and the replicas once what they have.
    async fn ask_around<E: peer::Client>(self, exchange: E) {
        let options = &self.shared.options;
        let own = &options.instance.data_centre;
        let peers = options.instance.peers.iter();
        let near = peers.filter(|peer| peer.data_centre == *own || !peer.replicas.is_empty());
        let asks = near.map(|peer| async {
            if let Ok(have) = exchange.in_force(&name::Instance::from(peer.name.as_str())).await {
                let mut readiness =
                    self.shared.readiness.lock().unwrap_or_else(PoisonError::into_inner);
                readiness.record_versions(&have);
            }
        });
        tokio::select! {
            () = options.stop.cancelled() => {}
            _ = future::join_all(asks) => {}
        }
    }
}

/// Keeps one branch up to date.
struct Follower<A, E> {
    synchronizer: Synchronizer,
    branch: name::Branch,
    selector: Selector,
    logs: A,
    exchange: E,
}

impl<A: replicated_log::Client, E: peer::Client> Follower<A, E> {
    /// Runs until the end.
    async fn run(mut self) {
        let stop = self.synchronizer.shared.options.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&mut self) {
        let mut last = Outcome::Unchanged;
        loop {
            // After a mismatch the whole is asked for, as by one that has nothing.
            let mismatch = matches!(last, Outcome::Mismatch(_));
            let version = if mismatch { 0 } else { self.synchronizer.version(&self.branch) };
            let have = Version { branch: self.branch.clone(), version };
            match self.advance(have).await {
                Ok(outcome) => last = outcome,
                Err(fault) => {
                    debug!(self.synchronizer.shared.options.log, "declarations not brought forward";
                        "branch" => %self.branch, "cause" => %fault);
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn advance(&mut self, have: Version) -> Result<Outcome, Fault> {
        let peer = match self.selector.choose(Moment::now()) {
            Upstream::Peer(peer) => peer,
            Upstream::Local => {
                time::sleep(LOCAL_INTERVAL).await;
                return self.synchronizer.apply(&self.branch, read(&self.logs, &have).await?).await;
            }
            Upstream::None => {
                time::sleep(PULL_WAIT).await;
                return Ok(Outcome::Unchanged);
            }
        };
        match self.exchange.pull(&peer, have, PULL_WAIT).await {
            Ok(update) => {
                let age = update.age_ms.map(Duration::from_millis);
                self.selector.record_response(&peer, age, Moment::now());
                self.synchronizer.apply(&self.branch, update).await
            }
            Err(silence) => {
                self.selector.record_failure(&peer, Moment::now());
                Err(Fault::Peer(silence))
            }
        }
    }
}

/// Reads what changed from the instance's own replica.
async fn read<A: replicated_log::Client>(logs: &A, have: &Version) -> Result<Update, Fault> {
    let query = Query::Changes { since: have.version };
    let Answer::Changes(changes) = logs.query(&have.branch, query, LOCAL_LIMIT).await? else {
        return Err(Fault::Answer);
    };
    let version = match &changes {
        Changes::None => have.version,
        Changes::Deltas(steps) => steps.last().map_or(have.version, |step| step.version),
        Changes::Snapshot(version) => version.version,
    };
    Ok(Update { branch: have.branch.clone(), version, age_ms: Some(0), changes })
}
