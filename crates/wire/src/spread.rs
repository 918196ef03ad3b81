//! Messages that bring accepted declarations to every instance.

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

/// The answer to a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The branch.
    pub branch: name::Branch,
    /// The version that the answerer has.
    pub version: u64,
    /// How long ago the log was known to have no higher version, in milliseconds; left out where that never was
    /// known.
    pub age_ms: Option<u64>,
    /// What the asker lacks.
    pub changes: Changes,
}
