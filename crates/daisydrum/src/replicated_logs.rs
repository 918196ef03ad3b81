//! Client of the branches' replicated logs.

use std::time::Duration;

use common::name;
use control::{
    command::Command,
    query::{Answer, Query},
    reply::Reply,
};
use replica::client::Client;
use spread::replicated_log::{self, Error};

/// Client of the replicated logs, whose replicas may be on this instance or on others.
#[derive(Clone, Debug)]
pub enum Logs {
    /// No instance in the settings keeps a replica; the tree is read from its folder.
    Absent,
    /// At least one instance keeps a replica.
    Replicated(Client),
}

impl replicated_log::Client for Logs {
    async fn submit(
        &self,
        branch: &name::Branch,
        command: Command,
        limit: Duration,
    ) -> Result<Reply, Error> {
        match self {
            Logs::Absent => Err(absent()),
            Logs::Replicated(client) => client.submit(branch, &command, limit).await,
        }
    }

    async fn query(
        &self,
        branch: &name::Branch,
        query: Query,
        limit: Duration,
    ) -> Result<Answer, Error> {
        match self {
            Logs::Absent => Err(absent()),
            Logs::Replicated(client) => client.query(branch, &query, limit).await,
        }
    }
}

fn absent() -> Error {
    Error::NotAccepted { reason: String::from("no instance keeps a replicated log") }
}
