//! The part of the operators' API that concerns branches: declarations, history, drains and dissolution.

use common::name;
use control::{declaration, dissolution, drain, query};
use serde::{Deserialize, Serialize};
use settings::error;

use crate::spread::Version;

/// Path of a branch's declarations (`GET` with `branch`, `POST` of a [`Change`]).
pub const DECLARATIONS_PATH: &str = "/v1/declarations";
/// Path of the summaries of all branches (`GET`).
pub const BRANCHES_PATH: &str = "/v1/branches";
/// Path of a branch's history of versions, newest first (`GET` with `branch` and `limit`).
pub const HISTORY_PATH: &str = "/v1/history";
/// Path of the reply to an earlier change request (`GET` with `branch` and `id`).
pub const REQUESTS_PATH: &str = "/v1/requests";
/// Path of the versions in force on all instances (`GET`).
pub const INSTANCES_PATH: &str = "/v1/instances";
/// Path that marks a target for draining or removes the mark (`POST` of a [`Drain`]).
pub const DRAINS_PATH: &str = "/v1/drains";
/// Path that performs a step of a dissolution (`POST` of a [`Step`]).
pub const DISSOLUTION_PATH: &str = "/v1/dissolution";

/// A change of a branch's declarations; the response is a [`declaration::Reply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The branch.
    pub branch: name::Branch,
    /// The change.
    pub request: declaration::Request,
}

/// Sets or removes the drain mark of a target; the response is a [`drain::Reply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The branch that owns the target.
    pub branch: name::Branch,
    /// The target, and whether to set or remove its mark.
    pub set: drain::Set,
}

/// A step of a dissolution; the response is a [`dissolution::Reply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The branch.
    pub branch: name::Branch,
    /// The step.
    pub step: dissolution::Step,
}

/// The summary of a branch, or why it can't be read now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Branch {
    /// The branch.
    pub branch: name::Branch,
    /// Its summary.
    pub summary: Option<query::Summary>,
    /// Why there is no summary.
    pub problem: Option<String>,
}

/// The versions in force on an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// The version of each branch; `None` if the instance does not respond.
    pub in_force: Option<Vec<Version>>,
}

/// Body of the response that rejects declarations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// All errors found in them.
    pub faults: Vec<error::Fault>,
}
