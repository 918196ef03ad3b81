//! Queries of a branch's state and their answers.

use common::name;
use serde::{Deserialize, Serialize};
use settings::delta::{Content, Delta};

use crate::{claim, declaration, dissolution, drain, intent, lease};

/// A query of a branch's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The branch's versions, phase, identity and counts.
    Summary,
    /// The declarations in force.
    Content,
    /// The declarations of an earlier version.
    ContentAt {
        /// The version.
        version: u64,
    },
    /// The changes after a version.
    Changes {
        /// The version that the asker has.
        since: u64,
    },
    /// The records of the latest versions, newest first.
    History {
        /// The most records to return.
        limit: usize,
    },
    /// All leases.
    Leases,
    /// The intents of the targets of a data centre.
    Intents {
        /// The data centre.
        data_centre: name::DataCentre,
    },
    /// Targets of a data centre that operators want drained.
    Drains {
        /// The data centre.
        data_centre: name::DataCentre,
    },
    /// The reply that an operator's request got.
    Request {
        /// The request's id.
        id: String,
    },
    /// The reply that a resend of a claimed call gets.
    Claim {
        /// The call.
        key: claim::Key,
    },
    /// The log's time.
    Time,
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The branch's versions, phase, identity and counts.
    Summary(Summary),
    /// Declarations.
    Content(Box<Declarations>),
    /// The version asked for is not kept.
    NoVersion {
        /// The oldest version that is kept.
        oldest: u64,
    },
    /// Changes from the version that the asker has to the one in force.
    Changes(Changes),
    /// Records of versions, newest first.
    History(Vec<declaration::Record>),
    /// All leases.
    Leases(Vec<Lease>),
    /// Intents by target.
    Intents(Vec<Intent>),
    /// Targets that operators want drained.
    Drains(Vec<Drain>),
    /// The reply that the request got, if it is kept.
    Request(Option<declaration::Reply>),
    /// The reply that a resend gets, if the call is claimed.
    Claim(Option<claim::Reply>),
    /// The log's time.
    Time(Time),
}

/// Versions, phase, identity and counts of a branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The branch.
    pub branch: name::Branch,
    /// The version in force.
    pub version: u64,
    /// The venture's version whose defaults are in force.
    pub venture_version: u64,
    /// How far a dissolution has progressed.
    pub phase: dissolution::Phase,
    /// The branch's identity.
    pub identity: dissolution::Identity,
    /// Number of claims that are kept.
    pub claims: usize,
    /// Number of open intents.
    pub open_intents: usize,
}

/// Declarations at a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// The version.
    pub version: u64,
    /// The venture's version whose defaults are part of it.
    pub venture_version: u64,
    /// The declarations.
    #[serde(with = "settings::text")]
    pub content: Content,
}

/// The changes after a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Changes {
    /// The version is the one in force.
    None,
    /// The changes, oldest first.
    Deltas(Vec<Revision>),
    /// The declarations in force, since the version is no longer kept or is ahead of the one in force.
    Snapshot(Box<Declarations>),
}

/// One accepted change of the declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The version that it created.
    pub version: u64,
    /// The venture's version whose defaults are part of that version.
    pub venture_version: u64,
    /// The change.
    #[serde(with = "settings::text")]
    pub delta: Delta,
}

/// A data centre and its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The lease.
    pub lease: lease::Lease,
}

/// A target and its intents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The target.
    pub target: name::Target,
    /// Its intents.
    pub record: intent::Record,
}

/// A target that operators want drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The target.
    pub target: name::Target,
    /// Its mark.
    pub mark: drain::Mark,
}

/// The log's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Time {
    /// The log's time, in milliseconds since the log began.
    pub now_ms: u64,
    /// Whether the log's time has to advance.
    pub needed: Needed,
}

/// Whether the log's time has to advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Needed {
    /// A lease is not free yet, or a claim is kept until its retention ends.
    Yes,
    /// Nothing depends on the time, so proposers may save the commands.
    No,
}
