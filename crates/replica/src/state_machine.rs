//! The state that a log builds up.

use control::{command, query, reply, snapshot, state};
use serde::{Serialize, de::DeserializeOwned};

/// A state that changes only by the commands of its log.
pub trait StateMachine: Clone + Send + Sized + 'static {
    /// A command.
    type Command: Serialize + DeserializeOwned;
    /// The reply to a command.
    type Reply: Serialize + DeserializeOwned;
    /// A question.
    type Query: Serialize + DeserializeOwned;
    /// The answer to a question.
    type Answer: Serialize + DeserializeOwned;
    /// Why a snapshot can't be read.
    type Error: std::fmt::Display;

    /// Applies the command at `index` of the log. Indexes grow.
    fn apply(&mut self, index: u64, command: &Self::Command) -> Self::Reply;

    /// Answers a question.
    fn query(&self, query: &Self::Query) -> Self::Answer;

    /// Encodes the state for a snapshot.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a snapshot into a state that takes the place of this one.
    ///
    /// # Errors
    ///
    /// Returns the fault when the bytes are not the encoding of a state.
    fn decode(&self, bytes: &[u8]) -> Result<Self, Self::Error>;
}

impl StateMachine for state::State {
    type Command = command::Command;
    type Reply = reply::Reply;
    type Query = query::Query;
    type Answer = query::Answer;
    type Error = snapshot::Error;

    fn apply(&mut self, index: u64, command: &command::Command) -> reply::Reply {
        state::State::apply(self, index, command)
    }

    fn query(&self, query: &query::Query) -> query::Answer {
        state::State::query(self, query)
    }

    fn encode(&self) -> Vec<u8> {
        state::State::encode(self)
    }

    fn decode(&self, bytes: &[u8]) -> Result<state::State, snapshot::Error> {
        state::State::decode(bytes)
    }
}
