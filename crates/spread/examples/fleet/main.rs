//! Measures the distribution of declarations in one process: network traffic, CPU time and memory per instance, and
//! the time from the acceptance of a change until all instances have indexed it.
//!
//! `cargo run --release -p spread --example fleet -- INSTANCES KEYS SECONDS`
//!
//! Each data centre has ten instances; the first instances of three data centres keep replicas. All communicate over
//! TCP on the loopback address with the messages and codec of the daemons. A caller's key is changed 0.58 times per
//! second (50,000 times a day).

#![allow(clippy::unwrap_used, clippy::print_stdout, reason = "a measurement prints and may fail")]

mod count;
mod fleet;
mod usage;

use std::{
    env,
    sync::Arc,
    time::{Duration, Instant},
};

use common::name;
use control::{
    command::Command,
    declaration::{Author, Change, Request},
};
use serde_json::{Map, Value, json};
use settings::delta::{self, Content};
use spread::replicated_log::Client as _;
use tokio::time;

const BRANCH: &str = "association";
/// Services among which the keys are divided; each has one model.
const SERVICES: usize = 20;
/// 50,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_728);
const WARM_UP: Duration = Duration::from_secs(5);
const LIMIT: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() {
    let mut arguments = env::args().skip(1).map(|argument| argument.parse().unwrap());
    let mut next = |default: usize| arguments.next().unwrap_or(default);
    let (instances, keys, seconds) = (next(10), next(1_550), next(20));
    let memory_before = usage::resident_bytes();
    let fleet = fleet::Fleet::start(instances).await;
    let mut content = declared(keys);
    let delta = delta::between(&Content::default(), &content);
    submit(&fleet, 0, Change::Apply(delta)).await;
    fleet.wait_for(1).await;
    time::sleep(WARM_UP).await;

    let (bytes, cpu_time, started) = (count::total(), usage::cpu_time(), Instant::now());
    let mut waits = Vec::new();
    let mut version = 1;
    while started.elapsed() < Duration::from_secs(seconds as u64) {
        let changed = Instant::now();
        let delta = change_key(&mut content, version);
        submit(&fleet, version, Change::Apply(delta)).await;
        version += 1;
        fleet.wait_for(version).await;
        waits.push(changed.elapsed());
        time::sleep(CHANGE_INTERVAL.saturating_sub(changed.elapsed())).await;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let each = |total: f64| total / elapsed / instances as f64;
    waits.sort();
    println!("instances={instances} keys={keys} seconds={elapsed:.1} changes={}", waits.len());
    // Each byte is counted where it is written and where it is read.
    println!("bytes_per_instance_per_s={:.0}", each((count::total() - bytes) as f64));
    println!(
        "cpu_percent_per_instance={:.3}",
        each((usage::cpu_time() - cpu_time).as_secs_f64()) * 100.0
    );
    let memory = usage::resident_bytes().saturating_sub(memory_before);
    println!("resident_kb_per_instance={}", memory / 1_024 / instances as u64);
    println!(
        "in_force_everywhere_ms median={} worst={}",
        waits[waits.len() / 2].as_millis(),
        waits[waits.len() - 1].as_millis()
    );
}

async fn submit(fleet: &fleet::Fleet, base: u64, change: Change) {
    let author = Author { request: base.to_string(), ..Author::default() };
    let command = Command::Declare(Request { author, base, change });
    fleet.logs.submit(&BRANCH.into(), command, LIMIT).await.unwrap();
}

fn declared(keys: usize) -> Content {
    let mut content = Content::default();
    content.branch.partner.title = String::from("Association");
    content.branch.partner.data_centres = vec![String::from("dc-0")];
    for service in 0..SERVICES {
        let own = (0..keys).filter(|key| key % SERVICES == service);
        let keys: Vec<Value> = own.map(|number| key(&number.to_string())).collect();
        let settings = json!({ "models": [{ "name": format!("m{service}") }], "keys": keys });
        let name = name::Service(format!("s{service}"));
        let settings: Map<String, Value> = settings.as_object().unwrap().clone();
        content.branch.services.insert(name, Arc::new(settings));
    }
    content
}

fn change_key(content: &mut Content, version: u64) -> delta::Delta {
    let before = content.clone();
    let services = content.branch.services.len() as u64;
    let service = content.branch.services.values_mut().nth((version % services) as usize).unwrap();
    let service = Arc::make_mut(service);
    let keys = service["keys"].as_array_mut().unwrap();
    keys.remove(0);
    keys.push(key(&format!("changed {version}")));
    delta::between(&before, content)
}

fn key(seed: &str) -> Value {
    json!({ "sha256": settings::key::Hash::of(seed), "organisation": format!("organisation {seed}") })
}
