//! The thread that runs the planner while its process holds the data centre's lease.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{cancel, clock::Moment, name, ring::Sender};
use slog::{Logger, warn};
use wire::operator;

use crate::{
    data_centre::View,
    executor::{self, Report},
    intent::Proposal,
    planner::{Input, Planner},
};

/// Pause between two checks of whether an observation is due or the process is stopping.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two readings of the instances' counters.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(5);
/// Readings for each plan.
const OBSERVATIONS_PER_PLAN: u32 = 2;

/// Shares the state of the pools at the last plan, for operators; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Monitor(Arc<Mutex<Vec<operator::Pool>>>);

/// The running thread.
#[derive(Debug)]
pub struct Handle {
    /// Gives the state of the pools at the last plan.
    pub monitor: Monitor,
    /// Ends after the token is cancelled.
    pub thread: JoinHandle<()>,
}

impl Monitor {
    /// The pools at the last plan; none while this process doesn't hold the lease.
    pub fn pools(&self) -> Vec<operator::Pool> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, pools: Vec<operator::Pool>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = pools;
    }
}

/// Starts the thread, which sends its proposals to the executor.
///
/// # Errors
///
/// Returns the operating system's error if the thread can't be created.
pub fn start<V: View + Send + 'static>(
    data_centre: name::DataCentre,
    view: V,
    executor: executor::Monitor,
    proposals: Sender<Proposal>,
    token: cancel::Token,
    log: Logger,
) -> io::Result<Handle> {
    let monitor = Monitor::default();
    let planner = Planner::default();
    let mut planning =
        Loop { data_centre, view, executor, proposals, planner, monitor: monitor.clone(), log };
    let thread =
        thread::Builder::new().name(String::from("roles")).spawn(move || planning.run(&token))?;
    Ok(Handle { monitor, thread })
}

struct Loop<V> {
    data_centre: name::DataCentre,
    view: V,
    executor: executor::Monitor,
    proposals: Sender<Proposal>,
    planner: Planner,
    monitor: Monitor,
    log: Logger,
}

impl<V: View> Loop<V> {
    fn run(&mut self, token: &cancel::Token) {
        let mut observations = 0;
        let mut next = Moment::now();
        while !token.is_cancelled() {
            let now = Moment::now();
            if now < next {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            next = now + OBSERVE_INTERVAL;
            let report = self.executor.report();
            if report.fencing.is_none() {
                self.monitor.set(Vec::new());
                continue;
            }
            self.observe();
            observations += 1;
            if observations % OBSERVATIONS_PER_PLAN == 0 {
                self.plan(&report);
            }
        }
    }

    fn observe(&mut self) {
        for counts in self.view.offered() {
            let now = Moment::now();
            self.planner.observe(&self.data_centre, &counts.process, &counts.offered, now);
        }
    }

    fn plan(&mut self, report: &Report) {
        let deployments = self.view.deployments();
        let targets = self.view.targets();
        let input = Input { deployments: &deployments, targets: &targets, open: &report.open };
        let output = self.planner.plan(input, Moment::now());
        self.monitor.set(output.pools);
        for proposal in output.proposals {
            let target = proposal.target.clone();
            if let Err(refusal) = self.proposals.send(proposal) {
                warn!(self.log, "the executor's queue refused a proposal"; "target" => %target,
                    "refusal" => %refusal);
            }
        }
    }
}

/// Orders and pools for operators; `None` if this process doesn't hold the lease.
pub fn summary(executor: &executor::Monitor, planning: &Monitor) -> Option<operator::Orders> {
    let report = executor.report();
    let fencing = report.fencing?;
    let open = report.open.iter().map(|task| operator::Order {
        target: task.intent.target.clone(),
        action: task.intent.action.to_string(),
        reason: task.reason.clone(),
        state: String::from("open"),
    });
    let ended = report.outcomes.iter().map(|outcome| operator::Order {
        target: outcome.target.clone(),
        action: outcome.action.clone(),
        reason: outcome.reason.clone(),
        state: outcome.ending.to_string(),
    });
    Some(operator::Orders {
        fencing,
        pools: planning.pools(),
        open: open.collect(),
        waiting: report.waiting,
        ended: ended.collect(),
    })
}
