//! The state of one branch.

use common::name;
use serde::{Deserialize, Serialize};
use settings::check;

use crate::{
    claim,
    command::Command,
    declaration::{
        self, Change, Refusal,
        history::{self, History, KeepVenture},
    },
    dissolution::{self, Action, FENCING_STRIDE, Identity, Phase, Step},
    drain, intent, lease,
    query::{self, Answer, Query},
    reply::Reply,
    snapshot, time,
};

/// The state of one branch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    branch: name::Branch,
    clock: time::Clock,
    declarations: History,
    leases: lease::Table,
    intents: intent::Table,
    claims: claim::Table,
    drains: drain::Table,
    phase: Phase,
    identity: Identity,
}

impl State {
    /// The state of a branch before its first command.
    pub fn new(branch: name::Branch) -> State {
        State { branch, ..State::default() }
    }

    /// The branch.
    pub fn branch(&self) -> &name::Branch {
        &self.branch
    }

    /// The declarations and their history.
    pub fn declarations(&self) -> &History {
        &self.declarations
    }

    /// Applies the command at `index` of the log; each index is higher than the one before.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::Advance(advance) => {
                let reply = self.clock.apply(*advance);
                self.claims.expire(self.clock);
                Reply::Time(reply)
            }
            Command::Declare(request) => Reply::Declaration(self.declare(index, request)),
            Command::Grant(grant) => Reply::Lease(self.grant(index, grant)),
            Command::Renew(renew) => Reply::Lease(self.leases.renew(self.clock, renew)),
            Command::Release(release) => Reply::Lease(self.leases.release(release)),
            Command::Open(open) => Reply::Intent(self.open(index, open)),
            Command::Settle(settle) => Reply::Intent(self.settle(settle)),
            Command::Claim(begin) => Reply::Claim(self.claims.begin(self.clock, begin)),
            Command::TakeOver(take) => Reply::Claim(self.claims.take_over(self.clock, take)),
            Command::Finish(finish) => Reply::Claim(self.claims.finish(finish)),
            Command::Abandon(abandon) => Reply::Claim(self.claims.abandon(abandon)),
            Command::MarkLost(lost) => Reply::Claim(self.claims.mark_lost(lost)),
            Command::Drain(set) => Reply::Drain(self.drains.set(set)),
            Command::Dissolve(step) => Reply::Dissolution(self.dissolve(index, step)),
        }
    }

    /// Answers a query.
    pub fn query(&self, query: &Query) -> Answer {
        match query {
            Query::Summary => Answer::Summary(self.summary()),
            Query::Content => Answer::Content(Box::new(self.declarations_in_force())),
            Query::ContentAt { version } => self.declarations_at(*version),
            Query::Changes { since } => Answer::Changes(self.changes(*since)),
            Query::History { limit } => {
                let records = self.declarations.revisions().rev().take(*limit);
                Answer::History(records.map(|revision| revision.record.clone()).collect())
            }
            Query::Leases => Answer::Leases(self.leases()),
            Query::Intents { data_centre } => Answer::Intents(self.intents(data_centre)),
            Query::Drains { data_centre } => Answer::Drains(self.drains(data_centre)),
            Query::Request { id } => Answer::Request(self.declarations.reply_to(id).cloned()),
            Query::Claim { key } => Answer::Claim(self.claims.find(self.clock, key)),
            Query::Time => Answer::Time(self.time()),
        }
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns a [`snapshot::Error`] if the bytes are not the encoding of a state.
    pub fn decode(bytes: &[u8]) -> Result<State, snapshot::Error> {
        snapshot::decode(bytes)
    }

    fn declare(&mut self, index: u64, request: &declaration::Request) -> declaration::Reply {
        let adopts = matches!(request.change, Change::Adopt { .. });
        let refusal = match &self.phase {
            Phase::Detached { plan } if adopts => Some(Refusal::Closed { plan: plan.clone() }),
            Phase::Joint | Phase::Detached { .. } => None,
            Phase::Frozen { plan } | Phase::WrittenOut { plan } => {
                Some(Refusal::Frozen { plan: plan.clone() })
            }
            Phase::Closed { plan } => Some(Refusal::Closed { plan: plan.clone() }),
        };
        let is_venture = self.branch.0 == check::VENTURE_BRANCH;
        let keep_venture = if is_venture { KeepVenture::No } else { KeepVenture::Yes };
        self.declarations.declare(index, request, refusal, keep_venture)
    }

    fn grant(&mut self, index: u64, grant: &lease::Grant) -> lease::Reply {
        let fencing = self.identity.fencing_base + index;
        self.leases.grant(self.clock, fencing, grant)
    }

    fn open(&mut self, index: u64, open: &intent::Open) -> intent::Reply {
        if !self.leases.allows(&open.data_centre, open.fencing) {
            return intent::Reply::Stale;
        }
        self.intents.open(index, open)
    }

    fn settle(&mut self, settle: &intent::Settle) -> intent::Reply {
        if !self.leases.allows(&settle.data_centre, settle.fencing) {
            return intent::Reply::Stale;
        }
        self.intents.settle(settle)
    }

    fn dissolve(&mut self, index: u64, step: &Step) -> dissolution::Reply {
        let next = self.next_phase(step);
        let done = next.is_some();
        if let Some(next) = next.filter(|next| *next != self.phase) {
            self.enter(index, step, next);
        }
        let (phase, version) = (self.phase.clone(), self.declarations.version());
        if done {
            dissolution::Reply::Done { phase, version }
        } else {
            dissolution::Reply::Refused { phase, version }
        }
    }

    /// The phase after `step`, which is the current one if the step was performed before; `None` if it isn't allowed.
    fn next_phase(&self, step: &Step) -> Option<Phase> {
        let plan = step.plan.clone();
        let is_same_plan = self.phase.plan() == Some(step.plan.as_str());
        if !is_same_plan && self.phase != Phase::Joint {
            return None;
        }
        match (&step.action, &self.phase) {
            (Action::Freeze { version }, Phase::Joint) => {
                (*version == self.declarations.version()).then_some(Phase::Frozen { plan })
            }
            (Action::Freeze { .. }, phase) => Some(phase.clone()),
            (Action::Thaw, Phase::Frozen { .. } | Phase::WrittenOut { .. } | Phase::Joint) => {
                Some(Phase::Joint)
            }
            (Action::WriteOut, Phase::Frozen { .. }) => Some(Phase::WrittenOut { plan }),
            (Action::WriteOut, phase @ (Phase::WrittenOut { .. } | Phase::Detached { .. })) => {
                Some(phase.clone())
            }
            (Action::Detach { .. }, Phase::WrittenOut { .. } | Phase::Detached { .. }) => {
                Some(Phase::Detached { plan })
            }
            (Action::Close, Phase::Frozen { .. } | Phase::Closed { .. }) => {
                Some(Phase::Closed { plan })
            }
            _ => None,
        }
    }

    fn enter(&mut self, index: u64, step: &Step, next: Phase) {
        match &step.action {
            Action::WriteOut => {
                let after = history::written_out(self.declarations.content());
                self.declarations.write_out(index, &step.author, &after);
            }
            Action::Detach { identity } => {
                self.identity.name = identity.clone();
                self.identity.fencing_base += FENCING_STRIDE;
                self.leases.void();
            }
            Action::Close => self.leases.void(),
            Action::Freeze { .. } | Action::Thaw => {}
        }
        self.phase = next;
    }

    fn summary(&self) -> query::Summary {
        query::Summary {
            branch: self.branch.clone(),
            version: self.declarations.version(),
            venture_version: self.declarations.venture_version(),
            phase: self.phase.clone(),
            identity: self.identity.clone(),
            claims: self.claims.len(),
            open_intents: self.intents.iter().filter(|(_, record)| record.open.is_some()).count(),
        }
    }

    fn declarations_in_force(&self) -> query::Declarations {
        query::Declarations {
            version: self.declarations.version(),
            venture_version: self.declarations.venture_version(),
            content: self.declarations.content().clone(),
        }
    }

    fn declarations_at(&self, version: u64) -> Answer {
        match self.declarations.content_at(version) {
            Some(content) => Answer::Content(Box::new(query::Declarations {
                version,
                venture_version: self.declarations.venture_version(),
                content,
            })),
            None => Answer::NoVersion { oldest: self.declarations.oldest() },
        }
    }

    fn changes(&self, since: u64) -> query::Changes {
        if since == self.declarations.version() {
            return query::Changes::None;
        }
        match self.declarations.since(since) {
            Some(revisions) => query::Changes::Deltas(
                revisions
                    .into_iter()
                    .map(|revision| query::Revision {
                        version: revision.record.version,
                        venture_version: revision.venture_version,
                        delta: revision.forward.clone(),
                    })
                    .collect(),
            ),
            None => query::Changes::Snapshot(Box::new(self.declarations_in_force())),
        }
    }

    fn leases(&self) -> Vec<query::Lease> {
        self.leases
            .iter()
            .map(|(data_centre, lease)| query::Lease {
                data_centre: data_centre.clone(),
                lease: lease.clone(),
            })
            .collect()
    }

    fn intents(&self, data_centre: &name::DataCentre) -> Vec<query::Intent> {
        self.intents
            .iter()
            .filter(|(_, record)| record.data_centre == *data_centre)
            .map(|(target, record)| query::Intent {
                target: target.clone(),
                record: record.clone(),
            })
            .collect()
    }

    fn drains(&self, data_centre: &name::DataCentre) -> Vec<query::Drain> {
        self.drains
            .iter()
            .filter(|(_, mark)| mark.data_centre == *data_centre)
            .map(|(target, mark)| query::Drain { target: target.clone(), mark: mark.clone() })
            .collect()
    }

    fn time(&self) -> query::Time {
        let needed = self.leases.has_unexpired(self.clock) || !self.claims.is_empty();
        query::Time {
            now_ms: self.clock.now_ms,
            needed: if needed { query::Needed::Yes } else { query::Needed::No },
        }
    }
}
