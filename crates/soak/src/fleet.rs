//! Daemons on separate loopback addresses, which all use the same ports.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal};
use standin::{harness::folder::Folder, proxy::Proxy};

use crate::network;

/// Where instances are if nothing else is said.
const DATA_CENTRE: &str = "suva";
const CONTROL_PORT: u16 = 8_144;
const CALLERS_PORT: u16 = 8_149;
const READINESS_PORT: u16 = 8_141;
const PEERS_PORT: u16 = 7_380;
/// Added to the third octet of an instance's address to get the address of its proxy.
const PROXY_OFFSET: u8 = 2 * network::FLEETS;
/// Added to the third octet for each 256 instances of a fleet.
const LARGE_OFFSET: u8 = network::FLEETS;
/// Longest wait for a condition; long enough for a machine under load.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// How the instances of a fleet connect to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// At their own addresses.
    Direct,
    /// Through a proxy in front of each.
    Proxied,
}

/// Daemons of one fleet.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    links: Links,
    folder: Folder,
    network: [u8; 3],
    seeds: Vec<SocketAddr>,
    /// Instances that keep state; the first three are the seeds.
    pub control: Vec<Daemon>,
    /// Instances that serve callers.
    pub entries: Vec<Daemon>,
    /// Retries that instances may make besides those that their requests allow, unless that is the default.
    retry_slack: Option<f64>,
    /// Further settings of instances added later, as members of a JSON object.
    further_settings: String,
}

/// A daemon's process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    binary: PathBuf,
    file: PathBuf,
    settings: String,
    address: IpAddr,
    /// Number of starts so far; each has its own log.
    starts: u32,
    child: Option<Child>,
}

/// Whether a process starts with the fleet or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// With the fleet, when all disks are empty.
    First,
    /// Later.
    Later,
}

impl Fleet {
    /// Prepares a fleet without running processes; the first three control instances will be the seeds.
    pub fn new(binary: &Path, name: &str, links: Links) -> Fleet {
        let mut fleet = Fleet {
            binary: binary.to_path_buf(),
            links,
            folder: Folder::new(name),
            network: network::take(),
            seeds: Vec::new(),
            control: Vec::new(),
            entries: Vec::new(),
            retry_slack: None,
            further_settings: String::new(),
        };
        let seeds = (1..=3).map(|number| fleet.peers_host(fleet.host(number)));
        fleet.seeds = seeds.map(|host| SocketAddr::new(host, CONTROL_PORT)).collect();
        fleet
    }

    /// Sets the retries that instances added later may make besides those that their requests allow.
    pub fn set_retry_slack(&mut self, retries: f64) {
        self.retry_slack = Some(retries);
    }

    /// Sets further settings of instances added later, as members of a JSON object.
    pub fn set_further_settings(&mut self, members: &str) {
        self.further_settings = format!(", {members}");
    }

    /// Starts three control instances and one that serves callers.
    pub fn start(binary: &Path, name: &str) -> Fleet {
        let mut fleet = Fleet::new(binary, name, Links::Direct);
        for _ in 0..3 {
            fleet.add_control(Start::First);
        }
        fleet.add_entry();
        fleet
    }

    /// Starts the proxies in front of the control instances and the entries, in this order.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when an address can't be listened on.
    pub async fn proxies(&self) -> io::Result<Vec<Proxy>> {
        let mut proxies = Vec::new();
        for daemon in self.control.iter().chain(&self.entries) {
            let listen = SocketAddr::new(self.peers_host(daemon.address), PEERS_PORT);
            let upstream = SocketAddr::new(daemon.address, PEERS_PORT);
            proxies.push(Proxy::start_on(listen, upstream).await?);
        }
        Ok(proxies)
    }

    /// Adds and starts a control instance; returns its index.
    pub fn add_control(&mut self, start: Start) -> usize {
        let number = self.control.len() + 1;
        let host = self.host(number);
        let settings = format!(
            "\"control\": \"{host}:{CONTROL_PORT}\", \"data_folder\": \"{}\", \"founding\": {},",
            self.data_folder(number).display(),
            start == Start::First
        );
        let daemon = self.daemon(&format!("control-{number}"), DATA_CENTRE, host, &settings);
        self.control.push(daemon);
        number - 1
    }

    /// Adds and starts an instance that serves callers; returns its index.
    pub fn add_entry(&mut self) -> usize {
        self.add_entry_in(DATA_CENTRE)
    }

    /// Adds and starts an instance in a data centre that serves callers; returns its index.
    pub fn add_entry_in(&mut self, data_centre: &str) -> usize {
        let number = self.entries.len() + 101;
        let host = self.host(number);
        let settings = format!(
            "\"callers\": \"{host}:{CALLERS_PORT}\", \"readiness\": \"{host}:{READINESS_PORT}\", \
             \"targets_source\": \"{host}\","
        );
        let daemon = self.daemon(&format!("entry-{number}"), data_centre, host, &settings);
        self.entries.push(daemon);
        self.entries.len() - 1
    }

    /// Deletes the data of a control instance that doesn't run; it will not found a log again.
    pub fn wipe(&mut self, control: usize) {
        fs::remove_dir_all(self.data_folder(control + 1)).unwrap();
        let daemon = &mut self.control[control];
        daemon.settings = daemon.settings.replace("\"founding\": true", "\"founding\": false");
        fs::write(&daemon.file, &daemon.settings).unwrap();
    }

    /// Where operators and targets connect, by control instance.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control.iter().map(Daemon::control).collect()
    }

    /// Declares the configuration of a version and waits until a control instance accepts it.
    pub async fn declare(&self, version: u64) {
        self.declare_config(&platform_standin::client::config(version)).await;
    }

    /// Declares a configuration and waits until a control instance accepts it.
    pub async fn declare_config(&self, config: &serde_json::Value) {
        until("a control instance accepts the configuration", async || {
            for control in self.control_addresses() {
                if platform_standin::client::declare_config(control, config).await == Some(200) {
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

    /// Waits until all instances that serve callers report that they are ready.
    pub async fn until_ready(&self) {
        for entry in &self.entries {
            let readiness = entry.readiness();
            until("an instance is ready", async || {
                platform_standin::client::is_ready(readiness).await
            })
            .await;
        }
    }

    fn host(&self, number: usize) -> IpAddr {
        let [a, b, c] = self.network;
        let (more, host) = (u8::try_from(number / 256).unwrap(), (number % 256) as u8);
        IpAddr::from([a, b, c + more * LARGE_OFFSET, host])
    }

    /// The address at which other instances reach a host.
    fn peers_host(&self, host: IpAddr) -> IpAddr {
        match (self.links, host) {
            (Links::Proxied, IpAddr::V4(host)) => {
                let [a, b, c, host] = host.octets();
                IpAddr::from([a, b, c + PROXY_OFFSET, host])
            }
            (Links::Direct, _) | (_, IpAddr::V6(_)) => host,
        }
    }

    fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data-{number}"))
    }

    fn daemon(&self, name: &str, data_centre: &str, host: IpAddr, settings: &str) -> Daemon {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let retries =
            self.retry_slack.map(|slack| format!(", \"retries\": {{ \"slack\": {slack} }}"));
        let retries = retries.unwrap_or_default();
        let further = &self.further_settings;
        let settings = format!(
            "{{ \"name\": \"{name}\", \"data_centre\": \"{data_centre}\", {settings}\n  \
             \"peers_listen\": \"{host}:{PEERS_PORT}\", \"peers_address\": \"{}:{PEERS_PORT}\", \"seeds\": [{}], \"announcement_ms\": 200,\n  \
             \"engines\": {{ \"turn_ms\": 200, \"prompt_share\": 0.7 }}, \"stop_s\": 8{retries}{further} }}",
            self.peers_host(host),
            seeds.join(", ")
        );
        let file = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&file, &settings).unwrap();
        let (name, binary) = (name.to_owned(), self.binary.clone());
        let mut daemon =
            Daemon { name, binary, file, settings, address: host, starts: 0, child: None };
        daemon.start();
        daemon
    }
}

impl Daemon {
    /// Sets the program of the next starts.
    pub fn set_binary(&mut self, binary: &Path) {
        self.binary = binary.to_path_buf();
    }

    /// Starts the process.
    pub fn start(&mut self) {
        self.starts += 1;
        let log = fs::File::create(self.log_file(self.starts)).unwrap();
        let child = Command::new(&self.binary)
            .args(["join", "--settings"])
            .arg(&self.file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Whether the process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_none()))
    }

    /// Id of the running process.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = self.process_id();
        rustix::process::kill_process(Pid::from_raw(i32::try_from(id).unwrap()).unwrap(), signal)
            .unwrap();
    }

    /// Waits until the process has exited; returns its exit code, `None` if a signal ended it.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        self.wait_for_exit_within(WAIT_LIMIT).await.expect("the process ends")
    }

    /// Waits until the process has exited; returns its exit code, or the outer `None` if it still runs after `limit`.
    pub async fn wait_for_exit_within(&mut self, limit: Duration) -> Option<Option<i32>> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.as_mut().unwrap().try_wait().unwrap() {
                self.child = None;
                return Some(status.code());
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The file of its settings.
    pub fn settings_file(&self) -> &Path {
        &self.file
    }

    /// What it has logged since its last start.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_file(self.starts)).unwrap()
    }

    /// Copies the logs of all its starts into a folder.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn copy_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        for start in 1..=self.starts {
            let name = format!("{}.{start}.log", self.name);
            fs::copy(self.log_file(start), folder.join(name))?;
        }
        Ok(())
    }

    fn log_file(&self, start: u32) -> PathBuf {
        self.file.with_extension(format!("{start}.log"))
    }

    /// Where operators and targets connect.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.address, CONTROL_PORT)
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS_PORT)
    }

    /// Where a load balancer asks whether it accepts callers.
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
///
/// # Panics
///
/// Panics with `what` when it doesn't hold in time.
pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while Instant::now() < deadline {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("condition did not hold within {WAIT_LIMIT:?}: {what}");
}
