//! Client interface of the replicated logs.

use std::{
    future::{self, Future},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{collections::Map, name};
use control::{
    command::Command,
    query::{Answer, Query},
    reply::Reply,
    state::State,
};

pub use wire::log::Error;

/// Submits commands to the replicated logs and queries their states.
pub trait Client: Clone + Send + Sync + 'static {
    /// Submits a command to a branch's log and waits up to `limit` for its reply.
    fn submit(
        &self,
        branch: &name::Branch,
        command: Command,
        limit: Duration,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;

    /// Queries a branch's state, waiting up to `limit`. The answer reflects all commands accepted before the call.
    fn query(
        &self,
        branch: &name::Branch,
        query: Query,
        limit: Duration,
    ) -> impl Future<Output = Result<Answer, Error>> + Send;
}

/// Logs in memory without replicas, for tests and measurements in one process.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    branches: Arc<Mutex<Map<name::Branch, Log>>>,
}

#[derive(Debug, Default)]
struct Log {
    index: u64,
    state: State,
}

impl Memory {
    fn with<T>(&self, branch: &name::Branch, work: impl FnOnce(&mut Log) -> T) -> T {
        let mut branches = self.branches.lock().unwrap_or_else(PoisonError::into_inner);
        let log = branches
            .entry(branch.clone())
            .or_insert_with(|| Log { index: 0, state: State::new(branch.clone()) });
        work(log)
    }
}

impl Client for Memory {
    fn submit(
        &self,
        branch: &name::Branch,
        command: Command,
        _limit: Duration,
    ) -> impl Future<Output = Result<Reply, Error>> + Send {
        let reply = self.with(branch, |log| {
            log.index += 1;
            log.state.apply(log.index, &command)
        });
        future::ready(Ok(reply))
    }

    fn query(
        &self,
        branch: &name::Branch,
        query: Query,
        _limit: Duration,
    ) -> impl Future<Output = Result<Answer, Error>> + Send {
        future::ready(Ok(self.with(branch, |log| log.state.query(&query))))
    }
}
