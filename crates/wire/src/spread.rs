//! Messages that distribute accepted declarations to all instances.

use common::name;
use control::query::Changes;
use serde::{Deserialize, Serialize};

/// The version of a branch's declarations that an instance has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The branch.
    pub branch: name::Branch,
    /// The version in force.
    pub version: u64,
}

/// The reply to a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The branch.
    pub branch: name::Branch,
    /// The version that the replying instance has.
    pub version: u64,
    /// Time since the log was last known to have no higher version, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Changes that the requesting instance lacks.
    pub changes: Changes,
}
