//! Role changes that the policy orders while a real daemon serves callers: streams stay whole, also when the engine
//! that changes dies.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/alone.rs"]
mod alone;

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{cancel, name, role::Role};
use http_body_util::BodyExt;
use standin::{
    engine::{Engine, Options},
    harness::{daemon::Daemon, folder::Folder},
    http, output,
};
use tokio::{task::JoinHandle, time};
use wire::completion;

const KEY: &str = "Bearer vent-example-key";
const CALLERS: usize = 6;
const TOKENS: usize = 12;
/// Longest wait for a role change: the policy measures demand in intervals of 10 s and needs two of them.
const TIMEOUT: Duration = Duration::from_secs(180);
/// Declared rates at which the test's prompts need more prefill than one engine provides.
const ROLE_SETTINGS: &str = r#"{
  "roles": {
    "prefill_rate": 100.0, "decode_rate": 5000.0, "change_price": 0.0, "dwell_s": 1, "change_s": 1,
    "hysteresis_percent": 1, "horizon_s": 600, "goodput_weight": 10.0
  }
}"#;

/// Roles of the engines at the start.
const INITIAL_ROLES: [Role; 4] = [Role::Prefill, Role::Decode, Role::Decode, Role::Decode];

#[tokio::test(flavor = "multi_thread")]
async fn a_role_change_under_load_cuts_no_stream() {
    let setup = Setup::start("role-change", |_| {}).await;
    let load = Load::start(&setup.daemon);
    let changed = || {
        setup.engines.iter().zip(INITIAL_ROLES).any(|(engine, role)| engine.state().role != role)
    };
    until("an engine takes another role", changed).await;
    load.until_served_again().await;
    load.end().await;
    assert!(setup.daemon.log().contains("action=\"role "), "the log has no line with the order");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_dies_in_its_role_change_cuts_no_stream_and_its_order_is_settled() {
    let setup = Setup::start("role-death", |options| options.crash_during_change = true).await;
    let load = Load::start(&setup.daemon);
    until("an engine dies in its change", || setup.engines.iter().any(Engine::is_stopped)).await;
    let dead = setup.engines.iter().position(Engine::is_stopped).unwrap();
    let order_lines = || setup.order_lines(&format!("engine-{dead}"));
    until("the order to it is settled", || {
        order_lines().last().is_some_and(|line| line.contains("intent ended"))
    })
    .await;
    load.until_served_again().await;
    load.end().await;
    let mut is_open = false;
    for line in order_lines() {
        let opens = line.contains("intent opened");
        assert!(
            !(is_open && opens),
            "an intent was opened while another for the same engine was open: {line}"
        );
        is_open = opens;
    }
}

/// A daemon and its engines, whose declared prefill rate is low.
struct Setup {
    daemon: Daemon,
    engines: Vec<Engine>,
    _folder: Folder,
}

impl Setup {
    async fn start(name: &str, change: impl Fn(&mut Options)) -> Setup {
        let folder = Folder::new(name);
        let tree = write_tree(folder.path());
        let daemon = alone::start(&tree, folder.path()).await;
        let mut engines = Vec::new();
        for (number, role) in INITIAL_ROLES.into_iter().enumerate() {
            let mut options = options(&daemon, number, role);
            change(&mut options);
            engines.push(Engine::start(options, cancel::Token::new()).await.unwrap());
        }
        daemon.until_targets(engines.len()).await;
        Setup { daemon, engines, _folder: folder }
    }

    /// The daemon's log lines about intents for an engine.
    fn order_lines(&self, engine: &str) -> Vec<String> {
        let log = self.daemon.log();
        let target = format!("target={engine} ");
        let lines =
            log.lines().filter(|line| line.contains("event=\"intent ") && line.contains(&target));
        lines.map(String::from).collect()
    }
}

async fn until(description: &str, condition: impl Fn() -> bool) {
    let end = time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            time::Instant::now() < end,
            "timed out after {TIMEOUT:?} waiting until {description}"
        );
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// Callers that each keep one request running and check that every response is whole.
struct Load {
    responses: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(daemon: &Daemon) -> Load {
        let (responses, stop) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let caller = |number| {
            let (address, responses, stop) =
                (daemon.callers(), Arc::clone(&responses), Arc::clone(&stop));
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    complete(address, number).await;
                    responses.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let callers = (0..CALLERS).map(caller).collect();
        Load { responses, stop, callers }
    }

    /// Waits for more than two further responses per caller on average.
    async fn until_served_again(&self) {
        let responses = self.responses.load(Ordering::Relaxed);
        until("callers are served again", || {
            self.responses.load(Ordering::Relaxed) > responses + 2 * CALLERS
        })
        .await;
    }

    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

async fn complete(address: std::net::SocketAddr, number: usize) {
    let payload = completion::Request {
        model: String::from("vent-7b"),
        prompt: Some(format!("caller {number} {}", "word ".repeat(400))),
        stream: true,
        max_tokens: Some(u32::try_from(TOKENS).unwrap()),
        ..Default::default()
    };
    let mut request = http::post("/v1/completions", &payload).unwrap();
    request.headers_mut().insert("authorization", hyper::header::HeaderValue::from_static(KEY));
    let response = http::open(address, request).await.unwrap();
    assert_eq!(response.status(), 200);
    let body = response.into_body().collect().await.expect("the stream is not cut").to_bytes();
    let text = String::from_utf8(body.to_vec()).unwrap();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"), "{text}");
    let token = |event: &&str| {
        let event: serde_json::Value = serde_json::from_str(event).unwrap();
        event["choices"][0]["text"].as_str().unwrap().to_owned()
    };
    let generated: String = events[..events.len() - 1].iter().map(token).collect();
    output::check(&payload.text(), TOKENS, &generated).unwrap();
}

fn options(daemon: &Daemon, number: usize, role: Role) -> Options {
    let name = format!("engine-{number}");
    let mut options = Options::new(&name, "association", "vent-llm", vec![daemon.control()]);
    options.data_centre = name::DataCentre::from("suva");
    options.models = vec![String::from("vent-7b")];
    options.role = role;
    options.speed.change = Duration::from_secs(1);
    options.announcements.interval = Duration::from_millis(500);
    options
}

/// Copies the example tree and declares a low prefill rate for the association's engines.
fn write_tree(folder: &Path) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let to = folder.join("tree");
    for part in ["", "association", "association/services", "inkleaf", "inkleaf/services"] {
        fs::create_dir_all(to.join(part)).unwrap();
        for entry in fs::read_dir(from.join(part)).unwrap().map(Result::unwrap) {
            if entry.path().is_file() {
                fs::copy(entry.path(), to.join(part).join(entry.file_name())).unwrap();
            }
        }
    }
    let file = to.join("association/partner.jsonc");
    let partner = serde_json::json!({
        "title": "Association",
        "data_centres": ["suva", "lautoka", "nadi", "nausori"],
        "defaults": serde_json::from_str::<serde_json::Value>(ROLE_SETTINGS).unwrap(),
    });
    fs::write(file, partner.to_string()).unwrap();
    to
}
