//! Events about targets and other instances.

use common::name;
use wire::target::Announcement;

use crate::message::Summary;

/// A change in the table. Losses that are detected together make one event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A target announced itself, here or at another instance. If at another, cache events are left out.
    Announced(Box<Announcement>),
    /// The leases of these targets expired.
    TargetsLost(Vec<name::Target>),
    /// These instances became alive.
    InstancesUp(Vec<name::Instance>),
    /// Instances are taken as gone.
    InstancesLost {
        /// The instances.
        instances: Vec<name::Instance>,
        /// Data centres of which no instance is alive any more.
        data_centres: Vec<name::DataCentre>,
    },
    /// Outstanding requests of the data centre's other instances on each target.
    PeerOutstanding(Vec<Outstanding>),
    /// The capacity of another data centre.
    Summary(Summary),
}

/// Outstanding requests on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outstanding {
    /// The target.
    pub target: name::Target,
    /// Number of requests that are sent and not finished.
    pub requests: u32,
}
