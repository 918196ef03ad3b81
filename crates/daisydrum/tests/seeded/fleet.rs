//! Daemons on loopback addresses of their own, which all use the same ports.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal};
use standin::harness::folder::Folder;

const CONTROL_PORT: u16 = 8_144;
const CALLERS_PORT: u16 = 8_149;
const READINESS_PORT: u16 = 8_141;
const PEERS_PORT: u16 = 7_380;
/// Conditions are waited for this long, on machines under load, too.
const PATIENCE: Duration = Duration::from_secs(40);

/// Numbers the fleets of this process, each of which has loopback addresses of its own.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Daemons of one fleet.
pub struct Fleet {
    folder: Folder,
    network: [u8; 3],
    seeds: Vec<SocketAddr>,
    pub control: Vec<Daemon>,
    pub entries: Vec<Daemon>,
}

/// A daemon's process; killed when dropped.
pub struct Daemon {
    file: PathBuf,
    settings: String,
    pub address: std::net::IpAddr,
    child: Option<Child>,
}

/// Whether a process starts with the fleet or later.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Start {
    First,
    Later,
}

impl Fleet {
    /// Settings of a fleet of which nothing runs yet; the first three control instances are the seeds.
    pub fn new(name: &str) -> Fleet {
        let process = std::process::id();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let network = [127, 1 + u8::try_from(process % 200).unwrap_or(1), number + 1];
        let mut fleet = Fleet {
            folder: Folder::new(name),
            network,
            seeds: Vec::new(),
            control: Vec::new(),
            entries: Vec::new(),
        };
        fleet.seeds = (1..=3).map(|host| SocketAddr::new(fleet.host(host), CONTROL_PORT)).collect();
        fleet
    }

    /// Three control instances and one that serves callers.
    pub fn start(name: &str) -> Fleet {
        let mut fleet = Fleet::new(name);
        for _ in 0..3 {
            fleet.add_control(Start::First);
        }
        fleet.add_entry();
        fleet
    }

    pub fn add_control(&mut self, start: Start) -> usize {
        let number = self.control.len() + 1;
        let host = self.host(u8::try_from(number).unwrap());
        let settings = format!(
            "\"control\": \"{host}:{CONTROL_PORT}\", \"data_folder\": \"{}\", \"founding\": {},",
            self.data_folder(number).display(),
            start == Start::First
        );
        let daemon = self.daemon(&format!("control-{number}"), host, &settings);
        self.control.push(daemon);
        number - 1
    }

    pub fn add_entry(&mut self) -> usize {
        let number = self.entries.len() + 101;
        let host = self.host(u8::try_from(number).unwrap());
        let settings = format!(
            "\"callers\": \"{host}:{CALLERS_PORT}\", \"readiness\": \"{host}:{READINESS_PORT}\","
        );
        let daemon = self.daemon(&format!("entry-{number}"), host, &settings);
        self.entries.push(daemon);
        self.entries.len() - 1
    }

    /// Empties the disk of a control instance that doesn't run; it won't found anything any more.
    pub fn wipe(&mut self, control: usize) {
        fs::remove_dir_all(self.data_folder(control + 1)).unwrap();
        let daemon = &mut self.control[control];
        daemon.settings = daemon.settings.replace("\"founding\": true", "\"founding\": false");
        fs::write(&daemon.file, &daemon.settings).unwrap();
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control.iter().map(Daemon::control).collect()
    }

    /// Accepts a configuration at any control instance.
    pub async fn declare(&self, version: u64) {
        let config = platform_standin::call::config(version);
        until("a configuration is accepted", async || {
            for control in self.control_addresses() {
                if platform_standin::call::declare(control, &config).await == Some(200) {
                    return true;
                }
            }
            false
        })
        .await;
    }

    /// Whether a control instance keeps a target on its disk.
    pub fn are_targets_kept(&self) -> bool {
        let file = |number| self.data_folder(number).join("targets");
        (1..=self.control.len())
            .any(|number| fs::read(file(number)).is_ok_and(|bytes| bytes.len() > 1))
    }

    pub async fn until_ready(&self) {
        for entry in &self.entries {
            let readiness = entry.readiness();
            until("an instance is ready", async || {
                platform_standin::call::is_ready(readiness).await
            })
            .await;
        }
    }

    fn host(&self, host: u8) -> std::net::IpAddr {
        let [a, b, c] = self.network;
        std::net::IpAddr::from([a, b, c, host])
    }

    fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data-{number}"))
    }

    fn daemon(&self, name: &str, host: std::net::IpAddr, settings: &str) -> Daemon {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "{{ \"name\": \"{name}\", \"data_centre\": \"suva\", {settings}\n  \
             \"peers_listen\": \"{host}:{PEERS_PORT}\", \"seeds\": [{}], \"announcement_ms\": 200,\n  \
             \"engines\": {{ \"turn_ms\": 200, \"prompt_share\": 0.7 }}, \"stop_s\": 8 }}",
            seeds.join(", ")
        );
        let file = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&file, &settings).unwrap();
        let mut daemon = Daemon { file, settings, address: host, child: None };
        daemon.start();
        daemon
    }
}

impl Daemon {
    pub fn start(&mut self) {
        let log = fs::File::create(self.file.with_extension("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_daisydrum"))
            .args(["join", "--settings"])
            .arg(&self.file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().unwrap().id();
        rustix::process::kill_process(Pid::from_raw(i32::try_from(id).unwrap()).unwrap(), signal)
            .unwrap();
    }

    /// Waits until the process has ended; its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if let Some(status) = self.child.as_mut().unwrap().try_wait().unwrap() {
                self.child = None;
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the process did not end");
    }

    pub fn settings_file(&self) -> &Path {
        &self.file
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_extension("log")).unwrap()
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.address, CONTROL_PORT)
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.address, READINESS_PORT)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("waited too long until {what}");
}
