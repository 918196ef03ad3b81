//! What happens in a simulated fleet with cuts, and what is seen.

/// Which instances a cut concerns.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    One,
    Tenth,
    DataCentre,
    AllButOne,
}

/// A time in which instances reach no target.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub from_ms: u64,
    pub until_ms: u64,
    pub part: Part,
}

/// What a connection to a target does in a cut.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    Hangs,
    IsRefused,
}

/// How an instance serves what it can't send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Peers take it; they say from which services they are cut off.
    Merged,
    /// Peers take it; that they are cut off shows by their refusals alone.
    Unmerged,
    /// Nobody takes it.
    Alone,
}

/// What happens in a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    pub data_centres: usize,
    pub targets: usize,
    /// Targets that accept no connection from anywhere.
    pub dead: usize,
    /// Requests to each instance, a second.
    pub requests_per_s: f64,
    pub cuts: Vec<Cut>,
    pub failure: Failure,
    /// Share of the notices that are lost; as many are duplicated.
    pub loss: f64,
    /// Instances whose process starts again in the first cut.
    pub restarts: usize,
    pub policy: Policy,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Share of the requests served at cut-off instances, from `CONTACT_MS` after the begin of a cut.
    pub served_cut_off: f64,
    /// The same at the others.
    pub served_others: f64,
    /// Longest time from the begin of a cut until a peer took a request of any cut-off instance that was served.
    pub first_relayed_ms: u64,
    /// Requests that the busiest instance worked on while others were cut off, by its own; 1 if none came from others.
    pub largest_load: f64,
    /// Most changes to cut off of one process while it reaches targets.
    pub mistaken: usize,
    pub notices: usize,
    pub probes: usize,
}
