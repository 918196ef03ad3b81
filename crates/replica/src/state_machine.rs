//! Replicated state machines: state that the commands of a log build up.

use control::{command, query, reply, snapshot, state};
use serde::{Serialize, de::DeserializeOwned};

/// State that changes only through the commands of its log, deterministically.
pub trait StateMachine: Clone + Send + Sized + 'static {
    /// A command, which changes the state.
    type Command: Serialize + DeserializeOwned;
    /// The reply to a command.
    type Reply: Serialize + DeserializeOwned;
    /// A query, which reads the state.
    type Query: Serialize + DeserializeOwned;
    /// The answer to a query.
    type Answer: Serialize + DeserializeOwned;
    /// Why a snapshot can't be decoded.
    type Error: std::fmt::Display;

    /// Applies the command at `index` of the log. Each index is greater than the previous one.
    fn apply(&mut self, index: u64, command: &Self::Command) -> Self::Reply;

    /// Called after a batch of commands has been applied, before their replies are given.
    fn finish_batch(&self) {}

    /// Answers a query.
    fn query(&self, query: &Self::Query) -> Self::Answer;

    /// Encodes the state for a snapshot.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a snapshot into a state that replaces this one.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes don't encode a state.
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
