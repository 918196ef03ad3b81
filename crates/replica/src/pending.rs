//! Calls that wait for an outcome from the log.

use std::collections::BTreeMap;

use common::collections::Map;
use consensus::{
    effect::{OperationId, Refusal},
    entry::Position,
};
use tokio::sync::oneshot;
use wire::log::Outcome;

/// Receives the outcome of a call.
pub(crate) type Responder = oneshot::Sender<Outcome>;

/// An encoded query and the receiver of its answer.
#[derive(Debug)]
pub(crate) struct Query {
    pub payload: Vec<u8>,
    pub responder: Responder,
}

/// Calls that wait for an outcome from the log.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    last_operation: u64,
    /// Commands and changes that are not appended yet.
    proposed: Map<OperationId, Responder>,
    /// Commands and changes that are in the log but not applied, by index.
    appended: BTreeMap<u64, AppendedCall>,
    /// Queries by the read that they wait for.
    queries: Map<OperationId, Vec<Query>>,
}

/// A command or change that is in the log.
#[derive(Debug)]
struct AppendedCall {
    term: u64,
    responder: Responder,
}

impl Pending {
    /// Number of commands and changes without an outcome.
    pub(crate) fn len(&self) -> usize {
        self.proposed.len() + self.appended.len()
    }

    /// Registers a command or change under a new number.
    pub(crate) fn propose(&mut self, responder: Responder) -> OperationId {
        let operation = self.next_operation();
        self.proposed.insert(operation, responder);
        operation
    }

    /// Registers queries that wait for one read under a new number.
    pub(crate) fn read(&mut self, queries: Vec<Query>) -> OperationId {
        let operation = self.next_operation();
        self.queries.insert(operation, queries);
        operation
    }

    fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        OperationId(self.last_operation)
    }

    /// Records where a command or change was appended.
    pub(crate) fn record_appended(&mut self, operation: OperationId, position: Position) {
        if let Some(responder) = self.proposed.remove(&operation) {
            let appended = AppendedCall { term: position.term, responder };
            let replaced = self.appended.insert(position.index, appended);
            replaced.into_iter().for_each(|appended| respond(appended.responder, overwritten()));
        }
    }

    /// Takes the call whose command or change is applied at `position`.
    pub(crate) fn applied(&mut self, position: Position) -> Option<Responder> {
        let appended = self.appended.remove(&position.index)?;
        if appended.term == position.term {
            return Some(appended.responder);
        }
        respond(appended.responder, overwritten());
        None
    }

    /// Ends the calls up to `index` with an unknown outcome, since a snapshot replaced their entries.
    pub(crate) fn drop_skipped(&mut self, index: u64) {
        let later = self.appended.split_off(&(index + 1));
        for appended in std::mem::replace(&mut self.appended, later).into_values() {
            let reason = String::from(
                "the replica installed a snapshot instead of applying the command, so its reply is lost",
            );
            respond(appended.responder, Outcome::Unknown { reason });
        }
    }

    /// Takes the queries that waited for this read.
    pub(crate) fn take_queries(&mut self, operation: OperationId) -> Vec<Query> {
        self.queries.remove(&operation).unwrap_or_default()
    }

    /// Gives the calls of a refused operation their outcome.
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

/// Gives a call its outcome. Whoever made the call may no longer wait for it.
pub(crate) fn respond(responder: Responder, outcome: Outcome) {
    let _gone = responder.send(outcome);
}

fn overwritten() -> Outcome {
    Outcome::Refused {
        reason: String::from("another leader's entry replaced the command in the log"),
    }
}
