//! Daemons and runners as separate processes on loopback addresses of their own.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, runner::unix_ms};

pub const HOST_NAME: &str = "vents.example";
const CONTROL_PORT: u16 = 8144;
const CALLERS_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const PEERS_PORT: u16 = 7380;

/// Time after which a script ends whatever it is doing.
const LONGEST: Duration = Duration::from_secs(110);

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the script itself, as one that couldn't run, once it takes too long.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        for id in RUNNING.lock().unwrap().iter() {
            signal(*id, "KILL");
        }
        eprintln!("the script took too long");
        std::process::exit(2);
    });
}

/// Sends a signal by its name.
pub fn signal(process: u32, name: &str) {
    let command = format!("kill -{name} {process}");
    let _ended = Command::new("sh").args(["-c", &command]).stderr(Stdio::null()).status();
}

/// A process that is killed when it is dropped.
pub struct Process(Option<Child>);

impl From<Child> for Process {
    fn from(child: Child) -> Process {
        RUNNING.lock().unwrap().push(child.id());
        Process(Some(child))
    }
}

impl Process {
    pub fn id(&self) -> Option<u32> {
        self.0.as_ref().map(Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ended = child.kill();
            let _status = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.0.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_none()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a runner is started with.
#[derive(Clone)]
pub struct RunnerOptions {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    pub stage: &'static str,
    /// Last byte of its address.
    pub host: u8,
    pub events: u64,
    pub event_ms: u64,
    pub work_ms: u64,
    pub slots: u64,
    /// Requests that wait for a slot.
    pub queue: u64,
    /// Time from its start to its first ping.
    pub late_ms: u64,
}

pub struct Fleet {
    pub folder: PathBuf,
    network: [u8; 3],
    pub controls: Vec<Process>,
    pub fronts: Vec<Process>,
    record: File,
}

impl Fleet {
    /// Prepares a fleet that has no processes yet, in a folder of its own.
    pub fn new(record: &Path) -> Fleet {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let record = File::create(record).unwrap();
        let network = free_network();
        Fleet { folder, network, controls: Vec::new(), fronts: Vec::new(), record }
    }

    pub fn note(&mut self, line: &str) {
        writeln!(self.record, "{} {line}", unix_ms()).unwrap();
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::from(([a, b, c, host], port))
    }

    pub fn control(&self, index: u8) -> SocketAddr {
        self.address(index + 1, CONTROL_PORT)
    }

    pub fn callers(&self, index: u8) -> SocketAddr {
        self.address(index + 101, CALLERS_PORT)
    }

    /// Starts three daemons of the core and `fronts` of the front, as at the first start of a deployment.
    pub fn start(&mut self, fronts: u8) {
        for index in 0..3 {
            let settings = format!(
                "\"control\": \"{}\", \"data_folder\": \"{}\",",
                self.control(index),
                self.folder.join(format!("disk-{index}")).display()
            );
            let host = index + 1;
            let process = self.daemon(&format!("core-suva-{host}"), host, &settings);
            self.controls.push(process);
        }
        for index in 0..fronts {
            let process = self.front(index);
            self.fronts.push(process);
        }
    }

    /// Starts a daemon of the front.
    pub fn front(&mut self, index: u8) -> Process {
        let host = index + 101;
        let settings = format!(
            "\"callers\": \"{}\", \"readiness\": \"{}\",",
            self.callers(index),
            self.address(host, READY_PORT)
        );
        self.daemon(&format!("front-suva-{}", index + 1), host, &settings)
    }

    /// Starts a daemon with the command of the deploy file and its template of settings.
    fn daemon(&mut self, name: &str, host: u8, settings: &str) -> Process {
        let seeds: Vec<String> =
            (0..3).map(|index| format!("\"{}\"", self.control(index))).collect();
        let text = format!(
            "{{\n  \"name\": \"{name}\", \"data_centre\": \"suva\", {settings}\n  \
             \"peers_listen\": \"{}\", \"seeds\": [{}], \"founding\": true, \"tolerated_losses\": 1,\n  \
             \"announcement_ms\": 1200, \"memory_mb\": 256,\n  \
             \"retries\": {{ \"window_s\": 10, \"ratio\": 0.2, \"slack\": 56 }},\n  \
             \"engines\": {{ \"turn_ms\": 3000 }},\n  \
             \"rules\": [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"split\", \"stream\", \"engine\"],\n  \
             \"log\": {{ \"level\": \"debug\" }}, \"stop_s\": 8\n}}\n",
            self.address(host, PEERS_PORT),
            seeds.join(", ")
        );
        let file = self.folder.join(format!("{name}.jsonc"));
        fs::write(&file, text).unwrap();
        let log = self.folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new("target/release/daisydrum")
            .arg("join")
            .env("DAISYDRUM_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.note(&format!("daemon {name} started"));
        Process(Some(child))
    }

    /// Starts a runner; what it runs goes to a file in the fleet's folder.
    pub fn runner(&mut self, options: &RunnerOptions) -> Process {
        let control: Vec<String> = (0..3).map(|index| self.control(index).to_string()).collect();
        let RunnerOptions { id, service, version, stage, host, .. } = options;
        let child = Command::new(std::env::current_exe().unwrap())
            .arg("runner")
            .arg(format!("id={id}"))
            .arg(format!("service={service}"))
            .arg(format!("version={version}"))
            .arg(format!("stage={stage}"))
            .arg("zone=suva")
            .arg(format!("address={}", self.address(*host, 8080)))
            .arg(format!("control={}", control.join(",")))
            .arg(format!("events={}", options.events))
            .arg(format!("event_ms={}", options.event_ms))
            .arg(format!("work_ms={}", options.work_ms))
            .arg(format!("slots={}", options.slots))
            .arg(format!("queue={}", options.queue))
            .arg(format!("late_ms={}", options.late_ms))
            .arg("beat_ms=1200")
            .arg(format!("record={}", self.runs_file().display()))
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.note(&format!(
            "runner {id} {version} started, its first ping comes after {} ms",
            options.late_ms
        ));
        Process(Some(child))
    }

    fn runs_file(&self) -> PathBuf {
        self.folder.join("runs")
    }

    /// The lines that the runners wrote.
    pub fn runs(&self) -> Vec<String> {
        let text = fs::read_to_string(self.runs_file()).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sends a config until a daemon acknowledges it.
    pub fn put_config(&mut self, config: &str) -> bool {
        let acknowledged = until(Duration::from_secs(20), || {
            (0..3).any(|index| {
                let limit = Duration::from_secs(1);
                let answer = http::call(self.control(index), "PUT", "/-/config", config, limit);
                answer.is_ok_and(|answer| answer.status() == 200)
            })
        });
        self.note(&format!("config acknowledged: {acknowledged}"));
        acknowledged
    }

    pub fn is_ready(&self, index: u8) -> bool {
        let address = self.address(index + 101, READY_PORT);
        let limit = Duration::from_secs(1);
        http::call(address, "GET", "/-/ready", "", limit).is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until a front knows a runner, which its log says.
    pub fn until_known(&self, front: &str, runner: &str) -> bool {
        until(Duration::from_secs(20), || self.log(front).contains(&format!("target={runner}")))
    }

    /// Ends all daemons and removes the folder; the runners' lines go to the record.
    pub fn end(mut self) {
        for line in self.runs() {
            writeln!(self.record, "{line}").unwrap();
        }
        self.controls.clear();
        self.fronts.clear();
        if std::env::var("KEEP").is_err() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A loopback network on which the ports of the daemons are free.
fn free_network() -> [u8; 3] {
    let start = std::process::id();
    for offset in 0..2_000 {
        let number = start.wrapping_add(offset) % 30_000;
        let network = [127, 80 + (number / 250) as u8, (number % 250) as u8];
        let [a, b, c] = network;
        let free = |host: u8, port: u16| {
            TcpListener::bind(SocketAddr::from(([a, b, c, host], port))).is_ok()
        };
        let controls = (1..4).all(|host| free(host, CONTROL_PORT) && free(host, PEERS_PORT));
        let fronts = (101..104).all(|host| {
            free(host, CALLERS_PORT) && free(host, READY_PORT) && free(host, PEERS_PORT)
        });
        if controls && fronts && (11..40).all(|host| free(host, 8080)) {
            return network;
        }
    }
    panic!("no loopback network is free");
}
