//! The executor's report, for the planner and for operators.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use common::{clock, name};
use serde::{Deserialize, Serialize};

use super::epoch::Epoch;
use crate::intent::{Ending, Intent};

/// Most outcomes in a report.
const MAX_OUTCOMES: usize = 50;

/// Shares the report that the executor updates and others read; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Monitor(Arc<Mutex<Report>>);

/// The executor's current intents and latest outcomes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Fencing token of the lease, if this process holds it.
    pub fencing: Option<u64>,
    /// Intents under way.
    pub open: Vec<Task>,
    /// Number of proposals that wait.
    pub waiting: usize,
    /// The latest outcomes, newest first.
    pub outcomes: VecDeque<Outcome>,
}

/// An intent under way, and why it was opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The intent.
    pub intent: Intent,
    /// Why it was opened.
    pub reason: String,
}

/// An intent that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The engine.
    pub target: name::Target,
    /// The action that it was ordered to carry out.
    pub action: String,
    /// Why the intent was opened.
    pub reason: String,
    /// How it ended.
    pub ending: Ending,
    /// When it ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl Monitor {
    /// The current report.
    pub fn report(&self) -> Report {
        self.lock().clone()
    }

    pub(super) fn publish(&self, epoch: Option<&Epoch>, waiting: usize) {
        let mut report = self.lock();
        report.fencing = epoch.map(|epoch| epoch.fencing);
        report.open = epoch.map(Epoch::tasks).unwrap_or_default();
        report.waiting = waiting;
    }

    pub(super) fn add(&self, task: &Task, ending: Ending) {
        let mut report = self.lock();
        report.outcomes.push_front(Outcome {
            target: task.intent.target.clone(),
            action: task.intent.action.to_string(),
            reason: task.reason.clone(),
            ending,
            at_unix_ms: clock::unix_ms(),
        });
        report.outcomes.truncate(MAX_OUTCOMES);
    }

    fn lock(&self) -> MutexGuard<'_, Report> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
