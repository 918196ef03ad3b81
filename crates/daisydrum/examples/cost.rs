//! Measures what the daemon adds to a request: time to first token, CPU time, memory of open streams.
//!
//! Run it from the root of the repository:
//! `cargo build --release -p daisydrum && cargo run --release -p daisydrum --example cost`.

use std::{
    error::Error,
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{cancel, name};
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Incoming};
use standin::{engine, http};
use tokio::{task::JoinSet, time};
use wire::operator;

const KEY: &str = "Bearer vent-example-key";
const SHORT_PROMPT: &str = "hello";
const TIMEOUT: Duration = Duration::from_secs(30);
const PROMPTS: [Prompt; 2] =
    [Prompt { tokens: 2, pairs: 300 }, Prompt { tokens: 1_000, pairs: 100 }];
const REQUEST_COUNT: usize = 20_000;
const CALLERS: usize = 64;
const STREAM_COUNTS: [usize; 3] = [500, 1_000, 2_000];
const SLOTS: u32 = 4_096;
/// Ticks per second (`USER_HZ` on Linux) in which `/proc/PID/stat` counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
const KB: usize = 1_024;

/// A prompt for which the time to first token is measured.
struct Prompt {
    tokens: usize,
    /// Number of requests sent directly to the engine; as many are sent by way of the daemon.
    pairs: usize,
}

type Fallible<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// A daemon that is killed when the measurement ends.
struct Daemon {
    process: Child,
    callers: SocketAddr,
    control: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let killed = self.process.kill().and_then(|()| self.process.wait());
        if let Err(error) = killed {
            eprintln!("the daemon could not be killed: {error}");
        }
    }
}

#[tokio::main]
async fn main() -> Fallible<()> {
    let daemon = Daemon::start()?;
    let token = cancel::Token::new();
    let engine = start_engine(daemon.control, Duration::from_millis(20), &token).await?;
    daemon.wait_for_target().await?;
    for prompt in &PROMPTS {
        measure_first_token(&daemon, &engine, prompt).await?;
    }
    measure_streams(&daemon).await?;
    token.cancel();
    drop(daemon);

    let daemon = Daemon::start()?;
    let token = cancel::Token::new();
    start_engine(daemon.control, Duration::ZERO, &token).await?;
    daemon.wait_for_target().await?;
    measure_requests(&daemon).await?;
    token.cancel();
    Ok(())
}

#[allow(clippy::print_stdout, reason = "prints its result")]
async fn measure_first_token(
    daemon: &Daemon,
    engine: &engine::Engine,
    prompt: &Prompt,
) -> Fallible<()> {
    let text = "word".repeat(prompt.tokens);
    let (mut direct, mut proxied) = (Vec::new(), Vec::new());
    for _ in 0..prompt.pairs {
        direct.push(first_token(engine.address(), &text).await?);
        proxied.push(first_token(daemon.callers, &text).await?);
    }
    for (name, percent) in [("p50", 50), ("p95", 95)] {
        let (direct_time, proxied_time) =
            (percentile(&mut direct, percent), percentile(&mut proxied, percent));
        let ratio = proxied_time.as_secs_f64() / direct_time.as_secs_f64();
        println!(
            "first token, prompt of {} tokens, {name}: engine alone {direct_time:.2?}, with the daemon {proxied_time:.2?}, ratio {ratio:.3}",
            prompt.tokens
        );
    }
    Ok(())
}

#[allow(clippy::print_stdout, reason = "prints its result")]
async fn measure_streams(daemon: &Daemon) -> Fallible<()> {
    let before = daemon.resident_kb()?;
    let mut open = Vec::new();
    for count in STREAM_COUNTS {
        while open.len() < count {
            let response =
                http::open(daemon.callers, completion(SHORT_PROMPT, true, 100_000)?).await?;
            open.push(tokio::spawn(response.into_body().collect()));
        }
        time::sleep(Duration::from_secs(2)).await;
        let growth_kb = daemon.resident_kb()?.saturating_sub(before);
        println!(
            "open streams {count}: resident memory grew by {growth_kb} KB, {:.1} KB a stream",
            growth_kb as f64 / count as f64
        );
    }
    for stream in open {
        stream.abort();
    }
    Ok(())
}

#[allow(clippy::print_stdout, reason = "prints its result")]
async fn measure_requests(daemon: &Daemon) -> Fallible<()> {
    let (cpu_s, start) = (daemon.cpu_time_s()?, Instant::now());
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let address = daemon.callers;
        callers.spawn(async move {
            for _ in 0..REQUEST_COUNT / CALLERS {
                let response =
                    http::call(address, completion(SHORT_PROMPT, false, 1)?, TIMEOUT).await?;
                if !response.status.is_success() {
                    return Err(io::Error::other(format!("status {}", response.status)).into());
                }
            }
            Fallible::Ok(())
        });
    }
    for result in callers.join_all().await {
        result?;
    }
    let count = REQUEST_COUNT / CALLERS * CALLERS;
    let (cpu_s, wall_s) = (daemon.cpu_time_s()? - cpu_s, start.elapsed().as_secs_f64());
    println!(
        "requests: {count} in {wall_s:.1} s, {cpu_s:.1} s of CPU time, {:.0} a second for each core",
        count as f64 / cpu_s
    );
    Ok(())
}

async fn first_token(address: SocketAddr, prompt: &str) -> Fallible<Duration> {
    let start = Instant::now();
    let mut body = http::open(address, completion(prompt, true, 1)?).await?.into_body();
    wait_for_data(&mut body).await?;
    let first = start.elapsed();
    body.collect().await?;
    Ok(first)
}

async fn wait_for_data(body: &mut Incoming) -> Fallible<()> {
    while let Some(frame) = body.frame().await {
        if frame?.is_data() {
            return Ok(());
        }
    }
    Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
}

fn completion(prompt: &str, stream: bool, max_tokens: u32) -> Fallible<Request<Full<Bytes>>> {
    let body = serde_json::json!({
        "model": "vent-7b", "prompt": prompt, "stream": stream, "max_tokens": max_tokens,
    });
    let mut request = http::post("/v1/completions", &body)?;
    request
        .headers_mut()
        .insert(hyper::header::AUTHORIZATION, hyper::header::HeaderValue::from_static(KEY));
    Ok(request)
}

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort();
    times[(times.len() * percent / 100).min(times.len() - 1)]
}

async fn start_engine(
    control: SocketAddr,
    step: Duration,
    token: &cancel::Token,
) -> Fallible<engine::Engine> {
    let mut options =
        engine::Options::new("vent-engine-1", "association", "vent-llm", vec![control]);
    options.models = vec![String::from("vent-7b")];
    options.data_centre = name::DataCentre::from("suva");
    options.slots = SLOTS;
    options.max_waiting = SLOTS;
    options.speed.step = step;
    options.speed.step_stream = Duration::ZERO;
    Ok(engine::Engine::start(options, token.clone()).await?)
}

impl Daemon {
    fn start() -> Fallible<Daemon> {
        let binary = binary()?;
        let (callers, control, peers) = (free_address()?, free_address()?, free_address()?);
        let settings = serde_json::json!({
            "name": "cost", "data_centre": "suva", "callers": callers, "control": control,
            "peers_listen": peers, "tree": fs::canonicalize("examples/venture")?,
            "log": { "level": "warning" },
        });
        let file = binary.with_file_name("cost.jsonc");
        fs::write(&file, settings.to_string())?;
        let process = Command::new(&binary)
            .args(["run", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Daemon { process, callers, control })
    }

    async fn wait_for_target(&self) -> Fallible<()> {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            let response =
                http::call(self.control, http::get(operator::STATUS_PATH)?, TIMEOUT).await;
            let status =
                response.ok().and_then(|response| response.json::<operator::Status>().ok());
            if status.is_some_and(|status| !status.targets.is_empty()) {
                return Ok(());
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other("no target announced itself to the daemon in time").into())
    }

    /// CPU time that the daemon has used since its start, in seconds.
    fn cpu_time_s(&self) -> Fallible<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id()))?;
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let user: f64 = fields.get(11).copied().unwrap_or_default().parse()?;
        let system: f64 = fields.get(12).copied().unwrap_or_default().parse()?;
        Ok((user + system) / TICKS_PER_SECOND)
    }

    /// Resident memory of the daemon, in kilobytes.
    fn resident_kb(&self) -> Fallible<usize> {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.process.id()))?;
        let pages: usize = statm.split_whitespace().nth(1).unwrap_or_default().parse()?;
        Ok(pages * rustix::param::page_size() / KB)
    }
}

/// Path of the daemon's binary, one folder above that of the examples.
fn binary() -> Fallible<PathBuf> {
    let examples = std::env::current_exe()?;
    let folder = examples
        .parent()
        .and_then(|folder| folder.parent())
        .ok_or("the path of this example has no folder above its own")?;
    let binary = folder.join("daisydrum");
    if !binary.exists() {
        return Err("the daemon's binary does not exist; build it first: cargo build --release -p daisydrum".into());
    }
    Ok(binary)
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
