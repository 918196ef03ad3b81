//! The intents and engines during one epoch: the time for which this process holds one lease.

use std::{collections::VecDeque, time::Duration};

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
    ring::Sender,
};
use slog::{Logger, info, warn};
use wire::target::{Action, Fencing, Phase, Reply, State};

use super::monitor::{Monitor, Task};
use crate::{
    authority::{Authority, Error, Opening},
    client::{Answer, Call, Operation, Response},
    intent::{Ending, Intent, Proposal, Record, Settled},
    inventory::Engine,
    job::{self, Job, Step},
    limiter::Limiter,
    reconciliation,
};

/// A proposal that has not become an intent yet.
#[derive(Clone, Debug)]
pub struct Waiting {
    proposal: Proposal,
    /// The id under which the log was asked to record it, if it was; the log may have done so.
    id: Option<String>,
}

/// The state of the lease holder under one fencing token.
#[derive(Debug)]
pub struct Epoch {
    /// The fencing token.
    pub fencing: u64,
    /// Distinguishes the epochs of this process.
    number: u64,
    data_centre: name::DataCentre,
    engines: Map<name::Target, Engine>,
    jobs: Map<name::Target, Active>,
    last: Map<name::Target, Settled>,
    /// The incarnation of each engine that was last compared with its intended state.
    reconciled: Map<name::Target, u64>,
    probe_at: Map<name::Target, Moment>,
    /// Engines with a call under way.
    calling: Set<name::Target>,
    proposals: Vec<Proposal>,
    opened: u64,
    superseded: bool,
}

#[derive(Debug)]
struct Active {
    job: Job,
    reason: String,
    next: Next,
    missing_since: Option<Moment>,
}

#[derive(Debug)]
enum Next {
    ReadAt(Moment),
    Send(wire::target::Order),
    Settle(Ending),
}

impl Waiting {
    /// A proposal that the log hasn't been asked to record.
    pub fn new(proposal: Proposal) -> Waiting {
        Waiting { proposal, id: None }
    }

    /// Whether `proposal` is for the same engine and action.
    pub fn is_same_as(&self, proposal: &Proposal) -> bool {
        self.proposal.target == proposal.target && self.proposal.action == proposal.action
    }

    /// Whether the log has certainly not recorded an intent for it.
    pub fn is_certainly_not_recorded(&self) -> bool {
        self.id.is_none()
    }
}

impl Epoch {
    /// Starts an epoch from the records in the log.
    pub fn new(
        data_centre: name::DataCentre,
        fencing: u64,
        number: u64,
        records: Vec<Record>,
    ) -> Epoch {
        let mut epoch = Epoch {
            fencing,
            number,
            data_centre,
            engines: Map::default(),
            jobs: Map::default(),
            last: Map::default(),
            reconciled: Map::default(),
            probe_at: Map::default(),
            calling: Set::default(),
            proposals: Vec::new(),
            opened: 0,
            superseded: false,
        };
        for record in records {
            if let Some(last) = record.last {
                epoch.last.insert(record.target.clone(), last);
            }
            if let Some(intent) = record.open {
                epoch.begin(intent, String::from("open when the lease was taken"));
            }
        }
        epoch
    }

    /// Number of intents under way.
    pub fn open_count(&self) -> usize {
        self.jobs.len()
    }

    /// Intents under way, for operators.
    pub fn tasks(&self) -> Vec<Task> {
        let mut tasks: Vec<Task> = self.jobs.values().map(Active::task).collect();
        tasks.sort_by(|a, b| a.intent.target.cmp(&b.intent.target));
        tasks
    }

    /// Whether an engine has seen a higher fencing token.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether a call is under way.
    pub fn is_calling(&self) -> bool {
        !self.calling.is_empty()
    }

    /// Replaces the announced engines.
    pub fn set_engines(&mut self, engines: Vec<Engine>, now: Moment) {
        self.engines = engines.into_iter().map(|engine| (engine.name.clone(), engine)).collect();
        for (target, active) in &mut self.jobs {
            match self.engines.get(target) {
                Some(engine) => {
                    active.job.checks = engine.fencing;
                    active.missing_since = None;
                }
                None => {
                    active.missing_since.get_or_insert(now);
                }
            }
        }
    }

    /// Handles the result of a call; results from earlier epochs are ignored.
    pub fn receive(&mut self, response: Response, log: &Logger) {
        if response.epoch != self.number {
            return;
        }
        self.calling.remove(&response.target);
        if let Err(error) = &response.result {
            warn!(log, "call to an engine failed"; "target" => %response.target, "fault" => %error);
        }
        let now = Moment::now();
        let limit = self.engines.get(&response.target).map(|engine| engine.drain_limit);
        match (self.jobs.get_mut(&response.target), response.result) {
            (_, Ok(Answer::Reply(Reply::Stale { highest }))) => {
                warn!(log, "an engine has seen a higher fencing number"; "target" => %response.target,
                    "highest" => highest, "fencing" => self.fencing);
                self.superseded = true;
            }
            (Some(active), Ok(answer)) => active.receive(answer, limit.unwrap_or_default(), now),
            (None, Ok(Answer::State(state))) => self.inspect(&response.target, &state),
            (None, Ok(Answer::Reply(_))) | (_, Err(_)) => {}
        }
    }

    fn inspect(&mut self, target: &name::Target, state: &State) {
        if state.open_order.is_some() || state.phase == Phase::Changing {
            return;
        }
        let checks = self.engines.get(target).map_or(Fencing::Unchecked, |engine| engine.fencing);
        let last = self.last.get(target);
        if let Some(action) = reconciliation::corrective_action(last, state, checks, self.fencing) {
            let reason = String::from(
                "engine differs from its intended state or hasn't seen the lease's fencing token",
            );
            self.proposals.push(Proposal { target: target.clone(), action, reason });
        }
        self.reconciled.insert(target.clone(), state.incarnation);
    }

    /// Proposes to drain the engines in `wanted`, and to undrain those that are drained and no longer wanted so.
    pub fn propose_drains(&mut self, wanted: &[name::Target]) {
        for target in self.engines.keys().filter(|target| !self.jobs.contains_key(*target)) {
            let last = self.last.get(target).filter(|last| last.ending == Ending::Done);
            let is_drained = last.is_some_and(|last| last.intent.action == Action::Drain);
            let action = match (wanted.contains(target), is_drained) {
                (true, false) => Action::Drain,
                (false, true) => Action::Undrain,
                (true, true) | (false, false) => continue,
            };
            let reason = String::from("drain mark set or removed by an operator");
            self.proposals.push(Proposal { target: target.clone(), action, reason });
        }
    }

    /// Puts the epoch's own proposals, from drain marks and reconciliation, before all other proposals.
    pub fn enqueue_proposals(&mut self, waiting: &mut VecDeque<Waiting>) {
        for proposal in self.proposals.drain(..) {
            if !waiting.iter().any(|other| other.is_same_as(&proposal)) {
                waiting.push_front(Waiting::new(proposal));
            }
        }
    }

    /// Records the outcomes of intents that have ended, as long as it is earlier than `until`.
    ///
    /// # Errors
    ///
    /// Returns the log's error; outcomes that aren't recorded are tried again in the next call.
    pub fn settle<A: Authority>(
        &mut self,
        authority: &mut A,
        until: Moment,
        monitor: &Monitor,
        log: &Logger,
    ) -> Result<(), Error> {
        let ended: Vec<Settled> = self.jobs.values().filter_map(Active::ended).collect();
        for settled in ended {
            if Moment::now() >= until {
                break;
            }
            authority.settle(self.fencing, &settled.intent, settled.ending)?;
            let target = settled.intent.target.clone();
            if let Some(active) = self.jobs.remove(&target) {
                info!(log, "intent ended"; "id" => &settled.intent.id, "target" => %target,
                    "action" => %settled.intent.action, "ending" => %settled.ending);
                monitor.add(&active.task(), settled.ending);
            }
            self.last.insert(target, settled);
        }
        Ok(())
    }

    /// Opens intents for the waiting proposals whose engine has none and whose load the limiter allows, as long as it is
    /// earlier than `until`.
    ///
    /// # Errors
    ///
    /// Returns the log's error; proposals without an intent stay in the queue.
    pub fn open_intents<A: Authority>(
        &mut self,
        waiting: &mut VecDeque<Waiting>,
        until: Moment,
        limiter: &mut Limiter,
        authority: &mut A,
        log: &Logger,
    ) -> Result<(), Error> {
        for _ in 0..waiting.len() {
            if Moment::now() >= until {
                break;
            }
            let Some(mut next) = waiting.pop_front() else { break };
            if !self.engines.contains_key(&next.proposal.target) {
                warn!(log, "proposal dropped: no such engine is announced";
                    "target" => %next.proposal.target);
                continue;
            }
            if !self.may_begin(&next, limiter) {
                waiting.push_back(next);
                continue;
            }
            let intent = self.make_intent(&mut next);
            match authority.open(self.fencing, &intent) {
                Ok(Opening::Opened) => {
                    info!(log, "intent opened"; "id" => &intent.id, "target" => %intent.target,
                        "action" => %intent.action, "reason" => &next.proposal.reason);
                    self.begin(intent, next.proposal.reason);
                }
                Ok(Opening::Ended(_)) => {}
                Ok(Opening::Busy(open)) => {
                    self.begin(open, String::from("found open in the log"));
                    waiting.push_back(next);
                }
                Ok(Opening::Full) => waiting.push_back(next),
                Err(error) => {
                    waiting.push_front(next);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    fn may_begin(&self, next: &Waiting, limiter: &mut Limiter) -> bool {
        if self.jobs.contains_key(&next.proposal.target) {
            return false;
        }
        let is_load = |action: &Action| matches!(action, Action::Load { .. });
        if !is_load(&next.proposal.action) || next.id.is_some() {
            return true;
        }
        let loads = self.jobs.values().filter(|active| is_load(&active.job.intent.action)).count();
        limiter.take(u32::try_from(loads).unwrap_or(u32::MAX), Moment::now())
    }

    fn make_intent(&mut self, next: &mut Waiting) -> Intent {
        self.opened += 1;
        let new_id = || format!("{}-{}-{}", self.data_centre, self.fencing, self.opened);
        let id = next.id.get_or_insert_with(new_id).clone();
        Intent { id, target: next.proposal.target.clone(), action: next.proposal.action.clone() }
    }

    fn begin(&mut self, intent: Intent, reason: String) {
        let now = Moment::now();
        let job = Job {
            fencing: self.fencing,
            checks: Fencing::Checked,
            since: now,
            incarnation: None,
            rejected: false,
            intent,
        };
        let target = job.intent.target.clone();
        let active = Active { job, reason, next: Next::ReadAt(now), missing_since: None };
        self.jobs.insert(target, active);
    }

    /// Starts the calls that are due, at most one at a time for each engine, and settles the intents of gone engines.
    pub fn start_calls(
        &mut self,
        calls: &Sender<Call>,
        poll_interval: Duration,
        gone_after: Duration,
    ) {
        let now = Moment::now();
        for (target, engine) in &self.engines {
            if self.calling.contains(target) {
                continue;
            }
            let operation = match self.jobs.get_mut(target) {
                Some(active) => active.due(now, poll_interval),
                None => self.probe(engine, now),
            };
            let Some(operation) = operation else { continue };
            let call = Call {
                target: target.clone(),
                address: engine.address,
                operation,
                epoch: self.number,
            };
            if calls.send(call).is_err() {
                break;
            }
            self.calling.insert(target.clone());
            self.probe_at.insert(target.clone(), now + poll_interval);
        }
        for active in self.jobs.values_mut() {
            if active.missing_since.is_some_and(|since| now.since(since) >= gone_after) {
                active.next = Next::Settle(Ending::Gone);
            }
        }
    }

    fn probe(&self, engine: &Engine, now: Moment) -> Option<Operation> {
        let is_reconciled = self.reconciled.get(&engine.name) == Some(&engine.incarnation);
        let is_due = self.probe_at.get(&engine.name).is_none_or(|at| *at <= now);
        (!is_reconciled && is_due).then_some(Operation::Read)
    }
}

impl Active {
    fn task(&self) -> Task {
        Task { intent: self.job.intent.clone(), reason: self.reason.clone() }
    }

    fn ended(&self) -> Option<Settled> {
        match self.next {
            Next::Settle(ending) => Some(Settled { intent: self.job.intent.clone(), ending }),
            Next::ReadAt(_) | Next::Send(_) => None,
        }
    }

    fn receive(&mut self, answer: Answer, drain_limit: Duration, now: Moment) {
        match answer {
            Answer::State(state) => {
                let step = job::next_step(&self.job, &state, drain_limit, now);
                self.job.incarnation.get_or_insert(state.incarnation);
                match step {
                    Step::Send(order) => self.next = Next::Send(order),
                    Step::Settle(ending) => self.next = Next::Settle(ending),
                    Step::Wait => {}
                }
            }
            Answer::Reply(Reply::Invalid { .. }) => self.job.rejected = true,
            Answer::Reply(_) => self.next = Next::ReadAt(now),
        }
    }

    /// The operation that is due, if any. After each order the engine's state is read before the next step.
    fn due(&mut self, now: Moment, poll_interval: Duration) -> Option<Operation> {
        let next = std::mem::replace(&mut self.next, Next::ReadAt(now + poll_interval));
        match next {
            Next::ReadAt(at) if at <= now => Some(Operation::Read),
            Next::Send(order) => Some(Operation::Send(order)),
            next => {
                self.next = next;
                None
            }
        }
    }
}
