//! Measures how a daemon's CPU time and memory grow with the number of targets and the rate of streamed tokens.
//!
//! Run it from the root of the repository:
//! `cargo build --release -p daisydrum && cargo run --release -p daisydrum --example capacity`.

use std::{
    error::Error,
    fs,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use common::cancel;
use load::{
    run,
    scenario::{Range, Rate, Scenario, Shape, Stream},
};
use standin::{
    engine,
    harness::{daemon, folder::Folder, tree},
};
use tokio::time;

const TARGETS: [usize; 3] = [20, 100, 280];
/// Requests a second.
const RATES: [f64; 3] = [10.0, 20.0, 40.0];
const OUTPUT_TOKENS: u32 = 100;
/// Length of each measurement.
const MEASUREMENT: Duration = Duration::from_secs(10);
/// Time between the arrival of all targets and the first measurement.
const WARM_UP: Duration = Duration::from_secs(3);
/// Ticks per second (`USER_HZ` on Linux) in which `/proc/PID/stat` counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
const BINARY: &str = "target/release/daisydrum";

type Fallible<T> = Result<T, Box<dyn Error + Send + Sync>>;

#[tokio::main]
#[allow(clippy::print_stdout, reason = "prints what it measured")]
async fn main() -> Fallible<()> {
    println!("targets  processor % of a core  memory MB");
    for target_count in TARGETS {
        let setup = Setup::start(target_count).await?;
        let usage = setup.usage(async { time::sleep(MEASUREMENT).await }).await?;
        println!("{target_count:>7}  {:>21.2}  {:>9.1}", usage.core_percent(), setup.memory_mb()?);
    }
    println!("tokens a second  processor % of a core  microseconds a token");
    for per_s in RATES {
        let setup = Setup::start(1).await?;
        let before = setup.engines[0].totals().output_tokens;
        let load = run::run(scenario(setup.daemon.callers(), per_s));
        let usage = setup.usage(async { drop(load.await) }).await?;
        let tokens = setup.engines[0].totals().output_tokens - before;
        #[allow(clippy::cast_precision_loss, reason = "a run's tokens fit a double exactly")]
        let tokens = tokens as f64;
        let token_us = usage.cpu_time.as_secs_f64() * 1e6 / tokens;
        let rate = tokens / usage.wall_time.as_secs_f64();
        println!("{rate:>15.0}  {:>21.2}  {token_us:>20.1}", usage.core_percent());
    }
    Ok(())
}

/// A daemon in a process of its own, with engines in this process.
struct Setup {
    daemon: daemon::Daemon,
    engines: Vec<engine::Engine>,
    token: cancel::Token,
    _folder: Folder,
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// CPU time that the daemon used during an interval of wall-clock time.
struct Usage {
    cpu_time: Duration,
    wall_time: Duration,
}

impl Usage {
    fn core_percent(&self) -> f64 {
        self.cpu_time.as_secs_f64() * 100.0 / self.wall_time.as_secs_f64()
    }
}

impl Setup {
    async fn start(engines: usize) -> Fallible<Setup> {
        let folder = Folder::new("capacity");
        let root = tree::write(folder.path(), &["suva"]);
        let settings = daemon::settings("suva-1", "suva", &root);
        let daemon = daemon::Daemon::start(Path::new(BINARY), folder.path(), settings);
        daemon.until_ready().await;
        let token = cancel::Token::new();
        let mut running = Vec::new();
        for number in 0..engines {
            let options = options(number, daemon.control());
            running.push(engine::Engine::start(options, token.child_token()).await?);
        }
        daemon.until_targets(engines).await;
        time::sleep(WARM_UP).await;
        Ok(Setup { daemon, engines: running, token, _folder: folder })
    }

    async fn usage(&self, work: impl Future<Output = ()>) -> Fallible<Usage> {
        let (start, before) = (Instant::now(), self.cpu_time()?);
        work.await;
        Ok(Usage { cpu_time: self.cpu_time()? - before, wall_time: start.elapsed() })
    }

    fn cpu_time(&self) -> Fallible<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.daemon.id()))?;
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        // User and system time are fields 14 and 15, counted from one; the split at `)` removes the first two.
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
    }

    fn memory_mb(&self) -> Fallible<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.daemon.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse()?;
        Ok(kilobytes / 1_024.0)
    }
}

fn options(number: usize, control: SocketAddr) -> engine::Options {
    let partner = tree::ASSOCIATION;
    let name = format!("engine-{number}");
    let mut options =
        engine::Options::new(&name, partner.name, partner.model_service, vec![control]);
    options.models = vec![String::from(partner.model)];
    options.data_centre = common::name::DataCentre::from("suva");
    options.slots = 1_024;
    options.speed.step_stream = Duration::ZERO;
    options
}

fn scenario(callers: SocketAddr, per_s: f64) -> Scenario {
    let stream = Stream {
        name: String::from("tokens"),
        key: String::from(tree::ASSOCIATION.model_key),
        shape: Shape::Completion {
            model: String::from(tree::ASSOCIATION.model),
            prompt_tokens: Range { from: 10, to: 20 },
            output_tokens: Range { from: OUTPUT_TOKENS, to: OUTPUT_TOKENS },
            prefixes: 0,
            prefix_tokens: 0,
        },
        rates: vec![Rate { at_s: 0.0, per_s }],
        deadline_ms: 30_000,
        first_token_ms: 820,
        token_gap_ms: 43,
    };
    Scenario {
        seed: 1,
        duration_s: MEASUREMENT.as_secs_f64(),
        max_requests: 10_000,
        callers: vec![callers],
        control: Vec::new(),
        plain: Vec::new(),
        resends: 0,
        streams: vec![stream],
    }
}
