//! Claims on calls that may not be repeated, as the request path sees them.

use std::{future::Future, time::Duration};

use common::name;
use control::claim;
use derive_more::{Display, Error};

/// Why a command on claims was not answered.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The command is certainly not in the log.
    #[display("the branch's log can't be reached")]
    NotAccepted,
    /// The command may be in the log.
    #[display("the branch's log did not answer in time")]
    Unknown,
}

/// How a claim ends.
#[derive(Clone, Debug)]
pub enum Settlement {
    /// The call ran.
    Finish(claim::Finish),
    /// The call certainly did not run.
    Abandon(claim::Abandon),
    /// Nobody can know whether the call ran.
    Lose(claim::MarkLost),
}

/// Keeps claims in the log of a partner's branch.
pub trait Store: Clone + Send + Sync + 'static {
    /// Claims a call. The same attempt may be claimed again while the outcome is unknown.
    fn begin(
        &self,
        partner: &name::Partner,
        begin: claim::Begin,
        limit: Duration,
    ) -> impl Future<Output = Result<claim::Reply, Error>> + Send;

    /// Takes over the claim of a call that another instance hands on. The same attempt may ask again.
    fn take_over(
        &self,
        partner: &name::Partner,
        take_over: claim::TakeOver,
        limit: Duration,
    ) -> impl Future<Output = Result<claim::Reply, Error>> + Send;

    /// Records how a claim ends. Recording the same end again changes nothing.
    fn settle(
        &self,
        partner: &name::Partner,
        settlement: Settlement,
        limit: Duration,
    ) -> impl Future<Output = Result<claim::Reply, Error>> + Send;
}

/// A store where no log is set up: calls that may not be repeated are refused.
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
