//! A caller's request through a real daemon to a stand-in engine and back, and errors at the daemon's start.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use common::{cancel, name};
use http_body_util::BodyExt;

use hyper::{Response, body::Incoming};
use settings::instance;
use standin::{
    engine,
    harness::{
        daemon::{self, Daemon},
        folder::Folder,
    },
    http, output,
};

const PROMPT: &str = "write a checklist for a roof hatch";
const TOKENS: usize = 12;
const TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn streams_a_completion_token_by_token() {
    let folder = Folder::new("stream");
    let daemon = start(&folder).await;
    let mut options =
        engine::Options::new("vent-engine-1", "association", "vent-llm", vec![daemon.control()]);
    options.models = vec![String::from("vent-7b")];
    options.data_centre = name::DataCentre::from("suva");
    let _engine = engine::Engine::start(options, cancel::Token::new()).await.unwrap();
    daemon.until_targets(1).await;
    let response = complete(&daemon).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "x-daisydrum-outcome"), "ran");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let body =
        tokio::time::timeout(TIMEOUT, response.into_body().collect()).await.unwrap().unwrap();
    let text = String::from_utf8(body.to_bytes().to_vec()).unwrap();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let generated: String = events[..events.len() - 1].iter().map(|event| token(event)).collect();
    output::check(PROMPT, TOKENS, &generated).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_request_as_not_run_without_a_target() {
    let folder = Folder::new("refuse");
    let daemon = start(&folder).await;
    let response = complete(&daemon).await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "x-daisydrum-outcome"), "not-run");
    assert!(response.headers().contains_key("retry-after"));
}

#[test]
fn names_the_file_of_invalid_settings_in_one_line_and_exits() {
    let folder = Folder::new("fault");
    let file = folder.path().join("instance.jsonc");
    fs::write(&file, "{\n  \"name\": \"a\",\n  nonsense\n}").unwrap();
    let text = startup_error(&file);
    assert!(text.contains("instance.jsonc:"), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn names_the_port_in_use_and_exits() {
    let folder = Folder::new("port");
    let daemon = start(&folder).await;
    let other = Folder::new("port-other");
    let file = write_settings(&other, |settings| settings.callers = daemon.callers());
    let text = startup_error(&file);
    assert!(text.contains(&format!("can't listen on {} for callers", daemon.callers())), "{text}");
    assert!(!text.contains("panicked"), "{text}");
}

#[test]
fn names_a_data_folder_that_cannot_be_created_and_exits() {
    let folder = Folder::new("data-folder");
    let blocked = folder.path().join("taken");
    fs::write(&blocked, "a file").unwrap();
    let file = write_settings(&folder, |settings| {
        settings.tree = None;
        settings.data_folder = Some(blocked.display().to_string());
        settings.replicas = vec![instance::Replica {
            branch: String::from("venture"),
            start: instance::Start::Founder,
        }];
    });
    let text = startup_error(&file);
    assert!(text.contains("can't use the data folder"), "{text}");
    assert!(!text.contains("panicked"), "{text}");
}

/// Writes an instance's settings, as modified by a test, to a file.
fn write_settings(folder: &Folder, modify: impl FnOnce(&mut instance::Instance)) -> PathBuf {
    let tree = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let mut settings = daemon::settings("suva-2", "suva", &tree);
    modify(&mut settings);
    let file = folder.path().join("changed.jsonc");
    fs::write(&file, serde_json::to_string(&settings).unwrap()).unwrap();
    file
}

/// Runs a daemon that fails at its start with exit code 1, and returns its standard error.
fn startup_error(file: &Path) -> String {
    let output = Command::new(binary()).args(["run", "--settings"]).arg(file).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    String::from_utf8(output.stderr).unwrap()
}

async fn start(folder: &Folder) -> Daemon {
    let tree = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let settings = daemon::settings("suva-1", "suva", &tree);
    let daemon = Daemon::start(binary(), folder.path(), settings);
    daemon.until_ready().await;
    daemon
}

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_daisydrum"))
}

async fn complete(daemon: &Daemon) -> Response<Incoming> {
    let body = serde_json::json!({
        "model": "vent-7b", "prompt": PROMPT, "max_tokens": TOKENS, "stream": true,
    });
    let mut request = http::post("/v1/completions", &body).unwrap();
    let key = hyper::header::HeaderValue::from_static("Bearer vent-example-key");
    request.headers_mut().insert("authorization", key);
    http::open(daemon.callers(), request).await.unwrap()
}

fn token(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).unwrap();
    event["choices"][0]["text"].as_str().unwrap().to_owned()
}

fn header(response: &Response<Incoming>, name: &str) -> String {
    response.headers().get(name).map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default()
}
