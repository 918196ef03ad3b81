//! Saves which targets leave on the disks of the control instances, so that what a target was acknowledged holds after all of
//! them have restarted; see [`fleet::departure`].

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Set};
use fleet::{
    departure::{Departure, Stage, Votes},
    exchange::{self, Answer, Question},
    registry::Target,
};
use futures::{StreamExt, stream::FuturesUnordered};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::seeded::{
    context::Context, directory::Directory, entry::spawn, ledger::Ledger, saved_targets,
    subscription,
};

const FILE_NAME: &str = "departures";
/// Departures that wait for the disk; those that find the queue full are not acknowledged.
const MAX_QUEUED: usize = 1_024;
/// Departures in the file, the latest processes.
const MAX_SAVED: usize = 4_096;
/// Departures that are known to be settled.
const MAX_SETTLED: usize = 4_096;
/// Least time between two writes.
const SYNC_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait until a departure is settled; targets wait a second for the response.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for another instance's answer, and attempts to get one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
const ATTEMPTS: u32 = 2;

/// Content of the file.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Saved {
    /// Addresses of the other control instances.
    members: Vec<SocketAddr>,
    departures: Vec<Departure>,
}

/// The departures that a control instance keeps; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Departures {
    context: Context,
    directory: Directory,
    /// Each is notified once all that was known when it was sent is saved.
    jobs: Option<mpsc::Sender<oneshot::Sender<()>>>,
    saved_members: Arc<Vec<SocketAddr>>,
    settled: Arc<Mutex<Set<Stage>>>,
}

impl Departures {
    /// Loads what is on disk and starts to save departures; without a data folder, only memory is used.
    pub(crate) fn start(context: &Context, directory: &Directory) -> Departures {
        let mut saved_members = Vec::new();
        let folder = context.settings.data_folder.clone().map(PathBuf::from);
        let jobs = folder.map(|folder| {
            match load(&folder) {
                Ok(Saved { members, departures }) => {
                    info!(context.log, "departures_loaded"; "targets" => departures.len());
                    saved_members = members;
                    directory.merge(targets(departures), Moment::now());
                }
                Err(cause) => info!(context.log, "departures_not_loaded"; "cause" => %cause),
            }
            let (jobs, receiver) = mpsc::channel(MAX_QUEUED);
            spawn(context, write(context.clone(), directory.clone(), folder, receiver));
            jobs
        });
        Departures {
            context: context.clone(),
            directory: directory.clone(),
            jobs,
            saved_members: Arc::new(saved_members),
            settled: Arc::default(),
        }
    }

    /// The other control instances when the file was written.
    pub(crate) fn saved_members(&self) -> Vec<SocketAddr> {
        self.saved_members.to_vec()
    }

    /// Has a majority of the control instances save a departure that this one knows; `false` if that takes too long.
    pub(crate) async fn settle(&self, departure: Departure) -> bool {
        let stage = departure.stage();
        if self.settled().contains(&stage) {
            return true;
        }
        let others = self.directory.control_addresses();
        let mut votes = Votes { members: others.len() + 1, ..Votes::default() };
        // Those that answer late save it all the same.
        let calls = others.into_iter().map(|address| {
            let (context, departure) = (self.context.clone(), departure.clone());
            tokio::spawn(async move { ask(&context, address, departure).await })
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let component = self.clone();
        calls.push(tokio::spawn(async move { component.save().await }));
        let counted = async {
            while let Some(vote) = calls.next().await {
                match vote {
                    Ok(Some(Answer::Kept)) => votes.saved += 1,
                    Ok(Some(Answer::Refused)) => votes.earlier += 1,
                    _ => {}
                }
                if votes.is_settled() {
                    return true;
                }
            }
            false
        };
        let is_settled = time::timeout(SETTLE_TIMEOUT, counted).await.unwrap_or(false);
        if is_settled {
            let mut settled = self.settled();
            if settled.len() >= MAX_SETTLED {
                settled.clear();
            }
            settled.insert(stage);
        }
        is_settled
    }

    /// Keeps departures that another control instance has received.
    pub(crate) async fn keep(&self, departures: Vec<Departure>, ledger: &Ledger) -> Answer {
        let targets = targets(departures);
        ledger.save_versions(&targets).await;
        self.directory.merge(targets, Moment::now());
        self.save().await.unwrap_or(Answer::Later)
    }

    /// Saves all departures that are known; nothing if that fails.
    async fn save(&self) -> Option<Answer> {
        if let Some(jobs) = &self.jobs {
            let (saved, receiver) = oneshot::channel();
            let is_queued = jobs.try_send(saved).is_ok();
            if !is_queued || receiver.await.is_err() {
                metrics::counter!("daisydrum_departures_unsaved_total").increment(1);
                return None;
            }
        }
        Some(Answer::Kept)
    }

    fn settled(&self) -> MutexGuard<'_, Set<Stage>> {
        self.settled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn ask(context: &Context, address: SocketAddr, departure: Departure) -> Option<Answer> {
    let question = Question::KeepDepartures(vec![departure]);
    for _ in 0..ATTEMPTS {
        let answer = subscription::ask(context, address, &question, ANSWER_TIMEOUT).await;
        if answer.is_some() {
            return answer;
        }
    }
    None
}

fn targets(departures: Vec<Departure>) -> Vec<Target> {
    departures.into_iter().filter_map(Departure::into_target).collect()
}

/// Saves jobs, and each change, until the instance ends. Writes may block for seconds and run beside other tasks.
async fn write(
    context: Context,
    directory: Directory,
    folder: PathBuf,
    mut jobs: mpsc::Receiver<oneshot::Sender<()>>,
) {
    let mut changes = directory.changes();
    let mut waiting = Vec::new();
    let mut written = Vec::new();
    let mut has_failed = false;
    loop {
        tokio::select! {
            count = jobs.recv_many(&mut waiting, MAX_QUEUED) => if count == 0 { return },
            changed = changes.changed() => if changed.is_err() { return },
        }
        let content = exchange::encode(&snapshot(&directory));
        if content != written {
            let (folder, bytes) = (folder.clone(), content.clone());
            let replace = move || saved_targets::replace(&folder, FILE_NAME, &bytes);
            let replaced = tokio::task::spawn_blocking(replace).await;
            if let Err(cause) = replaced.map_err(io::Error::other).flatten() {
                if !std::mem::replace(&mut has_failed, true) {
                    warn!(context.log, "departures_not_saved"; "cause" => %cause);
                }
                waiting.clear();
                time::sleep(SYNC_INTERVAL).await;
                continue;
            }
            has_failed = false;
            written = content;
        }
        // Those that asked may have stopped waiting.
        for saved in waiting.drain(..) {
            let _ended = saved.send(());
        }
        time::sleep(SYNC_INTERVAL).await;
    }
}

fn snapshot(directory: &Directory) -> Saved {
    let mut departures = directory.departures();
    departures.sort_unstable_by_key(|departure| std::cmp::Reverse(departure.started_unix_ms()));
    departures.truncate(MAX_SAVED);
    Saved { members: directory.control_addresses(), departures }
}

fn load(folder: &Path) -> io::Result<Saved> {
    let bytes = fs::read(folder.join(FILE_NAME))?;
    exchange::decode(&bytes).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}
