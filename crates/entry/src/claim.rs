//! Claims on calls that must run at most once: the trait through which the request path reaches them.

use std::{future::Future, time::Duration};

use common::name;
use control::claim;
use derive_more::{Display, Error};

/// Why a command on a claim got no reply.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The command is certainly not in the log.
    #[display("the partner's log can't be reached")]
    NotAccepted,
    /// The command may be in the log.
    #[display("the partner's log did not reply in time")]
    Unknown,
}

/// How a claim ends.
#[derive(Clone, Debug)]
pub enum Settlement {
    /// The call ran.
    Finish(claim::Finish),
    /// The call certainly did not run.
    Abandon(claim::Abandon),
    /// It can't be known whether the call ran.
    Lose(claim::MarkLost),
}

/// Stores claims in the log of a partner's branch.
pub trait Store: Clone + Send + Sync + 'static {
    /// Claims a call. The command may be resent for the same attempt while its outcome is unknown.
    fn begin(
        &self,
        partner: &name::Partner,
        begin: claim::Begin,
        limit: Duration,
    ) -> impl Future<Output = Result<claim::Reply, Error>> + Send;

    /// Takes over the claim of a call that another instance has forwarded. The command may be resent for the same
    /// attempt.
    fn take_over(
        &self,
        partner: &name::Partner,
        take_over: claim::TakeOver,
        limit: Duration,
    ) -> impl Future<Output = Result<claim::Reply, Error>> + Send;

    /// Records how a claim ends. Resending the same end changes nothing.
    fn settle(
        &self,
        partner: &name::Partner,
        settlement: Settlement,
        limit: Duration,
    ) -> impl Future<Output = Result<claim::Reply, Error>> + Send;
}

/// The store of an instance without a log, which refuses all calls that must run at most once.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoStore;

impl Store for NoStore {
    async fn begin(
        &self,
        _partner: &name::Partner,
        _begin: claim::Begin,
        _limit: Duration,
    ) -> Result<claim::Reply, Error> {
        Err(Error::NotAccepted)
    }

    async fn take_over(
        &self,
        _partner: &name::Partner,
        _take_over: claim::TakeOver,
        _limit: Duration,
    ) -> Result<claim::Reply, Error> {
        Err(Error::NotAccepted)
    }

    async fn settle(
        &self,
        _partner: &name::Partner,
        _settlement: Settlement,
        _limit: Duration,
    ) -> Result<claim::Reply, Error> {
        Err(Error::NotAccepted)
    }
}
