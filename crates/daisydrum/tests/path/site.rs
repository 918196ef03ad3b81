//! Daemons that know each other, stand-in engines for them, and a caller that reads streams.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use bytes::Bytes;
use common::{cancel, name};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use settings::key;
use standin::{
    engine,
    harness::{
        daemon::{self, Daemon},
        folder::Folder,
        wait,
    },
    http, output,
};
use tokio::time;

pub const KEY: &str = "path-test-key";
/// Key of the plain service.
pub const PLAIN_KEY: &str = "path-test-plain-key";
pub const MODEL: &str = "vent-7b";
/// Time without progress after which a daemon probes a target, in milliseconds.
pub const PROGRESS_MS: u64 = 1_000;
/// Longest body that the service accepts, in units of 1024 bytes.
pub const BODY_KB: u64 = 64;
pub const PROMPT: &str = "inspect the hatch of block seven";

/// Daemons that know each other, named by data centre and number: `suva-0`, `suva-1`.
pub struct Cluster {
    pub daemons: Vec<Daemon>,
    _folder: Folder,
}

impl Cluster {
    pub async fn start(count: usize) -> Cluster {
        Cluster::start_in(&vec!["suva"; count]).await
    }

    /// Starts one daemon for each entry of `data_centres`.
    pub async fn start_in(data_centres: &[&str]) -> Cluster {
        Cluster::start_with(data_centres, PROGRESS_MS).await
    }

    /// Starts one daemon for each entry of `data_centres`, with a limit on the silence of targets.
    pub async fn start_with(data_centres: &[&str], progress_ms: u64) -> Cluster {
        let folder = Folder::new("path");
        let tree = write_tree(folder.path(), progress_ms);
        let settings = |(number, data_centre): (usize, &&str)| {
            daemon::settings(&format!("{data_centre}-{number}"), data_centre, &tree)
        };
        let mut instances: Vec<_> = data_centres.iter().enumerate().map(settings).collect();
        daemon::connect(&mut instances);
        let start = |settings| Daemon::start(binary(), folder.path(), settings);
        let daemons: Vec<Daemon> = instances.into_iter().map(start).collect();
        for daemon in &daemons {
            daemon.until_ready().await;
        }
        Cluster { daemons, _folder: folder }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::control).collect()
    }

    pub async fn engine(&self, name: &str) -> engine::Engine {
        self.engine_with(name, |_| {}).await
    }

    pub async fn engine_with(
        &self,
        name: &str,
        modify: impl FnOnce(&mut engine::Options),
    ) -> engine::Engine {
        let mut options = engine::Options::new(name, "association", "vent-llm", self.controls());
        options.models = vec![String::from(MODEL)];
        options.data_centre = name::DataCentre::from("suva");
        modify(&mut options);
        engine::Engine::start(options, cancel::Token::new()).await.unwrap()
    }

    pub async fn until_targets(&self, count: usize) {
        for daemon in &self.daemons {
            daemon.until_targets(count).await;
        }
    }
}

pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_daisydrum"))
}

fn write_tree(folder: &Path, progress_ms: u64) -> PathBuf {
    let tree = folder.join("tree");
    let services = tree.join("association/services");
    fs::create_dir_all(&services).unwrap();
    let venture = serde_json::json!({ "name": "path" });
    fs::write(tree.join("venture.jsonc"), venture.to_string()).unwrap();
    let partner =
        serde_json::json!({ "title": "Association", "data_centres": ["suva", "nadi", "lautoka"] });
    fs::write(tree.join("association/partner.jsonc"), partner.to_string()).unwrap();
    let service = serde_json::json!({
        "kind": "model",
        "models": [{ "name": MODEL }],
        "keys": [{ "sha256": key::Hash::of(KEY), "organisation": "technicians" }],
        "limits": { "progress_ms": progress_ms, "body_kb": BODY_KB },
    });
    fs::write(services.join("vent-llm.jsonc"), service.to_string()).unwrap();
    let plain = serde_json::json!({
        "kind": "plain",
        "keys": [{ "sha256": key::Hash::of(PLAIN_KEY), "organisation": "technicians" }],
        "limits": { "progress_ms": progress_ms },
    });
    fs::write(services.join("vent-log.jsonc"), plain.to_string()).unwrap();
    tree
}

/// A request for a streamed completion of [`PROMPT`].
pub fn completion(tokens: usize) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": tokens, "stream": true,
    });
    with_body(body.to_string())
}

/// A completion request with an arbitrary body.
pub fn with_body(body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::post("/v1/completions")
        .header("host", "daisydrum")
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .unwrap()
}

/// A caller that reads a streamed completion as it arrives.
pub struct Stream {
    body: Incoming,
    text: String,
}

impl Stream {
    pub async fn open(address: SocketAddr, tokens: usize) -> Stream {
        let response = http::open(address, completion(tokens)).await.unwrap();
        assert_eq!(response.status(), 200);
        Stream::new(response)
    }

    pub fn new(response: Response<Incoming>) -> Stream {
        Stream { body: response.into_body(), text: String::new() }
    }

    /// Reads until at least `count` tokens have arrived.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.tokens().len() < count {
            assert!(self.read().await, "the stream ended after {} tokens", self.tokens().len());
        }
    }

    /// Reads to the end and returns the completion's text.
    pub async fn read_all(mut self) -> String {
        while self.read().await {}
        assert!(
            self.text.trim_end().ends_with("data: [DONE]"),
            "the stream lacks its end marker: {:?}",
            self.text
        );
        self.tokens().concat()
    }

    async fn read(&mut self) -> bool {
        let frame =
            time::timeout(wait::LIMIT, self.body.frame()).await.expect("a frame arrives in time");
        let Some(frame) = frame else {
            return false;
        };
        let data = frame.expect("the stream is not cut").into_data().unwrap_or_default();
        self.text.push_str(std::str::from_utf8(&data).unwrap());
        true
    }

    fn tokens(&self) -> Vec<String> {
        let events = self.text.lines().filter_map(|line| line.strip_prefix("data: "));
        let tokens = events.filter(|event| *event != "[DONE]").map(|event| {
            let event: serde_json::Value = serde_json::from_str(event).unwrap();
            event["choices"][0]["text"].as_str().map(String::from)
        });
        tokens.collect::<Option<Vec<String>>>().expect("every event carries a token")
    }
}

/// Asserts that a text is the whole completion of [`PROMPT`], each token once and in order.
pub fn assert_whole(text: &str, tokens: usize) {
    output::check(PROMPT, tokens, text).unwrap();
}

pub async fn pause() {
    time::sleep(Duration::from_millis(20)).await;
}
