//! A caller's request through a real daemon to a stand-in engine and back.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    thread,
    time::{Duration, Instant},
};

use common::{cancel, name};
use oxhttp::{
    Client,
    model::{Body, Request, Response},
};
use standin::{answer, engine};
use tokio::runtime::Runtime;
use wire::operator;

const PATIENCE: Duration = Duration::from_secs(60);
const PROMPT: &str = "write a checklist for a roof hatch";
const TOKENS: usize = 12;

/// A daemon that is killed when the test ends.
struct Daemon {
    process: Child,
    callers: SocketAddr,
    control: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }
}

#[test]
fn streams_an_answer_token_by_token() {
    let daemon = start_daemon("stream");
    let (_runtime, _engine) = start_engine(daemon.control);
    wait_for_targets(&daemon, 1);
    let mut response = complete(&daemon, true);
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "x-daisydrum-outcome"), "ran");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let text = read(&mut response);
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let whole: String = events[..events.len() - 1].iter().map(|event| token(event)).collect();
    answer::check(PROMPT, TOKENS, &whole).unwrap();
}

#[test]
fn refuses_truthfully_without_a_target() {
    let daemon = start_daemon("refuse");
    let response = complete(&daemon, true);
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "x-daisydrum-outcome"), "not-run");
    assert!(response.headers().contains_key("retry-after"));
}

#[test]
fn names_the_settings_fault_and_exits() {
    let folder = folder("fault");
    let file = folder.join("instance.jsonc");
    fs::write(&file, "{\n  \"name\": \"a\",\n  nonsense\n}").unwrap();
    let output = command(&file).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("instance.jsonc:"), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
}

fn start_daemon(name: &str) -> Daemon {
    let folder = folder(name);
    let tree = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let (callers, control, peers) = (free_address(), free_address(), free_address());
    let settings = serde_json::json!({
        "name": name, "data_centre": "suva", "callers": callers, "control": control,
        "peers_listen": peers, "tree": tree,
    });
    let file = folder.join("instance.jsonc");
    fs::write(&file, settings.to_string()).unwrap();
    let process = command(&file).spawn().unwrap();
    let daemon = Daemon { process, callers, control };
    wait_until(|| {
        Client::new()
            .request(get(control, operator::READY_PATH))
            .is_ok_and(|answer| answer.status() == 200)
    });
    daemon
}

fn command(settings: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_daisydrum"));
    command.args(["run", "--settings"]).arg(settings);
    command
}

fn start_engine(control: SocketAddr) -> (Runtime, engine::Engine) {
    let runtime = Runtime::new().unwrap();
    let mut options =
        engine::Options::new("vent-engine-1", "association", "vent-llm", vec![control]);
    options.models = vec![String::from("vent-7b")];
    options.data_centre = name::DataCentre::from("suva");
    let engine = runtime.block_on(engine::Engine::start(options, cancel::Token::new())).unwrap();
    (runtime, engine)
}

fn wait_for_targets(daemon: &Daemon, count: usize) {
    wait_until(|| {
        let Ok(response) = Client::new().request(get(daemon.control, operator::STATUS_PATH)) else {
            return false;
        };
        let text = response.into_body().to_string().unwrap_or_default();
        serde_json::from_str(&text)
            .is_ok_and(|status: operator::Status| status.targets.len() == count)
    });
}

fn complete(daemon: &Daemon, stream: bool) -> Response<Body> {
    let body = serde_json::json!({
        "model": "vent-7b", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream,
    });
    let request = Request::post(format!("http://{}/v1/completions", daemon.callers))
        .header("authorization", "Bearer vent-example-key")
        .body(Body::from(body.to_string()))
        .unwrap();
    Client::new().with_global_timeout(PATIENCE).request(request).unwrap()
}

fn token(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).unwrap();
    event["choices"][0]["text"].as_str().unwrap().to_owned()
}

fn read(response: &mut Response<Body>) -> String {
    let body = std::mem::take(response.body_mut());
    body.to_string().unwrap()
}

fn header(response: &Response<Body>, name: &str) -> String {
    response.headers().get(name).map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default()
}

fn get(address: SocketAddr, path: &str) -> Request<Body> {
    Request::get(format!("http://{address}{path}")).body(Body::empty()).unwrap()
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "the condition did not come about");
        thread::sleep(Duration::from_millis(20));
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stream-{name}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}
