//! Orders for a number of targets, and their outcomes.

use common::name;
use derive_more::Display;

/// Orders a number of targets of one kind in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: name::Service,
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Kind of the targets.
    pub kind: Kind,
    /// Number of targets that are to run there, those that run already included.
    pub count: u32,
    /// Why the number changes.
    pub reason: Reason,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// It stays until it is drained.
    #[display("ordinary")]
    Ordinary,
    /// The platform may reclaim it.
    #[display("reclaimable")]
    Reclaimable,
}

/// Why a number of targets is ordered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Reclaimable targets are to replace ordinary ones.
    #[display("replacement")]
    Replacement,
    /// Reclaimable targets have replaced ordinary ones.
    #[display("replaced")]
    Replaced,
    /// Targets that had been running have ended.
    #[display("ended")]
    Ended,
    /// Targets that were ordered have not started.
    #[display("not_started")]
    NotStarted,
    /// The last order was not answered.
    #[display("unanswered")]
    Unanswered,
    /// Reclaimable targets are not available.
    #[display("unavailable")]
    Unavailable,
    /// There are more targets than needed.
    #[display("surplus")]
    Surplus,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The platform accepted it.
    #[display("accepted")]
    Accepted,
    /// The platform has no such targets there now.
    #[display("unavailable")]
    Unavailable,
    /// The platform refused it for another reason.
    #[display("refused")]
    Refused,
    /// The platform accepts no more calls for now.
    #[display("throttled")]
    Throttled,
    /// There was no answer; it may have been accepted.
    #[display("unknown")]
    Unknown,
    /// It was not sent.
    #[display("not_sent")]
    NotSent,
}
