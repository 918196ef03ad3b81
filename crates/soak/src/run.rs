//! One seeded run: callers and operators during faults, then a period without faults in which everything must recover.

use std::{io, path::Path, time::Duration};

use common::cancel;
use platform_standin::client;
use tokio::time::{self, Instant};

use crate::{
    callers::Caller,
    checker::{self, Violation},
    history::{History, Kind},
    operator,
    plan::{self, Event, Size},
    testbed::{Progress, Testbed},
};

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the last fault within which everything must work again: twice the operators' bound, since these
/// processes share a machine with others.
const RECOVERY_LIMIT: Duration = Duration::from_secs(24);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the faults and of the callers' choices.
    pub seed: u64,
    /// Processes and targets.
    pub size: Size,
    /// Number of callers.
    pub callers: usize,
    /// Length of the period in which faults start.
    pub length: Duration,
}

impl Options {
    /// Parameters of a run with a small fleet.
    pub fn new(seed: u64) -> Options {
        let size = Size { control: 3, entries: 3, engines: 4, plain_targets: 2 };
        Options { seed, size, callers: 6, length: Duration::from_secs(15) }
    }
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// The injected faults.
    pub events: Vec<Event>,
    /// What was observed.
    pub history: History,
}

/// Executes one run; copies the daemons' logs into `logs` if an invariant was violated.
///
/// # Errors
///
/// Returns the operating system's error when a process, target or proxy can't be started, or logs can't be copied.
pub async fn execute(binary: &Path, options: Options, logs: &Path) -> io::Result<Report> {
    let Options { seed, size, callers, length } = options;
    let events = plan::draw(seed, size, length);
    let mut testbed = Testbed::start(binary, &format!("soak-{seed}"), size).await?;
    testbed.fleet.declare_config(&client::distinct_config(operator::FIRST_VERSION)).await;
    testbed.fleet.until_ready().await;
    let start = testbed.started();
    let begin = start.elapsed();
    let (load, control) = (cancel::Token::new(), testbed.fleet.control_addresses());
    let calls: Vec<_> = (0..callers)
        .map(|number| {
            let name = format!("{seed}-{number}");
            let caller = Caller::new(&name, testbed.entries(), seed ^ number as u64, start);
            tokio::spawn(caller.run(load.clone()))
        })
        .collect();
    let changes = tokio::spawn(operator::change(control.clone(), seed, start, load.clone()));
    let reads = tokio::spawn(operator::read(control.clone(), start, load.clone()));

    let scheduled = events.iter().map(|event| Event { at: event.at + begin, ..*event });
    inject_faults(&mut testbed, scheduled.collect()).await?;
    testbed.note_ends();
    wait_for_recovery(&mut testbed, seed).await;
    load.cancel();
    for call in calls {
        testbed.history.requests.extend(call.await.map_err(io::Error::other)?);
    }
    let changes = changes.await.map_err(io::Error::other)?;
    testbed.history.acknowledgements = changes.acknowledgements;
    testbed.history.refused_changes = changes.refused;
    testbed.history.reads.extend(reads.await.map_err(io::Error::other)?);
    check_final_config(&mut testbed, seed).await;
    testbed.note_ends();
    testbed.stop().await;

    let violations = checker::check(&testbed.history);
    if !violations.is_empty() {
        for daemon in testbed.fleet.control.iter().chain(&testbed.fleet.entries) {
            daemon.copy_logs(logs)?;
        }
    }
    let history = std::mem::take(&mut testbed.history);
    Ok(Report { violations, events, history })
}

/// Injects all faults and waits until the last one is over.
async fn inject_faults(testbed: &mut Testbed, events: Vec<Event>) -> io::Result<()> {
    let start = testbed.started();
    let mut pending: Vec<(Duration, Event, bool)> =
        events.into_iter().map(|event| (event.at, event, false)).collect();
    while let Some(next) = (0..pending.len()).min_by_key(|index| pending[*index].0) {
        let (at, event, started) = pending.swap_remove(next);
        time::sleep_until(start + at).await;
        if !started {
            testbed.begin(&event).await;
            pending.push((at + event.duration, event, true));
        } else if testbed.end(&event).await? == Progress::Pending {
            pending.push((start.elapsed() + POLL_INTERVAL, event, true));
        }
    }
    Ok(())
}

/// Waits until every instance serves every kind of request.
async fn wait_for_recovery(testbed: &mut Testbed, seed: u64) {
    let start = testbed.started();
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let mut caller = Caller::new(&format!("{seed}-recovery"), testbed.entries(), seed, start);
    for entry in 0..testbed.entries().len() {
        for kind in Kind::ALL {
            while !caller.is_served(entry, kind).await {
                if Instant::now() > deadline {
                    testbed.history.unrecovered.push(format!("{kind} at entry {entry}"));
                    break;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    testbed.history.requests.extend(caller.into_requests());
}

/// Reads the configuration from every control instance and checks that every entry instance applies it.
async fn check_final_config(testbed: &mut Testbed, seed: u64) {
    let (start, control) = (testbed.started(), testbed.fleet.control_addresses());
    let deadline = Instant::now() + RECOVERY_LIMIT;
    // The last acknowledged version may not be in force at the other instances yet.
    time::sleep(operator::APPLY_LIMIT).await;
    let mut newest = 0;
    for number in 0..control.len() {
        loop {
            if let Some(read) = operator::read_one(&control, number, start).await {
                newest = newest.max(read.version);
                testbed.history.reads.push(read);
                break;
            }
            if Instant::now() > deadline {
                testbed.history.unrecovered.push(format!("reads at control {number}"));
                break;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    for (entry, address) in testbed.entries().into_iter().enumerate() {
        let path = format!("/only-{newest}/1");
        let mut status = None;
        while status != Some(200) && Instant::now() < deadline {
            let id = format!("{seed}-only-{entry}-{}", start.elapsed().as_micros());
            status = client::post_plain(address, &path, &id).await.status;
        }
        if status != Some(200) {
            let what =
                format!("entry {entry} responded with {status:?} on a route of version {newest}");
            testbed.history.unrecovered.push(what);
        }
    }
}

/// The plan and the violations of a run as text.
pub fn describe(seed: u64, report: &Report) -> String {
    let mut text = format!("seed {seed}\n");
    for event in &report.events {
        let Event { at, duration, victim, fault } = event;
        text.push_str(&format!("  {at:>8.1?} for {duration:.1?}: {fault} {victim}\n"));
    }
    for violation in &report.violations {
        text.push_str(&format!("  VIOLATED {violation}\n"));
    }
    text
}

/// The folder for the logs of the run of `seed`.
pub fn log_folder(root: &Path, seed: u64) -> std::path::PathBuf {
    root.join(format!("soak-{seed}"))
}
