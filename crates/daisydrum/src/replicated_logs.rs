//! The replicated logs as this instance reaches them.

use std::time::Duration;

use common::name;
use control::{
    command::Command,
    query::{Answer, Query},
    reply::Reply,
};
use replica::client::Client;
use spread::replicated_log::{self, Error};

/// The replicated logs as this instance reaches them.
#[derive(Clone, Debug)]
pub enum Logs {
    /// No instance of the settings keeps a replica; the tree is read from its folder.
    Absent,
    /// Some instances keep replicas.
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
