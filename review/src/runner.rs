//! A runner as a process of its own, and what it logged.

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
};

use crate::{fleet::send_signal, record::Record};

/// How a runner is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The address that it announces.
    pub announced: SocketAddr,
    /// Control addresses, that of its first call first.
    pub control: Vec<SocketAddr>,
    /// Events of a stream; 0 for a service whose responses have a single body.
    pub events: u64,
    /// Time from one event to the next, or the work for a response, in milliseconds.
    pub work_ms: u64,
    /// Time from its start to its first ping, in milliseconds.
    pub first_ping_ms: u64,
    /// A request with this body crashes it when it begins to run it; empty for none.
    pub poison: String,
    /// `prefill` or `decode` for an engine; empty for other runners.
    pub stage: String,
}

/// A runner; its process is killed when this is dropped.
pub struct Runner {
    /// How it was started.
    pub options: Options,
    log: PathBuf,
    child: Option<Child>,
    input: Option<ChildStdin>,
    record: Record,
}

/// A line of a runner's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Milliseconds since the Unix epoch.
    pub at: u64,
    /// What happened.
    pub what: String,
    /// The request, if any.
    pub id: String,
    /// The rest.
    pub rest: String,
}

impl Drop for Runner {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }
}

impl Runner {
    /// Starts the process. All runners with one log file append to it.
    pub fn start(options: Options, log: &Path, record: &Record) -> Runner {
        let control: Vec<String> = options.control.iter().map(SocketAddr::to_string).collect();
        let program =
            std::env::current_exe().expect("the program has a path").with_file_name("runner");
        let child = Command::new(program)
            .args([&options.id, &options.service, &options.version])
            .args([options.listen.to_string(), options.announced.to_string(), control.join(",")])
            .args(
                [options.events, options.work_ms, options.first_ping_ms]
                    .map(|number| number.to_string()),
            )
            .arg(&options.poison)
            .arg(log)
            .arg(&options.stage)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn();
        let Ok(mut child) = child else {
            eprintln!("the runner doesn't start: run review/build.sh");
            std::process::exit(2);
        };
        record.line(format!("start of runner {} version {}", options.id, options.version));
        let input = child.stdin.take();
        Runner {
            options,
            log: log.to_path_buf(),
            child: Some(child),
            input,
            record: record.clone(),
        }
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.record.line(format!("SIGKILL to runner {}", self.options.id));
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("SIG{signal} to runner {}", self.options.id));
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Has it leave without reporting `draining` before: it sends DELETE, serves on and sends no more pings.
    pub fn leave(&mut self) {
        if let Some(input) = &mut self.input {
            let _sent = input.write_all(b"leave\n");
        }
    }

    /// What all runners with the same log file logged.
    pub fn log(&self) -> Vec<Line> {
        read_log(&self.log)
    }

    /// Copies that into the record.
    pub fn record_log(&self) {
        for line in self.log() {
            self.record
                .line_at(line.at, format!("runner: {} {} {}", line.what, line.id, line.rest));
        }
    }
}

/// The control addresses, beginning with another one for each runner.
pub fn rotated(mut control: Vec<SocketAddr>, number: u8) -> Vec<SocketAddr> {
    let by = usize::from(number) % control.len();
    control.rotate_left(by);
    control
}

/// Reads a log of runners.
pub fn read_log(path: &Path) -> Vec<Line> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = |line: &str| {
        let mut fields = line.splitn(4, ' ').map(str::to_owned);
        Some(Line {
            at: fields.next()?.parse().ok()?,
            what: fields.next()?,
            id: fields.next().unwrap_or_default(),
            rest: fields.next().unwrap_or_default(),
        })
    };
    text.lines().filter_map(line).collect()
}
