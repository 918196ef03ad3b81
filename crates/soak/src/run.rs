//! One seeded run: callers and operators during faults, then a period without faults in which everything must recover.

use std::{io, path::Path, sync::Arc, time::Duration};

use common::cancel;
use platform_standin::{client, runner};
use tokio::time::{self, Instant};

use crate::{
    callers::Caller,
    checker::{self, Violation},
    crash,
    history::{Arrival, History, Kind},
    operator,
    plan::{self, Event, Size},
    testbed::{Progress, Testbed},
};

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the last fault within which everything must work again: twice the operators' bound, since these
/// processes share a machine with others.
const RECOVERY_LIMIT: Duration = Duration::from_secs(24);

/// Number of callers of a run with cuts.
const CALLERS_BESIDE_CUTS: usize = 24;
/// Default of [`Options::length`].
const LENGTH: Duration = Duration::from_secs(15);
/// Time by which pauses and planned work go on after the last fault has started: the longest fault and some seconds.
pub const CALM: Duration = Duration::from_secs(10);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the faults and of the callers' choices.
    pub seed: u64,
    /// Processes and targets.
    pub size: Size,
    /// Number of callers.
    pub callers: usize,
    /// Number of further callers that seldom send a request.
    pub seldom: usize,
    /// Length of the period in which faults start.
    pub length: Duration,
    /// Length of the period in which targets pause and instances are told to read their settings or to stop; nothing of
    /// this happens if it is zero.
    pub work: Duration,
    /// Length of the period in which instances that serve callers are cut off from targets; none is if it is zero.
    pub cuts: Duration,
    /// The kind of the request that ends targets, if one is sent.
    pub crashing: Option<Kind>,
}

impl Options {
    /// Parameters of a run with a small fleet.
    pub fn new(seed: u64) -> Options {
        let size = Size { control: 3, entries: 3, engines: 4, plain_targets: 2 };
        Options {
            seed,
            size,
            callers: 6,
            seldom: 6,
            length: LENGTH,
            work: LENGTH + CALM,
            cuts: Duration::ZERO,
            crashing: None,
        }
    }

    /// The same run with cuts in a period of this length, and enough callers to compare instances.
    pub fn with_cuts(self, cuts: Duration) -> Options {
        Options { cuts, callers: CALLERS_BESIDE_CUTS, ..self }
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
    let Options { seed, size, callers, seldom, length, work, cuts, crashing } = options;
    let mut events = plan::draw(seed, size, length);
    events.extend(plan::draw_work(seed, size, work, &events));
    plan::draw_cuts(seed, size, cuts, &mut events);
    events.extend(plan::draw_datagram_faults(seed, size, length));
    events.sort_by_key(|event| event.at);
    let mut testbed = Testbed::start(binary, &format!("soak-{seed}"), size).await?;
    testbed.fleet.declare_config(&operator::config(operator::FIRST_VERSION)).await;
    testbed.fleet.until_ready().await;
    let start = testbed.started();
    let begin = start.elapsed();
    let record = operator::Record::default();
    operator::note_sent(&record, operator::FIRST_VERSION, Duration::ZERO);
    operator::note_acknowledged(&record, begin);
    let (load, control) = (cancel::Token::new(), testbed.fleet.control_addresses());
    let caller = |number: usize| {
        let (name, seed) = (format!("{seed}-{number}"), seed ^ number as u64);
        Caller::new(&name, testbed.entries(), seed, start, Arc::clone(&record))
    };
    let mut calls: Vec<_> =
        (0..callers).map(|number| tokio::spawn(caller(number).run(load.clone()))).collect();
    let seldom = (callers..callers + seldom).map(|number| caller(number).run_seldom(load.clone()));
    calls.extend(seldom.map(tokio::spawn));
    let changes = operator::change(control.clone(), seed, start, load.clone(), Arc::clone(&record));
    let changes = tokio::spawn(changes);
    let reads = tokio::spawn(operator::read(control.clone(), start, load.clone()));

    let crashes = cancel::Token::new();
    let crashing = crashing.map(|kind| {
        testbed.set_crashing(crash::content(kind));
        tokio::spawn(crash::send(kind, testbed.entries(), seed, crashes.clone()))
    });
    let scheduled = events.iter().map(|event| Event { at: event.at + begin, ..*event });
    inject_faults(&mut testbed, scheduled.collect()).await?;
    testbed.note_ends();
    crashes.cancel();
    testbed.history.crashing.until = start.elapsed();
    wait_for_recovery(&mut testbed, seed, Arc::clone(&record)).await;
    load.cancel();
    for call in calls {
        testbed.history.requests.extend(call.await.map_err(io::Error::other)?);
    }
    let changes = changes.await.map_err(io::Error::other)?;
    testbed.history.acknowledgements = changes.acknowledgements;
    testbed.history.refused_changes = changes.refused;
    testbed.history.changes = std::mem::take(&mut record.lock().unwrap());
    testbed.history.reads.extend(reads.await.map_err(io::Error::other)?);
    check_final_config(&mut testbed, seed).await;
    testbed.note_ends();
    testbed.stop().await;
    if let Some(crashing) = crashing {
        let sent = crashing.await.map_err(io::Error::other)?;
        let arrival = |arrival: &runner::Arrival| {
            let at = Instant::from_std(arrival.at).duration_since(start);
            sent.get(&arrival.id).map(|entry| Arrival { at, entry: *entry })
        };
        let arrivals = testbed.crashing_arrivals().iter().filter_map(arrival).collect();
        testbed.history.crashing.arrivals = arrivals;
    }

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
async fn wait_for_recovery(testbed: &mut Testbed, seed: u64, changes: operator::Record) {
    let start = testbed.started();
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let name = format!("{seed}-recovery");
    let mut caller = Caller::new(&name, testbed.entries(), seed, start, changes);
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
