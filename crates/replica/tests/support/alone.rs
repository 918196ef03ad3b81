//! A replica that is alone in its log.

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{cancel, collections::Map, name};
use consensus::{options::Options, status::Role};
use replica::{
    client::Client,
    host::{self, Bootstrap, Handle, Host, JoinPolicy, Started},
    state_machine::StateMachine,
};
use telemetry::log as logger;
use tokio::{
    runtime::{self, Runtime},
    sync::watch,
};
use wire::log::Error;

pub const COMMAND_BYTES: usize = 1_500_000;
const LIMIT: Duration = Duration::from_secs(60);

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
pub struct Replica {
    client: Client,
    handle: Handle,
    end: cancel::Token,
    threads: Vec<thread::JoinHandle<()>>,
    pub runtime: Runtime,
}

fn branch() -> name::Branch {
    name::Branch::from("fleet")
}

impl Replica {
    pub fn start(folder: &Path) -> Replica {
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
        Replica { client, handle, end, threads, runtime }
    }

    pub fn until_leading(&self) {
        until(|| self.handle.status().is_some_and(|status| status.role == Role::Leader));
    }

    pub fn submit(&self, command: u8) -> Result<(), Error> {
        let command = Bytes::from(vec![command; COMMAND_BYTES]);
        let branch = branch();
        let submitted = self.client.submit::<Bytes, ()>(&branch, &command, LIMIT);
        self.runtime.block_on(submitted)
    }

    pub fn last(&self) -> u8 {
        let branch = branch();
        let answer = self.client.query::<(), Bytes>(&branch, &(), LIMIT);
        self.runtime.block_on(answer).unwrap()[0]
    }

    pub fn stop(self) {
        self.end.cancel();
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        self.runtime.shutdown_background();
    }
}

pub fn until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain");
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _absent = fs::remove_dir_all(&folder);
    folder
}
