//! Access to the replicated log for the executor: the lease of one data centre and the intents of its targets.

use std::time::Duration;

use common::name;
use derive_more::{Display, Error};

use crate::intent::{Ending, Intent, Record};

/// Grants the lease of a data centre and records its intents, in the log of the branch that owns the data centre.
///
/// A lease is granted only after the previous holder's term, the drift of the clocks and
/// [`wire::socket::ORDER_USER_TIMEOUT`] have passed. Every call returns within a bounded time and may be repeated.
pub trait Authority {
    /// Asks for the lease, and returns its fencing token.
    ///
    /// # Errors
    ///
    /// Returns why it wasn't granted.
    fn grant(&mut self, term: Duration) -> Result<u64, Error>;

    /// Extends the lease by another term.
    ///
    /// # Errors
    ///
    /// Returns why it wasn't extended.
    fn renew(&mut self, fencing: u64) -> Result<(), Error>;

    /// Releases the lease; the holder has no order under way any more.
    ///
    /// # Errors
    ///
    /// Returns why the release may not be recorded; the lease then ends with its term.
    fn release(&mut self, fencing: u64) -> Result<(), Error>;

    /// Reads the records of all targets of the data centre.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    fn records(&mut self) -> Result<Vec<Record>, Error>;

    /// Reads the targets of the data centre that operators want drained.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    fn drains(&mut self) -> Result<Vec<name::Target>, Error>;

    /// Records an intent, so that its order may be sent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if it is not known whether the intent is recorded; repeat the call with the same
    /// id.
    fn open(&mut self, fencing: u64, intent: &Intent) -> Result<Opening, Error>;

    /// Records the outcome of an intent; one that isn't open counts as recorded.
    ///
    /// # Errors
    ///
    /// Returns why it may not be recorded.
    fn settle(&mut self, fencing: u64, intent: &Intent, ending: Ending) -> Result<(), Error>;
}

/// The result of recording an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The intent is open, and its order may be sent.
    Opened,
    /// The intent has already ended.
    Ended(Ending),
    /// Another intent is open for the target.
    Busy(Intent),
    /// The log has open intents for as many targets as it keeps.
    Full,
}

/// Why the log didn't carry out a call.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Another instance holds the lease.
    #[display("another instance holds the lease for up to {wait:?}")]
    Held {
        /// Time until the lease is free, if it isn't renewed.
        wait: Duration,
    },
    /// This process no longer holds the lease.
    #[display("this process no longer holds the lease")]
    Lost,
    /// No quorum answered; the command may have been recorded.
    #[display("the branch's log can't be reached; the command may have been recorded")]
    Unreachable,
}
