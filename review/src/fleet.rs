//! Daemons, each a process of `target/release/daisydrum join` with the settings that `deploy/instance.jsonc` yields.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{http, record::Record, until};

/// Loopback addresses and ports of a case, which are free when it begins.
#[derive(Clone, Debug)]
pub struct Net {
    network: [u8; 3],
    port: u16,
}

impl Net {
    /// Finds ports that are free at all addresses of the case.
    pub fn find() -> Net {
        let process = std::process::id();
        let network = [127, 20 + (process % 200) as u8, 1 + (process / 200 % 250) as u8];
        for round in 0..200_u16 {
            let net =
                Net { network, port: 21_000 + ((process as u16 % 97) * 16 + round * 16) % 10_000 };
            let free =
                |host: u8| (0..4).all(|offset| TcpListener::bind(net.at(host, offset)).is_ok());
            if (1..=80).all(free) {
                return net;
            }
        }
        eprintln!("no free ports were found");
        std::process::exit(2);
    }

    /// A host of the case.
    pub fn host(&self, number: u8) -> IpAddr {
        let [a, b, c] = self.network;
        IpAddr::from([a, b, c, number])
    }

    fn at(&self, number: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(self.host(number), self.port + offset)
    }

    /// The `control` address of a host.
    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(number, 0)
    }

    /// The `front` address of a host.
    pub fn callers(&self, number: u8) -> SocketAddr {
        self.at(number, 1)
    }

    /// The `ready` address of a host.
    pub fn readiness(&self, number: u8) -> SocketAddr {
        self.at(number, 2)
    }

    /// The address of a runner, or of a proxy, on a host.
    pub fn server(&self, number: u8) -> SocketAddr {
        self.at(number, 3)
    }

    fn peers(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.host(number), self.port + 8)
    }
}

/// A daemon; its process is killed when this is dropped.
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// The number of its host.
    pub host: u8,
    net: Net,
    file: PathBuf,
    starts: u32,
    child: Option<Child>,
    record: Record,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }
}

impl Daemon {
    /// Starts the process.
    pub fn start(&mut self) {
        self.starts += 1;
        let log = |end: &str| {
            File::create(self.file.with_extension(format!("{}.{end}", self.starts)))
                .expect("a log can be written")
        };
        let child = Command::new(root().join("target/release/daisydrum"))
            .arg("join")
            .env_clear()
            .env("DAISYDRUM_CONFIG", &self.file)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("log"))
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("the daemon doesn't start: {error}");
                std::process::exit(2);
            }
        }
        self.record.line(format!("start of {}", self.name));
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.record.line(format!("SIGKILL to {}", self.name));
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("SIG{signal} to {}", self.name));
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.net.callers(self.host)
    }

    /// Whether it says that it is ready, or as a control instance that it accepts connections.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        http::request(
            self.net.readiness(self.host),
            "GET",
            "/-/ready",
            &[("Host", "ready")],
            "",
            limit,
        )
        .status
            == 200
    }
}

/// Sends a signal to a process that the case started.
pub fn send_signal(process: u32, signal: &str) {
    let _status = Command::new("sh").arg("-c").arg(format!("kill -{signal} {process}")).status();
}

/// The root of the repository: two folders above a case's.
pub fn root() -> PathBuf {
    let program = std::env::current_exe().expect("the program has a path");
    // review/target/release/PROGRAM
    program.ancestors().nth(4).expect("the program lies in review/target/release").to_path_buf()
}

/// The daemons of a case.
pub struct Fleet {
    /// Those on `core` machines; all of them are seeds.
    pub control: Vec<Daemon>,
    /// Those on `front` machines.
    pub entries: Vec<Daemon>,
    net: Net,
    folder: PathBuf,
    record: Record,
}

/// Numbers of the hosts of `front` machines begin here.
const FIRST_ENTRY: u8 = 11;

impl Fleet {
    /// Starts three control instances and some entry instances.
    pub fn start(net: &Net, folder: &Path, record: &Record, entries: u8) -> Fleet {
        let mut fleet = Fleet {
            control: Vec::new(),
            entries: Vec::new(),
            net: net.clone(),
            folder: folder.to_path_buf(),
            record: record.clone(),
        };
        for number in 1..=3 {
            let data = folder.join(format!("data-{number}"));
            fs::create_dir_all(&data).expect("a folder can be made");
            let keys = format!(
                "\"control\": \"{}\", \"data_folder\": \"{}\",",
                net.control(number),
                data.display()
            );
            let daemon = fleet.daemon(&format!("core-{number}"), number, &keys, true);
            fleet.control.push(daemon);
        }
        for _ in 0..entries {
            fleet.add_entry(true);
        }
        fleet
    }

    /// Adds and starts an entry instance.
    pub fn add_entry(&mut self, first: bool) {
        let number = FIRST_ENTRY + self.entries.len() as u8;
        let keys = format!(
            "\"callers\": \"{}\", \"readiness\": \"{}\", \"targets_source\": \"{}\",",
            self.net.callers(number),
            self.net.readiness(number),
            self.net.host(number)
        );
        let daemon =
            self.daemon(&format!("front-{}", number - FIRST_ENTRY + 1), number, &keys, first);
        self.entries.push(daemon);
    }

    fn daemon(&self, name: &str, host: u8, keys: &str, first: bool) -> Daemon {
        let file = self.folder.join(format!("{name}.jsonc"));
        let mut daemon = Daemon {
            name: name.to_owned(),
            host,
            net: self.net.clone(),
            file,
            starts: 0,
            child: None,
            record: self.record.clone(),
        };
        self.write_settings(&daemon, keys, first);
        daemon.start();
        daemon
    }

    fn write_settings(&self, daemon: &Daemon, keys: &str, first: bool) {
        let seeds: Vec<String> =
            (1..=3).map(|number| format!("\"{}\"", self.net.control(number))).collect();
        let text = format!(
            "{{ \"name\": \"{}\", \"data_centre\": \"suva\", {keys}\n  \"peers_listen\": \"{}\", \"seeds\": [{}],\n  \
             \"founding\": {first}, \"tolerated_losses\": 1, \"announcement_ms\": 1200,\n  \
             \"retries\": {{ \"window_s\": 10, \"ratio\": 0.2, \"slack\": 56 }},\n  \
             \"engines\": {{ \"turn_ms\": 3000 }}, \"log\": {{ \"level\": \"debug\" }}, \"stop_s\": 8 }}\n",
            daemon.name,
            self.net.peers(daemon.host),
            seeds.join(", ")
        );
        fs::write(&daemon.file, text).expect("settings can be written");
    }

    /// From now on the settings say that it isn't the first start of the system.
    pub fn end_bootstrap(&self) {
        for daemon in self.control.iter().chain(&self.entries) {
            let text = fs::read_to_string(&daemon.file).expect("settings can be read");
            let text = text.replace("\"founding\": true", "\"founding\": false");
            fs::write(&daemon.file, text).expect("settings can be written");
        }
    }

    /// Control addresses.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control.iter().map(|daemon| self.net.control(daemon.host)).collect()
    }

    /// Sends a configuration until it is acknowledged; ends the case if it isn't.
    pub fn declare(&self, config: &str) {
        let sent = until(Duration::from_secs(30), || {
            self.control_addresses().into_iter().any(|address| {
                let headers = [("Host", "control"), ("Content-Type", "application/json")];
                http::request(address, "PUT", "/-/config", &headers, config, Duration::from_secs(1))
                    .status
                    == 200
            })
        });
        self.require(sent, "the configuration is acknowledged");
    }

    /// Waits until all entry instances are ready; ends the case if they aren't.
    pub fn until_ready(&self) {
        let ready = until(Duration::from_secs(30), || self.entries.iter().all(Daemon::is_ready));
        self.require(ready, "all entry instances are ready");
    }

    /// Ends the case as one that couldn't run unless a condition holds.
    pub fn require(&self, holds: bool, what: &str) {
        self.record.line(format!("{}: {what}", if holds { "yes" } else { "NO" }));
        if !holds {
            panic!("the case can't run: {what}");
        }
    }
}
