//! Runs one instance with two stand-in engines and a stand-in plain service, to try daisydrum out.
//!
//! Run it from the root of the repository: `cargo run --release -p daisydrum --example single`.

use std::{
    error::Error,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    thread,
    time::Duration,
};

use common::{cancel, name};
use daisyctl::{arguments::Daisyctl, client, command};
use settings::{document, instance};
use standin::{announce, engine, plain};
use tokio::runtime;
use wire::operator;

const SETTINGS: &str = "examples/single.jsonc";
const TREE: &str = "examples/venture";
const DATA_FOLDER: &str = "data";
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const PLAIN_DELAY: Duration = Duration::from_millis(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(DATA_FOLDER)?;
    let settings = Path::new(SETTINGS);
    let instance: instance::Instance = document::read(settings)?;
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let token = cancel::Token::new();
    runtime.block_on(start_targets(instance.control, &token))?;
    thread::spawn(move || apply_tree(instance.control));
    daisydrum::daemon::run(settings)?;
    token.cancel();
    Ok(())
}

/// Applies the example tree with `daisyctl`, as an operator would.
fn apply_tree(control: SocketAddr) {
    let daemon = client::Daemon { address: control };
    while daemon.get::<operator::Status>(operator::STATUS_PATH).is_err() {
        thread::sleep(RETRY_INTERVAL);
    }
    let command_line = ["apply", TREE, "--instance", &control.to_string(), "--wait"];
    let arguments = Daisyctl::from_vec(command_line.map(Into::into).to_vec());
    let applied = arguments
        .map_err(|error| error.to_string())
        .and_then(|arguments| command::run(arguments).map_err(|error| error.to_string()));
    if let Err(error) = applied {
        eprintln!("the example tree {TREE} was not applied: {error}");
    }
}

async fn start_targets(control: SocketAddr, token: &cancel::Token) -> Result<(), Box<dyn Error>> {
    let engines = [
        ("vent-engine-1", "association", "vent-llm", "vent-7b"),
        ("ink-engine-1", "inkleaf", "inkmind", "ink-7b"),
    ];
    for (name, partner, service, model) in engines {
        let mut options = engine::Options::new(name, partner, service, vec![control]);
        options.models = vec![String::from(model)];
        options.data_centre = name::DataCentre::from("suva");
        engine::Engine::start(options, token.child_token()).await?;
    }
    let options = plain::Options {
        name: name::Target::from("portal-1"),
        partner: name::Partner::from("association"),
        service: name::Service::from("member-portal"),
        data_centre: name::DataCentre::from("suva"),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        announced_address: None,
        announcements: announce::Schedule {
            control: vec![control],
            interval: ANNOUNCE_INTERVAL,
            seed: 1,
        },
        delay: PLAIN_DELAY,
        behaviour: plain::Behaviour::Answer,
        pauses: Vec::new(),
    };
    plain::Service::start(options, token.child_token()).await?;
    Ok(())
}
