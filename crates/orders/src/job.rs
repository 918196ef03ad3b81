//! Decides on the next step of one intent from the state that the engine reports.
//!
//! Only the intent and that state are needed, so a new lease holder continues where the former one stopped. An order
//! that would end streams (a role change, an unload) waits until the engine is drained; past the drain limit the drain
//! is undone and the intent fails.

use std::time::Duration;

use common::clock::Moment;
use wire::target::{Action, Ending as Ended, Fencing, Order, Phase, State};

use crate::intent::{Ending, Intent};

/// An intent under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The intent.
    pub intent: Intent,
    /// The holder's fencing token.
    pub fencing: u64,
    /// Whether the engine checks fencing tokens.
    pub checks: Fencing,
    /// When the holder began to work on the intent.
    pub since: Moment,
    /// The engine's incarnation when its state was first read.
    pub incarnation: Option<u64>,
    /// Whether the engine rejected the order as invalid.
    pub rejected: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order, then read the engine's state.
    Send(Order),
    /// Read the engine's state again after a pause.
    Wait,
    /// Record the outcome.
    Settle(Ending),
}

/// Decides on the next step of `job` for an engine in `state`.
pub fn next_step(job: &Job, state: &State, drain_limit: Duration, now: Moment) -> Step {
    if state.open_order.is_some() || state.phase == Phase::Changing {
        return Step::Wait;
    }
    if let Some(last) = state.last_order.as_ref().filter(|last| last.id == job.intent.id) {
        return match last.result {
            Ended::Done => Step::Settle(Ending::Done),
            Ended::Failed => job.fail(state),
        };
    }
    if job.rejected {
        return job.fail(state);
    }
    if job.is_fulfilled(state) {
        return job.finish(state);
    }
    let restarted = job.incarnation.is_some_and(|first| first != state.incarnation);
    let is_leaving = state.phase == Phase::Leaving && job.intent.action != Action::Withdraw;
    if is_leaving || (restarted && job.needs_drain()) {
        return job.fail(state);
    }
    if job.needs_drain() {
        return job.drain_first(state, drain_limit, now);
    }
    Step::Send(job.order())
}

impl Job {
    /// Whether the order would end running streams, so that the engine has to be drained first.
    fn needs_drain(&self) -> bool {
        matches!(self.intent.action, Action::Role { .. } | Action::Unload { .. })
    }

    /// Whether the engine is in the state that the intent asks for.
    fn is_fulfilled(&self, state: &State) -> bool {
        let is_number_known = self.checks == Fencing::Unchecked || state.fencing >= self.fencing;
        match &self.intent.action {
            Action::Role { role } => state.role == *role,
            Action::Load { model } => state.models.contains(model),
            Action::Unload { model } => !state.models.contains(model),
            Action::Drain => state.phase == Phase::Draining && is_number_known,
            Action::Undrain => state.phase == Phase::Ready && is_number_known,
            Action::Withdraw => state.phase == Phase::Leaving && is_number_known,
        }
    }

    fn drain_first(&self, state: &State, limit: Duration, now: Moment) -> Step {
        let late = now.since(self.since) >= limit;
        match state.phase {
            Phase::Draining if state.running == 0 => Step::Send(self.order()),
            Phase::Draining if late => Step::Send(self.undrain()),
            Phase::Ready if late => Step::Settle(Ending::Failed),
            Phase::Ready => Step::Send(self.auxiliary_order("drain", Action::Drain)),
            Phase::Draining | Phase::Changing | Phase::Leaving => Step::Wait,
        }
    }

    /// Ends a fulfilled intent, after undoing a drain that was made for it.
    fn finish(&self, state: &State) -> Step {
        if self.needs_drain() && state.phase == Phase::Draining {
            return Step::Send(self.undrain());
        }
        Step::Settle(Ending::Done)
    }

    /// Ends an intent that failed, after undoing a drain that was made for it.
    fn fail(&self, state: &State) -> Step {
        if self.needs_drain() && state.phase == Phase::Draining {
            return Step::Send(self.undrain());
        }
        Step::Settle(Ending::Failed)
    }

    fn order(&self) -> Order {
        Order {
            id: self.intent.id.clone(),
            fencing: self.fencing,
            action: self.intent.action.clone(),
        }
    }

    fn undrain(&self) -> Order {
        self.auxiliary_order("undrain", Action::Undrain)
    }

    /// A drain or undrain that belongs to the intent; its id is the intent's with a suffix.
    fn auxiliary_order(&self, name: &str, action: Action) -> Order {
        let id = format!("{}/{name}", self.intent.id);
        Order { id, fencing: self.fencing, action }
    }
}
