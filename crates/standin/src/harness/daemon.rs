//! A real daemon, started from its binary and signalled by its process id.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use hyper::StatusCode;
use rustix::process::{Pid, Signal};
use settings::instance;
use wire::operator;

use super::{address, wait};
use crate::http;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of log lines printed for a daemon of a failed test; enough for a minute of a small cluster.
const PRINTED_LINES: usize = 400;

/// Settings of an instance on free loopback addresses, without peers or replicas.
pub fn settings(name: &str, data_centre: &str, tree: &Path) -> instance::Instance {
    instance::Instance {
        name: String::from(name),
        data_centre: String::from(data_centre),
        callers: address::free(),
        control: address::free(),
        peers_listen: address::free(),
        peers: Vec::new(),
        data_folder: None,
        replicas: Vec::new(),
        tree: Some(tree.display().to_string()),
        log: instance::Log::default(),
        spans: instance::Spans::default(),
        stop_s: 30,
    }
}

/// Makes all other instances the peers of each instance.
pub fn connect(instances: &mut [instance::Instance]) {
    let peers: Vec<instance::Peer> = instances
        .iter()
        .map(|instance| instance::Peer {
            name: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            address: instance.peers_listen,
            replicas: instance.replicas.iter().map(|replica| replica.branch.clone()).collect(),
        })
        .collect();
    for instance in instances {
        let others = peers.iter().filter(|peer| peer.name != instance.name);
        instance.peers = others.cloned().collect();
    }
}

/// A daemon's process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    binary: PathBuf,
    file: PathBuf,
    settings: instance::Instance,
    process: Child,
}

impl Daemon {
    /// Writes `settings` into `folder` and starts the binary with them; its log is `NAME.log` there.
    ///
    /// # Panics
    ///
    /// Panics when the file can't be written or the binary can't be started.
    pub fn start(binary: &Path, folder: &Path, settings: instance::Instance) -> Daemon {
        let file = folder.join(format!("{}.jsonc", settings.name));
        let text = serde_json::to_string_pretty(&settings).expect("settings can be written");
        fs::write(&file, text).expect("the test's folder can be written");
        let process = spawn(binary, &file);
        Daemon { binary: binary.to_path_buf(), file, settings, process }
    }

    /// Its settings.
    pub fn settings(&self) -> &instance::Instance {
        &self.settings
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Where targets and operators connect.
    pub fn control(&self) -> SocketAddr {
        self.settings.control
    }

    /// Sends it a signal.
    ///
    /// # Panics
    ///
    /// Panics when the process has been waited for.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).ok().and_then(Pid::from_raw);
        let id = id.expect("a child has an id");
        rustix::process::kill_process(id, signal).expect("the child takes signals");
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Freezes it with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to stop gracefully with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills it if it still runs and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.process = spawn(&self.binary, &self.file);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until it accepts callers.
    ///
    /// # Panics
    ///
    /// Panics with its log when it doesn't within [`wait::LIMIT`].
    pub async fn until_ready(&self) {
        let is_ready = wait::holds_within(wait::LIMIT, async || self.is_ready().await).await;
        assert!(is_ready, "the daemon did not become ready in time:\n{}", self.log());
    }

    /// Whether it accepts callers.
    pub async fn is_ready(&self) -> bool {
        let response = self.get(operator::READY_PATH).await;
        response.is_some_and(|response| response.status == StatusCode::OK)
    }

    /// Its own status and the targets that it knows.
    pub async fn status(&self) -> Option<operator::Status> {
        self.get(operator::STATUS_PATH).await?.json().ok()
    }

    /// Waits until it knows `count` targets.
    pub async fn until_targets(&self, count: usize) {
        wait::until("the daemon knows the targets", async || {
            self.status().await.is_some_and(|status| status.targets.len() == count)
        })
        .await;
    }

    /// The response of its control listener to a `GET`.
    pub async fn get(&self, path: &str) -> Option<http::Response> {
        let request = http::get(path).ok()?;
        http::call(self.control(), request, RESPONSE_TIMEOUT).await.ok()
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }

    /// Id of its process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}

impl Drop for Daemon {
    /// Prints the end of its log when the test has failed.
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            let log = self.log();
            let skipped = log.lines().count().saturating_sub(PRINTED_LINES);
            eprintln!("log of {} ({skipped} lines before it):", self.settings.name);
            log.lines().skip(skipped).for_each(|line| eprintln!("{line}"));
        }
    }
}

fn spawn(binary: &Path, file: &Path) -> Child {
    let log = File::options().create(true).append(true).open(file.with_extension("log"));
    let log = log.expect("the test's folder can be written");
    let other = log.try_clone().expect("a file can be shared");
    Command::new(binary)
        .args(["run", "--settings"])
        .arg(file)
        .stdout(Stdio::from(log))
        .stderr(Stdio::from(other))
        .spawn()
        .expect("the daemon's binary can be started")
}
