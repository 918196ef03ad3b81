//! Calls that wait for the log.

use std::collections::BTreeMap;

use common::collections::Map;
use consensus::{
    effect::{OperationId, Refusal},
    entry::Position,
};
use tokio::sync::oneshot;
use wire::log::Outcome;

/// Where a call's outcome goes.
pub(crate) type Responder = oneshot::Sender<Outcome>;

/// A query and where its answer goes.
#[derive(Debug)]
pub(crate) struct Query {
    pub payload: Vec<u8>,
    pub responder: Responder,
}

/// Calls that wait for the log.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    last_operation: u64,
    proposed: Map<OperationId, Responder>,
    appended: BTreeMap<u64, AppendedCall>,
    queries: Map<OperationId, Vec<Query>>,
}

/// A command that stands in the log.
#[derive(Debug)]
struct AppendedCall {
    term: u64,
    responder: Responder,
}

impl Pending {
    /// Calls that have not had their outcome.
    pub(crate) fn len(&self) -> usize {
        self.proposed.len() + self.appended.len()
    }

    pub(crate) fn propose(&mut self, responder: Responder) -> OperationId {
        let operation = self.next_operation();
        self.proposed.insert(operation, responder);
        operation
    }

    pub(crate) fn read(&mut self, queries: Vec<Query>) -> OperationId {
        let operation = self.next_operation();
        self.queries.insert(operation, queries);
        operation
    }

    fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        OperationId(self.last_operation)
    }

    /// Notes where a command stands.
    pub(crate) fn record_appended(&mut self, operation: OperationId, position: Position) {
        if let Some(responder) = self.proposed.remove(&operation) {
            let appended = AppendedCall { term: position.term, responder };
            let replaced = self.appended.insert(position.index, appended);
            replaced.into_iter().for_each(|appended| respond(appended.responder, overwritten()));
        }
    }

    /// Takes the call whose command stands at `position`.
    pub(crate) fn applied(&mut self, position: Position) -> Option<Responder> {
        let appended = self.appended.remove(&position.index)?;
        if appended.term == position.term {
            return Some(appended.responder);
        }
        respond(appended.responder, overwritten());
        None
    }

    /// Gives up on commands up to `index`, which a snapshot has passed over.
    pub(crate) fn drop_skipped(&mut self, index: u64) {
        let later = self.appended.split_off(&(index + 1));
        for appended in std::mem::replace(&mut self.appended, later).into_values() {
            let reason = String::from("the replica was caught up past the command");
            respond(appended.responder, Outcome::Unknown { reason });
        }
    }

    /// Takes the queries that may be answered now.
    pub(crate) fn take_queries(&mut self, operation: OperationId) -> Vec<Query> {
        self.queries.remove(&operation).unwrap_or_default()
    }

    pub(crate) fn refuse(&mut self, operation: OperationId, refusal: Refusal) {
        let outcome = match refusal {
            Refusal::NotLeader { leader } => {
                Outcome::NotLeader { leader: leader.map(|member| member.instance) }
            }
            Refusal::Busy | Refusal::InvalidChange(_) => {
                Outcome::Refused { reason: refusal.to_string() }
            }
        };
        for query in self.take_queries(operation) {
            respond(query.responder, outcome.clone());
        }
        if let Some(responder) = self.proposed.remove(&operation) {
            respond(responder, outcome);
        }
    }
}

/// Gives a call its outcome; the caller may have gone.
pub(crate) fn respond(responder: Responder, outcome: Outcome) {
    let _gone = responder.send(outcome);
}

fn overwritten() -> Outcome {
    Outcome::Refused {
        reason: String::from("another leader's entry stands in the command's place"),
    }
}
