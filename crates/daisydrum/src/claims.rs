//! Stores the request path's claims in the replicated logs of the partners' branches.

use std::time::Duration;

use common::name;
use control::{claim, command::Command, reply::Reply};
use entry::claim::{Error, Settlement, Store};
use spread::replicated_log::{self, Client as _};

use crate::replicated_logs::Logs;

/// Register of claims in the replicated logs of the partners' branches.
#[derive(Clone, Debug)]
pub struct Claims {
    /// Client of the replicated logs.
    pub logs: Logs,
}

impl Claims {
    async fn submit(
        &self,
        partner: &name::Partner,
        command: Command,
        limit: Duration,
    ) -> Result<claim::Reply, Error> {
        let branch = name::Branch(partner.0.clone());
        match self.logs.submit(&branch, command, limit).await {
            Ok(Reply::Claim(reply)) => Ok(reply),
            Ok(_) | Err(replicated_log::Error::Unknown { .. }) => Err(Error::Unknown),
            Err(replicated_log::Error::NotAccepted { .. }) => Err(Error::NotAccepted),
        }
    }
}

impl Store for Claims {
    async fn begin(
        &self,
        partner: &name::Partner,
        begin: claim::Begin,
        limit: Duration,
    ) -> Result<claim::Reply, Error> {
        self.submit(partner, Command::Claim(begin), limit).await
    }

    async fn take_over(
        &self,
        partner: &name::Partner,
        take_over: claim::TakeOver,
        limit: Duration,
    ) -> Result<claim::Reply, Error> {
        self.submit(partner, Command::TakeOver(take_over), limit).await
    }

    async fn settle(
        &self,
        partner: &name::Partner,
        settlement: Settlement,
        limit: Duration,
    ) -> Result<claim::Reply, Error> {
        let command = match settlement {
            Settlement::Finish(finish) => Command::Finish(finish),
            Settlement::Abandon(abandon) => Command::Abandon(abandon),
            Settlement::Lose(lose) => Command::MarkLost(lose),
        };
        self.submit(partner, command, limit).await
    }
}
