//! Keeps at the control instances, in memory and on disk, which requests and prompt parts are quarantined, so that a quarantine
//! outlives a restart of all entry instances and of all instances. No request waits for this; which standings are
//! kept is decided in [`placement::quarantine::report`].

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use common::{
    clock,
    collections::{Map, Set},
    random::Random,
};
use fleet::{
    exchange::{self, Answer, Notice, Question},
    standing::{Record, Suspect},
};
use gateway::{quarantine::Table, state::Gateway};
use placement::quarantine::report::{self, Reporter};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::seeded::{
    context::Context,
    directory::Directory,
    entry::spawn,
    saved_targets, subscription,
    warmup::{RETRY_INTERVAL, SUSPICIONS_DEADLINE, SUSPICIONS_TIMEOUT},
};

const FILE_NAME: &str = "standings";
/// Standings in the file, those of quarantined suspects first.
const MAX_SAVED: usize = 2_048;
/// Reports that wait for the disk; those that find the queue full are sent again.
const MAX_QUEUED: usize = 1_024;
/// Least time between two writes.
const SYNC_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two rounds in which some entry instances report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait until a control instance has saved a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds in which the control instances are asked that have not answered before the instance served.
const LATE_INTERVAL: Duration = Duration::from_millis(500);

/// Content of the file.
#[derive(Debug, Serialize, Deserialize)]
struct Saved {
    /// When it was written, in milliseconds since the Unix epoch; the ages count from then.
    saved_unix_ms: u64,
    records: Vec<Record>,
}

/// The standings that a control instance keeps; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Standings {
    table: Arc<Table>,
    /// Each is notified once all that was known when it was sent is saved.
    jobs: Option<mpsc::Sender<oneshot::Sender<()>>>,
}

impl Standings {
    /// Loads what is on disk, and learns what the other control instances keep; without a data folder, only memory is used.
    pub(crate) fn start(context: &Context, directory: &Directory) -> Standings {
        let table = Arc::new(Table::default());
        let folder = context.settings.data_folder.clone().map(PathBuf::from);
        let jobs = folder.map(|folder| {
            match load(&folder) {
                Ok(records) => {
                    info!(context.log, "standings_loaded"; "suspects" => records.len());
                    table.merge_records(records);
                }
                Err(cause) => info!(context.log, "standings_not_loaded"; "cause" => %cause),
            }
            let (jobs, receiver) = mpsc::channel(MAX_QUEUED);
            spawn(context, write(context.clone(), Arc::clone(&table), folder, receiver));
            jobs
        });
        if !context.settings.founding {
            let (context, directory) = (context.clone(), directory.clone());
            let kept = Arc::clone(&table);
            spawn(&context.clone(), async move {
                learn_late(&context, &directory, Set::default(), |notices| {
                    notices.iter().for_each(|notice| merge(&kept, notice));
                })
                .await;
            });
        }
        Standings { table, jobs }
    }

    /// What an entry instance that starts should know.
    pub(crate) fn notices(&self) -> Vec<Notice> {
        self.table.notices()
    }

    /// Keeps standings that an entry instance reports; answered once they are saved.
    pub(crate) async fn keep(&self, records: Vec<Record>) -> Answer {
        self.table.merge_records(records);
        let Some(jobs) = &self.jobs else {
            return Answer::Kept;
        };
        let (saved, receiver) = oneshot::channel();
        if jobs.try_send(saved).is_err() || receiver.await.is_err() {
            metrics::counter!("daisydrum_standings_unsaved_total").increment(1);
            return Answer::Later;
        }
        Answer::Kept
    }
}

fn merge(table: &Table, notice: &Notice) {
    match notice {
        Notice::Suspicions { service, suspicions } => {
            table.merge(service, suspicions);
        }
        Notice::Crashes(crashes) => {
            table.merge_crashes(crashes);
        }
        _ => {}
    }
}

/// Writes the file whenever a job asks for it, until the instance ends. Writes may block for seconds and run beside other
/// tasks.
async fn write(
    context: Context,
    table: Arc<Table>,
    folder: PathBuf,
    mut jobs: mpsc::Receiver<oneshot::Sender<()>>,
) {
    let mut waiting = Vec::new();
    let mut written: Option<Vec<Record>> = None;
    let mut has_failed = false;
    while jobs.recv_many(&mut waiting, MAX_QUEUED).await > 0 {
        let mut records = table.records();
        records.sort_by_key(|record| !report::is_quarantined(record));
        records.truncate(MAX_SAVED);
        let standings = records.iter().map(|record| record.clone().with_age(0)).collect();
        if written.as_ref() != Some(&standings) {
            let content = exchange::encode(&Saved { saved_unix_ms: unix_ms(), records });
            let folder = folder.clone();
            let replace = move || saved_targets::replace(&folder, FILE_NAME, &content);
            let replaced = tokio::task::spawn_blocking(replace).await;
            if let Err(cause) = replaced.map_err(io::Error::other).flatten() {
                if !std::mem::replace(&mut has_failed, true) {
                    warn!(context.log, "standings_not_saved"; "cause" => %cause);
                }
                waiting.clear();
                time::sleep(SYNC_INTERVAL).await;
                continue;
            }
            has_failed = false;
            written = Some(standings);
        }
        // Those that asked may have stopped waiting.
        for saved in waiting.drain(..) {
            let _ended = saved.send(());
        }
        time::sleep(SYNC_INTERVAL).await;
    }
}

fn load(folder: &Path) -> io::Result<Vec<Record>> {
    let bytes = fs::read(folder.join(FILE_NAME))?;
    let saved: Option<Saved> = exchange::decode(&bytes);
    let Saved { saved_unix_ms, records } =
        saved.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    let away_ms = unix_ms().saturating_sub(saved_unix_ms);
    let aged = |record: Record| {
        let age_ms = record.age_ms().saturating_add(away_ms);
        record.with_age(age_ms)
    };
    Ok(records.into_iter().map(aged).collect())
}

fn unix_ms() -> u64 {
    clock::unix_ns() / 1_000_000
}

/// Reports the standings of quarantined suspects to all control instances, until the instance ends.
pub(crate) async fn report(context: Context, directory: Directory, gateway: Arc<Gateway>) {
    let reporter = Arc::new(Mutex::new(Reporter::default()));
    let mut random = Random::new(clock::unix_ns());
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let lock = || reporter.lock().unwrap_or_else(PoisonError::into_inner);
        if lock().is_idle() && !gateway.quarantine.is_any_quarantined() {
            continue;
        }
        let instances = directory.entry_instances().len() + 1;
        if random.unit() >= report::share_of_reports(instances) {
            continue;
        }
        let records: Map<Suspect, Record> = gateway
            .quarantine
            .records()
            .into_iter()
            .map(|record| (record.suspect(), record))
            .collect();
        let control = directory.control_addresses();
        let calls: Vec<(SocketAddr, Vec<Record>)> = {
            let mut reporter = lock();
            reporter.observe(records.values().cloned());
            reporter.forget(&control);
            let due = |address: &SocketAddr| {
                let due = reporter.due(*address).into_iter();
                (*address, due.filter_map(|suspect| records.get(&suspect).cloned()).collect())
            };
            control.iter().map(due).filter(|(_, due): &(_, Vec<Record>)| !due.is_empty()).collect()
        };
        let calls = calls.into_iter().map(async |(address, records)| {
            let question = Question::KeepStandings(records.clone());
            let answer = subscription::ask(&context, address, &question, REPORT_TIMEOUT).await;
            // Control instances of earlier builds keep none.
            if matches!(answer, Some(Answer::Kept | Answer::Refused)) {
                lock().acknowledge(address, records);
            }
        });
        futures::future::join_all(calls).await;
    }
}

/// Learns what a majority of the control instances keeps before this instance serves. If they don't answer in time, it
/// is learnt later.
pub(crate) async fn learn(context: &Context, directory: &Directory, gateway: &Arc<Gateway>) {
    let started = Instant::now();
    let mut answered = Set::default();
    let handle = {
        let gateway = Arc::clone(gateway);
        move |notices: &[Notice]| notices.iter().for_each(|notice| gateway.handle_notice(notice))
    };
    while started.elapsed() < SUSPICIONS_DEADLINE {
        ask_control(context, directory, &mut answered, &handle).await;
        if is_majority(&answered, directory) {
            info!(context.log, "standings_learnt"; "from" => answered.len());
            return;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    info!(context.log, "standings_not_learnt"; "from" => answered.len());
    let (task, directory) = (context.clone(), directory.clone());
    spawn(context, async move { learn_late(&task, &directory, answered, handle).await });
}

fn is_majority(answered: &Set<SocketAddr>, directory: &Directory) -> bool {
    let control = directory.control_addresses();
    let known = control.iter().filter(|address| answered.contains(*address)).count();
    !control.is_empty() && 2 * known > control.len()
}

async fn learn_late(
    context: &Context,
    directory: &Directory,
    mut answered: Set<SocketAddr>,
    handle: impl Fn(&[Notice]),
) {
    while !is_majority(&answered, directory) {
        time::sleep(LATE_INTERVAL).await;
        ask_control(context, directory, &mut answered, &handle).await;
    }
}

/// Asks the control instances that have not answered yet.
async fn ask_control(
    context: &Context,
    directory: &Directory,
    answered: &mut Set<SocketAddr>,
    handle: &impl Fn(&[Notice]),
) {
    let open =
        directory.control_addresses().into_iter().filter(|address| !answered.contains(address));
    let ask = async |address: SocketAddr| {
        let question = Question::Suspicions;
        (address, subscription::ask(context, address, &question, SUSPICIONS_TIMEOUT).await)
    };
    for (address, answer) in futures::future::join_all(open.map(ask)).await {
        match answer {
            Some(Answer::Suspicions(notices)) => handle(&notices),
            // Control instances of earlier builds keep none.
            Some(Answer::Refused) => {}
            _ => continue,
        }
        answered.insert(address);
    }
}
