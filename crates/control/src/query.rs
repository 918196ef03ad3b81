//! Questions to a branch's state and their answers.

use common::name;
use serde::{Deserialize, Serialize};
use settings::delta::{Content, Delta};

use crate::{claim, declaration, dissolution, drain, intent, lease};

/// A question to a branch's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Versions, phase and identity.
    Summary,
    /// The declarations in force.
    Content,
    /// The declarations of an earlier version.
    ContentAt {
        /// The version.
        version: u64,
    },
    /// What changed after a version.
    Changes {
        /// The version that the asker has.
        since: u64,
    },
    /// The latest versions, newest first.
    History {
        /// At most this many.
        limit: usize,
    },
    /// All leases.
    Leases,
    /// Orders of the targets of a data centre.
    Intents {
        /// The data centre.
        data_centre: name::DataCentre,
    },
    /// Targets of a data centre that operators want drained.
    Drains {
        /// The data centre.
        data_centre: name::DataCentre,
    },
    /// The answer that an operator's request got.
    Request {
        /// The request's id.
        id: String,
    },
    /// What a resend of a call is told.
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
    /// Versions, phase and identity.
    Summary(Summary),
    /// Declarations.
    Content(Box<Declarations>),
    /// The version asked for is not kept.
    NoVersion {
        /// The oldest that is.
        oldest: u64,
    },
    /// Changes from the version that the asker has to the one in force.
    Changes(Changes),
    /// Versions, newest first.
    History(Vec<declaration::Record>),
    /// Leases.
    Leases(Vec<Lease>),
    /// Orders.
    Intents(Vec<Intent>),
    /// Targets that operators want drained.
    Drains(Vec<Drain>),
    /// The answer that the request got, if it is kept.
    Request(Option<declaration::Reply>),
    /// What a resend is told, if the call is claimed.
    Claim(Option<claim::Reply>),
    /// The log's time.
    Time(Time),
}

/// Versions, phase and identity of a branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The branch.
    pub branch: name::Branch,
    /// The version in force.
    pub version: u64,
    /// The venture's version whose defaults are in force.
    pub venture_version: u64,
    /// How far a dissolution has come.
    pub phase: dissolution::Phase,
    /// Who the branch is.
    pub identity: dissolution::Identity,
    /// Claims that are kept.
    pub claims: usize,
    /// Open orders.
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

/// What changed after a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Changes {
    /// Nothing.
    None,
    /// The changes, oldest first.
    Deltas(Vec<Revision>),
    /// The asker is too far behind, or ahead; the whole.
    Snapshot(Box<Declarations>),
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The version that it leads to.
    pub version: u64,
    /// The venture's version whose defaults are part of it.
    pub venture_version: u64,
    /// The change.
    #[serde(with = "settings::text")]
    pub delta: Delta,
}

/// A lease of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The lease.
    pub lease: lease::Lease,
}

/// Orders of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The target.
    pub target: name::Target,
    /// Its orders.
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
    /// Milliseconds counted.
    pub now_ms: u64,
    /// Whether anything waits for time to pass.
    pub needed: Needed,
}

/// Whether anything waits for time to pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Needed {
    /// Leases run or claims wait for the end of their retention.
    Yes,
    /// Nothing does; no time needs to be counted.
    No,
}
