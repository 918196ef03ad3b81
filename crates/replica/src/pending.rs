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
pub(crate) type Reply = oneshot::Sender<Outcome>;

/// A question and where its answer goes.
#[derive(Debug)]
pub(crate) struct Question {
    pub query: Vec<u8>,
    pub reply: Reply,
}

/// Calls that wait for the log.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    last_operation: u64,
    proposed: Map<OperationId, Reply>,
    placed: BTreeMap<u64, Placed>,
    questions: Map<OperationId, Vec<Question>>,
}

/// A command that stands in the log.
#[derive(Debug)]
struct Placed {
    term: u64,
    reply: Reply,
}

impl Pending {
    /// Calls that have not had their outcome.
    pub(crate) fn len(&self) -> usize {
        self.proposed.len() + self.placed.len()
    }

    pub(crate) fn propose(&mut self, reply: Reply) -> OperationId {
        let operation = self.next_operation();
        self.proposed.insert(operation, reply);
        operation
    }

    pub(crate) fn ask(&mut self, questions: Vec<Question>) -> OperationId {
        let operation = self.next_operation();
        self.questions.insert(operation, questions);
        operation
    }

    fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        OperationId(self.last_operation)
    }

    /// Notes where a command stands.
    pub(crate) fn place(&mut self, operation: OperationId, position: Position) {
        if let Some(reply) = self.proposed.remove(&operation) {
            let placed = Placed { term: position.term, reply };
            let replaced = self.placed.insert(position.index, placed);
            replaced.into_iter().for_each(|placed| answer(placed.reply, overwritten()));
        }
    }

    /// Takes the call whose command stands at `position`.
    pub(crate) fn applied(&mut self, position: Position) -> Option<Reply> {
        let placed = self.placed.remove(&position.index)?;
        if placed.term == position.term {
            return Some(placed.reply);
        }
        answer(placed.reply, overwritten());
        None
    }

    /// Gives up on commands up to `index`, which a snapshot has passed over.
    pub(crate) fn passed_over(&mut self, index: u64) {
        let later = self.placed.split_off(&(index + 1));
        for placed in std::mem::replace(&mut self.placed, later).into_values() {
            let reason = String::from("the replica was caught up past the command");
            answer(placed.reply, Outcome::Unknown { reason });
        }
    }

    /// Takes the questions that may be answered now.
    pub(crate) fn readable(&mut self, operation: OperationId) -> Vec<Question> {
        self.questions.remove(&operation).unwrap_or_default()
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
        for question in self.readable(operation) {
            answer(question.reply, outcome.clone());
        }
        if let Some(reply) = self.proposed.remove(&operation) {
            answer(reply, outcome);
        }
    }
}

/// Gives a call its outcome; the caller may have gone.
pub(crate) fn answer(reply: Reply, outcome: Outcome) {
    let _gone = reply.send(outcome);
}

fn overwritten() -> Outcome {
    Outcome::Refused {
        reason: String::from("another leader's entry stands in the command's place"),
    }
}
