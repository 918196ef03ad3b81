//! What an instance learns about others and about targets.

use common::name;
use wire::target::Announcement;

use crate::message::Summary;

/// A change; losses that are seen together are one event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A target announced itself, here or at another instance; without cache events in the latter case.
    Announced(Box<Announcement>),
    /// Leases of targets ended.
    TargetsLost(Vec<name::Target>),
    /// Instances came up.
    InstancesUp(Vec<name::Instance>),
    /// Instances are gone.
    InstancesLost {
        /// Which.
        instances: Vec<name::Instance>,
        /// Data centres of which no instance is left.
        data_centres: Vec<name::DataCentre>,
    },
    /// Requests that the data centre's other instances have on targets.
    PeerOutstanding(Vec<Outstanding>),
    /// What another data centre can take.
    Summary(Summary),
}

/// Requests of all neighbours on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outstanding {
    /// The target.
    pub target: name::Target,
    /// Requests.
    pub requests: u32,
}
