//! Keeps an instance's declarations up to date, with one task per branch, and handles pulls of other instances.

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

/// Longest wait of a pull for a higher version.
pub const PULL_WAIT: Duration = Duration::from_secs(1);
/// Pause between two queries of the instance's own replica.
const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the own replica to answer a query.
const LOCAL_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a failed attempt to get an update.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Folder of the stored declarations, within the data folder.
const FOLDER: &str = "declarations";

/// Settings and context of a [`Synchronizer`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's settings.
    pub instance: Arc<Instance>,
    /// Receives log lines.
    pub log: Logger,
    /// Cancelled to stop the tasks.
    pub stop: cancel::Token,
}

/// Keeps an instance's declarations up to date; clones share its state.
#[derive(Clone, Debug)]
pub struct Synchronizer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    view: watch::Sender<Arc<View>>,
    readiness: Mutex<Readiness>,
    /// Versions that the request path has indexed; `None` until it has indexed any.
    indexed: Mutex<Option<Vec<Version>>>,
    disk: Option<Disk>,
}

/// Why a branch could not be updated.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("{_0}")]
    Peer(peer::Error),
    #[display("{_0}")]
    Log(replicated_log::Error),
    #[display("{_0}")]
    Disk(disk::Error),
    #[display("the replica's answer belongs to another query")]
    OtherAnswer,
}

impl Synchronizer {
    /// Reads the stored declarations and starts the tasks on `runtime`.
    ///
    /// # Errors
    ///
    /// Returns a [`disk::Error`] if the data folder can't be used or a file in it is corrupt.
    pub fn start<L: replicated_log::Client, P: peer::Client>(
        options: Options,
        logs: &L,
        peers: &P,
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
            if let Some(declarations) =
                disk.as_ref().map(|disk| disk.read(branch)).transpose()?.flatten()
            {
                view.restore(branch, declarations);
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
                peers: peers.clone(),
            };
            runtime.spawn(follower.run());
        }
        runtime.spawn(synchronizer.clone().request_versions(peers.clone()));
        Ok(synchronizer)
    }

    /// Watches the view: the current one and all later ones.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.shared.view.subscribe()
    }

    /// The versions in force, which are those that the request path has indexed.
    pub fn in_force(&self) -> Vec<Version> {
        self.indexed().clone().unwrap_or_default()
    }

    /// Records that the request path has indexed the declarations of `view`.
    pub fn set_indexed(&self, view: &View) {
        *self.indexed() = Some(view.versions());
    }

    fn indexed(&self) -> MutexGuard<'_, Option<Vec<Version>>> {
        self.shared.indexed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the instance is ready to serve: its declarations are current, and the request path has indexed them.
    pub fn is_ready(&self) -> bool {
        self.indexed().is_some() && self.is_current()
    }

    /// Whether the instance has the highest versions known to be in force; see [`Readiness`].
    pub fn is_current(&self) -> bool {
        let view = self.shared.view.borrow().clone();
        let readiness = self.shared.readiness.lock().unwrap_or_else(PoisonError::into_inner);
        readiness.is_ready(&view, Moment::now())
    }

    /// Answers a pull as soon as the view has a higher version than `have`, or after `wait_ms`, at most [`PULL_WAIT`].
    pub async fn handle_pull(&self, have: Version, wait_ms: u64) -> Update {
        let wait = Duration::from_millis(wait_ms).min(PULL_WAIT);
        let mut views = self.watch();
        let ahead = views.wait_for(|view| view.is_ahead(&have));
        let _ = time::timeout(wait, ahead).await;
        let view = self.shared.view.borrow().clone();
        view.update_since(&have, Moment::now())
    }

    fn version(&self, branch: &name::Branch) -> u64 {
        self.shared.view.borrow().version(branch)
    }

    /// Applies an update; a higher version is stored on disk before it is in force.
    async fn apply(&self, branch: &name::Branch, update: Update) -> Result<Outcome, Failure> {
        let mut next = View::clone(&self.shared.view.borrow());
        let outcome = next.apply(update, Moment::now());
        if let Outcome::Mismatch(problem) = &outcome {
            warn!(self.shared.options.log, "update does not continue the declarations held, requesting a snapshot";
                "branch" => %branch, "problem" => problem);
        }
        let Some(held) = next.branches().get(branch).cloned() else {
            return Ok(outcome);
        };
        if outcome != Outcome::Advanced {
            // Only `confirmed` changes, so tasks that wait for a higher version are not woken.
            self.shared.view.send_if_modified(|view| {
                Arc::make_mut(view).install(branch, held);
                false
            });
            return Ok(outcome);
        }
        if let Some(disk) = self.shared.disk.clone() {
            let (branch, declarations) = (branch.clone(), Arc::clone(&held.declarations));
            let write = task::spawn_blocking(move || disk.write(&branch, &declarations));
            write.await.expect("invariant: writing declarations does not panic")?;
        }
        let version = held.declarations.version;
        self.shared.view.send_modify(|view| Arc::make_mut(view).install(branch, held));
        info!(self.shared.options.log, "declarations in force"; "branch" => %branch,
            "version" => version);
        Ok(outcome)
    }

    /// Requests the versions of all instances of the data centre and of all with replicas once.
    async fn request_versions<P: peer::Client>(self, peers: P) {
        let options = &self.shared.options;
        let own = &options.instance.data_centre;
        let configured = options.instance.peers.iter();
        let relevant =
            configured.filter(|peer| peer.data_centre == *own || !peer.replicas.is_empty());
        let requests = relevant.map(|peer| async {
            if let Ok(have) = peers.in_force(&name::Instance::from(peer.name.as_str())).await {
                let mut readiness =
                    self.shared.readiness.lock().unwrap_or_else(PoisonError::into_inner);
                readiness.record_versions(&have);
            }
        });
        tokio::select! {
            () = options.stop.cancelled() => {}
            _ = future::join_all(requests) => {}
        }
    }
}

/// Task that keeps one branch up to date.
struct Follower<L, P> {
    synchronizer: Synchronizer,
    branch: name::Branch,
    selector: Selector,
    logs: L,
    peers: P,
}

impl<L: replicated_log::Client, P: peer::Client> Follower<L, P> {
    /// Runs until the instance stops.
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
            // After a mismatch, version 0 requests a snapshot.
            let mismatch = matches!(last, Outcome::Mismatch(_));
            let version = if mismatch { 0 } else { self.synchronizer.version(&self.branch) };
            let have = Version { branch: self.branch.clone(), version };
            match self.advance(have).await {
                Ok(outcome) => last = outcome,
                Err(failure) => {
                    debug!(self.synchronizer.shared.options.log, "branch not updated, retrying";
                        "branch" => %self.branch, "cause" => %failure);
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn advance(&mut self, have: Version) -> Result<Outcome, Failure> {
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
        match self.peers.pull(&peer, have, PULL_WAIT).await {
            Ok(update) => {
                let age = update.age_ms.map(Duration::from_millis);
                self.selector.record_response(&peer, age, Moment::now());
                self.synchronizer.apply(&self.branch, update).await
            }
            Err(silence) => {
                self.selector.record_failure(&peer, Moment::now());
                Err(Failure::Peer(silence))
            }
        }
    }
}

/// Queries the instance's own replica for the changes after a version.
async fn read<L: replicated_log::Client>(logs: &L, have: &Version) -> Result<Update, Failure> {
    let query = Query::Changes { since: have.version };
    let Answer::Changes(changes) = logs.query(&have.branch, query, LOCAL_LIMIT).await? else {
        return Err(Failure::OtherAnswer);
    };
    let version = match &changes {
        Changes::None => have.version,
        Changes::Deltas(revisions) => {
            revisions.last().map_or(have.version, |revision| revision.version)
        }
        Changes::Snapshot(declarations) => declarations.version,
    };
    Ok(Update { branch: have.branch.clone(), version, age_ms: Some(0), changes })
}
