//! The ledger of a control instance: origins of streams that entry instances record here, and the software versions of
//! the services, both also on disk; see [`placement::continuity`].
//!
//! A record is acknowledged once it is synced, many at a time, so that no loss of power takes what an entry instance relies
//! on. A new version is synced before other instances learn of it, so that afterwards nobody takes an earlier version for
//! the only one.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use common::{clock, clock::Moment, name};
use fleet::{
    exchange::{self, Answer, Beginning, Origin, ServiceVersions, VersionAge},
    registry::{State, Target},
};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::seeded::{context::Context, directory::Directory, entry::spawn};

const FILE_NAME: &str = "origins";
const TEMPORARY_FILE_NAME: &str = "origins.new";
/// Streams in one frame of a file that is written anew.
const MAX_FRAME_STREAMS: usize = 1_024;
/// Batches that wait for the disk; those that find the queue full are not acknowledged.
const MAX_QUEUED: usize = 1_024;
/// Longest wait until a new version is synced, after which it is passed on all the same: a disk may hang.
const SAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between two syncs.
const SYNC_INTERVAL: Duration = Duration::from_millis(5);
/// Size above which the file is written anew with what has not expired, as a fixed size and as a multiple of what the last
/// such write left, and the least time between two of them.
const COMPACT_BYTES: u64 = 2 * 1024 * 1024;
const COMPACT_FACTOR: u64 = 2;
const COMPACT_INTERVAL: Duration = Duration::from_secs(10);

/// What the file holds, one frame for each: its length and checksum, 4 bytes little-endian each, then its encoding.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// Streams that began; their lifetimes, from `at_unix_ms` on, follow the record.
    Begun {
        /// Milliseconds since the Unix epoch.
        at_unix_ms: u64,
        beginnings: Vec<Beginning>,
    },
    /// Versions that services had.
    Versions { at_unix_ms: u64, versions: Vec<ServiceVersions> },
    /// Since when no record is missing, in milliseconds since the Unix epoch.
    Complete { since_unix_ms: u64 },
}

impl Record {
    /// The streams whose origins it holds.
    fn beginnings(&mut self) -> &mut [Beginning] {
        match self {
            Record::Begun { beginnings, .. } => beginnings,
            Record::Versions { .. } | Record::Complete { .. } => &mut [],
        }
    }
}

/// What the writer is asked to save.
#[derive(Debug)]
struct Job {
    content: Content,
    /// Notified once it is synced.
    saved: oneshot::Sender<()>,
}

#[derive(Debug)]
enum Content {
    Begun(Vec<Beginning>),
    /// The versions of a service that are known, and one that targets have now.
    Versions {
        service: name::Service,
        seen: Option<name::Software>,
    },
}

/// The ledger of a control instance; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    directory: Directory,
    jobs: Option<mpsc::Sender<Job>>,
    /// Held while a new version is saved, so that it is saved once.
    saving: Arc<tokio::sync::Mutex<()>>,
}

impl Ledger {
    /// Loads what is on disk and starts to save what is recorded; without a data folder, only memory is used.
    pub(crate) fn start(context: &Context, directory: &Directory) -> Ledger {
        let folder = context.settings.data_folder.clone().map(PathBuf::from);
        let loaded = folder.as_deref().map(|folder| load(folder, directory));
        match &loaded {
            Some(Ok(records)) => info!(context.log, "origins_loaded"; "records" => records,
                "streams" => directory.origins(Moment::now()).len()),
            Some(Err(cause)) => info!(context.log, "origins_not_loaded"; "cause" => %cause),
            None => {}
        }
        if context.settings.founding && !matches!(loaded, Some(Ok(_))) {
            // No earlier process of the fleet has acknowledged any.
            directory.restore_origins(Moment::default());
            directory.begin_fleet();
        }
        let jobs = folder.map(|folder| {
            let (jobs, receiver) = mpsc::channel(MAX_QUEUED);
            spawn(context, write(context.clone(), directory.clone(), folder, receiver));
            jobs
        });
        Ledger { directory: directory.clone(), jobs, saving: Arc::default() }
    }

    /// Keeps the origins of streams, after a version that they name and that this instance doesn't know.
    ///
    /// Those that it keeps already are not saved again: an instance that was not answered in time asks once more. Without a
    /// data folder they are kept in memory only.
    pub(crate) async fn keep(&self, mut beginnings: Vec<Beginning>) -> Answer {
        let asked_at = Moment::now();
        beginnings.retain(|beginning| !self.directory.keeps_origin(beginning, asked_at));
        if beginnings.is_empty() {
            return Answer::Kept;
        }
        for Beginning { origin: Origin { service, software, .. }, .. } in &beginnings {
            if !self.directory.knows_version(service, software) {
                self.save_version(service, software).await;
            }
        }
        if let Some(jobs) = &self.jobs {
            let (saved, receiver) = oneshot::channel();
            let content = Content::Begun(beginnings.clone());
            let is_queued = jobs.try_send(Job { content, saved }).is_ok();
            // An instance that isn't answered looks elsewhere; what it was not acknowledged does no harm.
            if !is_queued || receiver.await.is_err() {
                metrics::counter!("daisydrum_origins_unsaved_total").increment(1);
                return Answer::Later;
            }
        }
        let now = Moment::now();
        self.directory.keep_origins(beginnings, now, now);
        Answer::Kept
    }

    /// Saves the versions of targets that are new to this instance, or have returned, before it passes them on.
    pub(crate) async fn save_versions(&self, targets: &[Target]) {
        let takes_requests = targets.iter().filter(|target| target.state < State::Lost);
        for target in takes_requests.filter(|target| !self.directory.is_stale(target)) {
            self.save_version(&target.service, &target.software).await;
        }
    }

    async fn save_version(&self, service: &name::Service, software: &name::Software) {
        if self.directory.has_version(service, software) {
            return;
        }
        let _turn = self.saving.lock().await;
        if self.directory.has_version(service, software) {
            return;
        }
        if let Some(jobs) = &self.jobs {
            let (saved, receiver) = oneshot::channel();
            let content =
                Content::Versions { service: service.clone(), seen: Some(software.clone()) };
            if jobs.try_send(Job { content, saved }).is_ok() {
                let _elapsed = time::timeout(SAVE_TIMEOUT, receiver).await;
            }
        }
        self.directory.see_version(service, software);
    }

    /// Starts to save that versions of a service have no targets any more: after a restart they would otherwise count as
    /// having been there meanwhile.
    pub(crate) fn save_absences(&self, service: name::Service) {
        if let Some(jobs) = &self.jobs {
            let (saved, _unawaited) = oneshot::channel();
            let job = Job { content: Content::Versions { service, seen: None }, saved };
            if jobs.try_send(job).is_err() {
                metrics::counter!("daisydrum_absences_unsaved_total").increment(1);
            }
        }
    }
}

/// Saves jobs until the ledger is dropped. Writes may block for seconds and run beside other tasks.
async fn write(
    context: Context,
    directory: Directory,
    folder: PathBuf,
    mut jobs: mpsc::Receiver<Job>,
) {
    let mut file = None;
    let mut batch = Vec::new();
    let mut compacted_at = Moment::now();
    let mut compacted_bytes = 0;
    let mut has_failed = false;
    while jobs.recv_many(&mut batch, MAX_QUEUED).await > 0 {
        let now = Moment::now();
        let is_due = now.since(compacted_at) >= COMPACT_INTERVAL;
        let limit = COMPACT_BYTES.max(compacted_bytes * COMPACT_FACTOR);
        let compact = file.is_none() || (is_due && file_bytes(file.as_ref()) > limit);
        let mut records = Vec::new();
        if compact {
            compacted_at = now;
            records.extend(snapshot(&directory, now));
        }
        let mut waiting = Vec::new();
        let mut begun = Vec::new();
        for Job { content, saved } in batch.drain(..) {
            waiting.push(saved);
            match content {
                Content::Begun(beginnings) => begun.extend(beginnings),
                Content::Versions { service, seen } => {
                    records.push(versions(&directory, service, seen, now));
                }
            }
        }
        if !begun.is_empty() {
            records.push(Record::Begun { at_unix_ms: clock::unix_ms(), beginnings: begun });
        }
        let (target, opened) = (folder.clone(), file.take().filter(|_| !compact));
        let written = tokio::task::spawn_blocking(move || save(&target, opened, &records)).await;
        match written {
            Ok(Ok(saved)) => {
                has_failed = false;
                if compact {
                    compacted_bytes = file_bytes(Some(&saved));
                }
                file = Some(saved);
                // Those that asked may have stopped waiting.
                for saved in waiting {
                    let _ended = saved.send(());
                }
            }
            Ok(Err(cause)) => {
                if !std::mem::replace(&mut has_failed, true) {
                    warn!(context.log, "origins_not_saved"; "cause" => %cause);
                }
            }
            Err(_panicked) => {}
        }
        time::sleep(SYNC_INTERVAL).await;
    }
}

/// All that has not expired.
fn snapshot(directory: &Directory, now: Moment) -> Vec<Record> {
    let at_unix_ms = clock::unix_ms();
    let versions = Record::Versions { at_unix_ms, versions: directory.versions(now) };
    // In the future while a record of a long-lived stream may be missing.
    let since = directory.complete_since();
    let since_unix_ms = at_unix_ms.saturating_add(since.0).saturating_sub(now.0);
    let complete = Record::Complete { since_unix_ms };
    let origins = directory.origins(now);
    let begun = origins
        .chunks(MAX_FRAME_STREAMS)
        .map(|beginnings| Record::Begun { at_unix_ms, beginnings: beginnings.to_vec() });
    [versions, complete].into_iter().chain(begun).collect()
}

/// The versions of a service that are known, and one that targets have now.
fn versions(
    directory: &Directory,
    service: name::Service,
    seen: Option<name::Software>,
    now: Moment,
) -> Record {
    let known = directory.versions(now).into_iter().find(|known| known.service == service);
    let mut ages = known.map(|known| known.ages).unwrap_or_default();
    ages.extend(seen.map(|software| VersionAge { software, first_ms: 0, last_ms: 0 }));
    Record::Versions {
        at_unix_ms: clock::unix_ms(),
        versions: vec![ServiceVersions { service, ages }],
    }
}

fn file_bytes(file: Option<&File>) -> u64 {
    file.and_then(|file| file.metadata().ok()).map_or(0, |metadata| metadata.len())
}

/// Appends records to the open file, or writes them to a new one, and syncs it.
fn save(folder: &Path, opened: Option<File>, records: &[Record]) -> io::Result<File> {
    let bytes: Vec<u8> = records.iter().flat_map(frame).collect();
    if let Some(mut file) = opened {
        file.write_all(&bytes)?;
        file.sync_data()?;
        return Ok(file);
    }
    let temporary = folder.join(TEMPORARY_FILE_NAME);
    let mut file = OpenOptions::new().create(true).write(true).truncate(true).open(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

fn frame(record: &Record) -> Vec<u8> {
    let payload = match record {
        Record::Begun { beginnings, .. } => exchange::encode_beginnings(record, beginnings),
        Record::Versions { .. } | Record::Complete { .. } => exchange::encode(record),
    };
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let checksum = crc32fast::hash(&payload);
    [length.to_le_bytes().as_slice(), &checksum.to_le_bytes(), &payload].concat()
}

/// Loads the file up to the first frame that is torn; returns the number of records.
fn load(folder: &Path, directory: &Directory) -> io::Result<usize> {
    let bytes = fs::read(folder.join(FILE_NAME))?;
    let (now, now_unix_ms) = (Moment::now(), clock::unix_ms());
    let mut rest = bytes.as_slice();
    let mut records = 0;
    while let Some((record, after)) = next_record(rest) {
        apply(directory, record, now, now_unix_ms);
        rest = after;
        records += 1;
    }
    directory.resume_versions(now);
    Ok(records)
}

fn next_record(bytes: &[u8]) -> Option<(Record, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    let payload = rest.get(..length)?;
    if crc32fast::hash(payload) != u32::from_le_bytes(*checksum) {
        return None;
    }
    Some((exchange::decode_beginnings(payload, Record::beginnings)?, &rest[length..]))
}

fn apply(directory: &Directory, record: Record, now: Moment, now_unix_ms: u64) {
    let age = |at_unix_ms: u64| now_unix_ms.saturating_sub(at_unix_ms);
    match record {
        Record::Begun { at_unix_ms, beginnings } => {
            let at = now - Duration::from_millis(age(at_unix_ms));
            directory.keep_origins(beginnings, at, now);
        }
        Record::Versions { at_unix_ms, versions } => {
            directory.restore_versions(&versions, now - Duration::from_millis(age(at_unix_ms)));
        }
        Record::Complete { since_unix_ms } => {
            let since = now.0.saturating_add(since_unix_ms).saturating_sub(now_unix_ms);
            directory.restore_origins(Moment(since));
        }
    }
}
