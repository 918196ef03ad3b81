//! What a plan is made from.

use common::{clock::Moment, name};
use fleet::config::Scale;

/// A service whose number of targets is planned.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Limits and prices.
    pub scale: Scale,
    /// Data centres in which targets of the service have announced themselves, lost and departed targets included.
    pub centres: Vec<Centre>,
    /// Capacity in targets that an earlier holder has recorded, by data centre; empty if none has.
    pub capacity: Vec<(name::DataCentre, u32)>,
    /// What callers ask of its engines; `None` if it isn't known.
    pub demand: Option<Demand>,
}

/// Targets of a service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Centre {
    /// Name of the data centre.
    pub name: name::DataCentre,
    /// Targets that stay until they are drained.
    pub ordinary: Count,
    /// Targets that the platform may reclaim.
    pub reclaimable: Count,
}

impl Centre {
    /// Targets of both kinds that take requests.
    pub fn ready(&self) -> u32 {
        self.ordinary.ready + self.reclaimable.ready
    }
}

/// Number of targets of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Those that take requests.
    pub ready: u32,
    /// Those that finish their requests and leave.
    pub draining: u32,
}

/// What callers ask of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Mean rates of the last seconds.
    pub rates: Rates,
    /// End of the time for which the rates were measured.
    pub measured: Moment,
}

/// Work for engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Prompt tokens a second that have to be computed.
    pub prompt_tokens: f64,
    /// Output tokens a second.
    pub output_tokens: f64,
}
