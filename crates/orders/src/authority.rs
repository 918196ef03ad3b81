//! The replicated log as the executor sees it: the lease of one data centre and the intents of its targets.

use std::time::Duration;

use common::name;
use derive_more::{Display, Error};

use crate::intent::{Ending, Intent, Record};

/// The log of the branch that owns a data centre.
///
/// A grant is answered only after the lease before it has been waited out: its term, the clocks' drift and
/// [`wire::socket::USER_TIMEOUT`]. Every call returns within a bounded time and may be repeated.
pub trait Authority {
    /// Asks for the lease and returns its fencing number.
    ///
    /// # Errors
    ///
    /// Returns why it wasn't granted.
    fn grant(&mut self, term: Duration) -> Result<u64, Error>;

    /// Prolongs the lease by another term.
    ///
    /// # Errors
    ///
    /// Returns why it wasn't prolonged.
    fn renew(&mut self, fencing: u64) -> Result<(), Error>;

    /// Gives the lease back; nothing is under way any more.
    ///
    /// # Errors
    ///
    /// Returns why that may not be recorded; the lease then ends with its term.
    fn release(&mut self, fencing: u64) -> Result<(), Error>;

    /// Reads the records of all targets of the data centre.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    fn records(&mut self) -> Result<Vec<Record>, Error>;

    /// Reads which targets of the data centre operators want drained.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    fn drains(&mut self) -> Result<Vec<name::Target>, Error>;

    /// Records an intent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when it may or may not be recorded; ask again with the same id.
    fn open(&mut self, fencing: u64, intent: &Intent) -> Result<Opening, Error>;

    /// Records the outcome of an intent; one that isn't open counts as recorded.
    ///
    /// # Errors
    ///
    /// Returns why it may not be recorded.
    fn settle(&mut self, fencing: u64, intent: &Intent, ending: Ending) -> Result<(), Error>;
}

/// What came of recording an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It is open and may be sent.
    Opened,
    /// It has ended before.
    Ended(Ending),
    /// Another intent is open for the target.
    Busy(Intent),
    /// The log keeps no more intents.
    Full,
}

/// Why the log didn't do as asked.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Another instance holds the lease.
    #[display("lease is held for up to {wait:?}")]
    Held {
        /// Time until it can be asked for again.
        wait: Duration,
    },
    /// The lease is no longer held by the asker.
    #[display("lease is lost")]
    Lost,
    /// No quorum answered; the command may have been recorded.
    #[display("log can't be reached")]
    Unreachable,
}
