//! The log of a replica stays within bounds in bytes, on disk and in memory, however large its commands are.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{cancel, collections::Map, name};
use consensus::{
    effect::HardState,
    entry::Payload,
    member::{Config, Id, Member},
    options::Options,
    status::Role,
};
use replica::{
    client::Client,
    host::{self, Bootstrap, Handle, Host, JoinPolicy, Started},
    state_machine::StateMachine,
};
use store::{
    entry::{Entry, Position},
    folder::Disk,
    log::Log,
};
use telemetry::log as logger;
use tokio::{
    runtime::{self, Runtime},
    sync::watch,
};

const COMMAND_BYTES: usize = 1_500_000;
/// Twice the entries after which a snapshot replaces them, two snapshots, and what is written meanwhile.
const MAX_DISK_BYTES: u64 = 32 * 1024 * 1024;
const LIMIT: Duration = Duration::from_secs(60);
/// Held by each test, as one of them measures the memory of the process.
static TURN: Mutex<()> = Mutex::new(());

/// Keeps the last command.
#[derive(Clone, Default)]
struct Last(Vec<u8>);

impl StateMachine for Last {
    type Command = Bytes;
    type Reply = ();
    type Query = ();
    type Answer = Bytes;
    type Error = String;

    fn apply(&mut self, _index: u64, command: &Bytes) {
        self.0 = command.to_vec();
    }

    fn query(&self, _query: &()) -> Bytes {
        Bytes::from(self.0.clone())
    }

    fn encode(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn decode(&self, bytes: &[u8]) -> Result<Last, String> {
        Ok(Last(bytes.to_vec()))
    }
}

/// A replica that is alone in its log.
struct Replica {
    folder: PathBuf,
    client: Client,
    handle: Handle,
    end: cancel::Token,
    threads: Vec<thread::JoinHandle<()>>,
    runtime: Runtime,
}

fn branch() -> name::Branch {
    name::Branch::from("fleet")
}

impl Replica {
    fn start(folder: &Path) -> Replica {
        let runtime = runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        let end = cancel::Token::new();
        let settings = host::Settings {
            branch: branch(),
            instance: name::Instance::from("one"),
            folder: folder.to_path_buf(),
            bootstrap: Bootstrap::Founder,
            peers: Vec::new(),
            contacts: watch::Sender::default().subscribe(),
            join_policy: JoinPolicy::Manual,
            options: Options { retained_entries: 16, ..Options::default() },
            runtime: runtime.handle().clone(),
            logger: logger::discard(),
            stop: end.clone(),
            end: end.clone(),
        };
        let Started { handle, threads } = host::start(settings, Last::default()).unwrap();
        let host = Host::new(Map::from_iter([(branch(), handle.clone())]));
        let client = Client::new(name::Instance::from("one"), host, Vec::new());
        Replica { folder: folder.to_path_buf(), client, handle, end, threads, runtime }
    }

    fn until_leading(&self) {
        until(|| self.handle.status().is_some_and(|status| status.role == Role::Leader));
    }

    fn submit(&self, command: u8) {
        let command = Bytes::from(vec![command; COMMAND_BYTES]);
        let branch = branch();
        let submitted = self.client.submit::<Bytes, ()>(&branch, &command, LIMIT);
        self.runtime.block_on(submitted).unwrap();
    }

    fn last(&self) -> u8 {
        let branch = branch();
        let answer = self.client.query::<(), Bytes>(&branch, &(), LIMIT);
        self.runtime.block_on(answer).unwrap()[0]
    }

    fn disk_bytes(&self) -> u64 {
        let files = fs::read_dir(&self.folder).unwrap();
        files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).sum()
    }

    fn stop(self) {
        self.end.cancel();
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        self.runtime.shutdown_background();
    }
}

fn until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain");
        thread::sleep(Duration::from_millis(10));
    }
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _absent = fs::remove_dir_all(&folder);
    folder
}

/// Guards against logs whose length alone is bounded: some hundred large commands filled the memory and the disk.
#[test]
fn large_commands_are_replaced_by_snapshots_before_they_fill_the_disk() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = empty_folder("log-size");
    let replica = Replica::start(&folder);
    replica.until_leading();
    let mut most = 0;
    for command in 0..50 {
        replica.submit(command);
        most = most.max(replica.disk_bytes());
    }
    assert!(most < MAX_DISK_BYTES, "{most} bytes on disk");
    replica.stop();
    let replica = Replica::start(&folder);
    replica.until_leading();
    assert_eq!(replica.last(), 49);
    replica.stop();
}

/// A value of this process's status in bytes.
fn memory(name: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_matches([':', ' ', '\t', 'k', 'B']).trim().parse::<u64>().unwrap() * 1024
}

/// Writes a log without a snapshot, as builds left it that bounded its length alone.
fn write_log(folder: &Path, entries: u64) {
    let (mut log, _) = Log::open(Disk::open(folder).unwrap(), Default::default()).unwrap();
    let own = Member { id: Id(7), instance: "one".into(), voter: true, replaces: None };
    let founders = Config::new(vec![own]);
    let hard = HardState { id: Id(7), term: 1, vote: Some(Id(7)), founders };
    log.set_hard_state(&postcard::to_stdvec(&hard).unwrap());
    for index in 1..=entries {
        let command = vec![u8::try_from(index).unwrap(); COMMAND_BYTES];
        let command = Bytes::from(postcard::to_stdvec(&Bytes::from(command)).unwrap());
        let payload = postcard::to_stdvec(&Payload::Command(command)).unwrap();
        log.append(&Entry { position: Position { index, term: 1 }, payload });
        log.sync().unwrap();
    }
}

/// Guards against replicas that never come back: a log that had grown too large was loaded twice at each start.
#[test]
fn a_log_that_is_too_large_already_is_read_once_and_replaced() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = empty_folder("log-too-large");
    let entries = 100;
    write_log(&folder, entries);
    fs::write("/proc/self/clear_refs", "5").unwrap();
    let before = memory("VmRSS");
    let replica = Replica::start(&folder);
    replica.until_leading();
    assert_eq!(u64::from(replica.last()), entries);
    until(|| replica.disk_bytes() < MAX_DISK_BYTES);
    let taken = memory("VmHWM") - before;
    let log_bytes = entries * COMMAND_BYTES as u64;
    assert!(taken < log_bytes + log_bytes / 4, "{taken} bytes for a log of {log_bytes}");
    replica.stop();
}
