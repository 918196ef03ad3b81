//! Runs a scenario against daemons and collects the outcome of each request.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{cancel, name, role::Role};
use standin::{http, plain};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};
use wire::operator;

use crate::{
    arrival, call,
    report::{Change, Report},
    scenario::Scenario,
};

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs `scenario` to its end.
pub async fn run(scenario: Scenario) -> Report {
    let scenario = Arc::new(scenario);
    let start = Instant::now();
    let stop = cancel::Token::new();
    let changes = Arc::new(Mutex::new(Vec::new()));
    let recorder = tokio::spawn(record_role_changes(
        Arc::clone(&scenario),
        start,
        Arc::clone(&changes),
        stop.clone(),
    ));
    let mut calls = JoinSet::new();
    for (number, arrival) in (0_u64..).zip(arrival::draw(&scenario)) {
        let due = start + arrival.at;
        time::sleep_until(due).await;
        let scenario = Arc::clone(&scenario);
        let seed = scenario.seed.wrapping_add(number);
        calls.spawn(async move { call::send(&scenario, &arrival, seed, due).await });
    }
    let mut outcomes = calls.join_all().await;
    outcomes.sort_by_key(|outcome| outcome.at_ms);
    stop.cancel();
    let _ = recorder.await;
    let changes = std::mem::take(&mut *changes.lock().unwrap_or_else(PoisonError::into_inner));
    let runs_by_key = runs_by_key(&scenario).await;
    Report::new(&scenario, &outcomes, changes, &runs_by_key)
}

/// Records changes of engines' roles until `stop` is cancelled.
async fn record_role_changes(
    scenario: Arc<Scenario>,
    start: Instant,
    changes: Arc<Mutex<Vec<Change>>>,
    stop: cancel::Token,
) {
    let mut roles: BTreeMap<name::Target, Role> = BTreeMap::new();
    let mut ticks = time::interval(SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let at_s = start.elapsed().as_secs();
        for target in read_targets(&scenario).await {
            let before = roles.insert(target.name.clone(), target.role);
            if before.is_some_and(|before| before != target.role) {
                let change = Change { at_s, target: target.name, role: target.role };
                changes.lock().unwrap_or_else(PoisonError::into_inner).push(change);
            }
        }
    }
}

async fn read_targets(scenario: &Scenario) -> Vec<operator::Target> {
    for &address in &scenario.control {
        let Ok(request) = http::get(operator::STATUS_PATH) else {
            continue;
        };
        let response = http::call(address, request, SAMPLE_TIMEOUT).await;
        if let Ok(status) = response.and_then(|response| response.json::<operator::Status>()) {
            return status.targets;
        }
    }
    Vec::new()
}

/// The number of runs by idempotency key, summed over all plain services of the scenario.
async fn runs_by_key(scenario: &Scenario) -> BTreeMap<String, u64> {
    let mut runs_by_key = BTreeMap::new();
    for &address in &scenario.plain {
        let Ok(request) = http::get(plain::COUNTS_PATH) else {
            continue;
        };
        let response = http::call(address, request, SAMPLE_TIMEOUT).await;
        let counts =
            response.and_then(|response| response.json::<plain::Counts>()).unwrap_or_default();
        for (key, count) in counts.keys {
            *runs_by_key.entry(key).or_default() += count;
        }
    }
    runs_by_key
}
