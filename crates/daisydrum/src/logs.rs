//! The replicated logs as this instance reaches them.

use std::{future, time::Duration};

use common::name;
use control::{
    command::Command,
    query::{Answer, Query},
    reply::Reply,
};
use spread::authority::{Authority, Failure};

/// The replicated logs as this instance reaches them.
#[derive(Clone, Debug)]
pub enum Logs {
    /// No instance of the settings keeps a replica; the tree is read from its folder.
    Absent,
}

impl Authority for Logs {
    fn submit(
        &self,
        _branch: &name::Branch,
        _command: Command,
        _limit: Duration,
    ) -> impl Future<Output = Result<Reply, Failure>> + Send {
        future::ready(Err(absent()))
    }

    fn query(
        &self,
        _branch: &name::Branch,
        _query: Query,
        _limit: Duration,
    ) -> impl Future<Output = Result<Answer, Failure>> + Send {
        future::ready(Err(absent()))
    }
}

fn absent() -> Failure {
    Failure::NotAccepted { reason: String::from("no instance keeps a replicated log") }
}
