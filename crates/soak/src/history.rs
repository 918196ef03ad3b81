//! What was observed from outside during a run; times are measured from its start.

use std::time::Duration;

use platform_standin::{client, runner::Run};

use crate::plan::{Fault, Victim};

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Kind {
    /// A stream that may be resumed.
    #[display("summary")]
    Summary,
    /// A stream that may run once.
    #[display("draft")]
    Draft,
    /// A call that may be repeated.
    #[display("lookup")]
    Lookup,
    /// A call that may run once.
    #[display("lodge")]
    Lodge,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Summary, Kind::Draft, Kind::Lookup, Kind::Lodge];

    /// Whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Summary | Kind::Draft)
    }

    /// Maximum number of targets that may run one request.
    pub fn max_runs(self) -> usize {
        match self {
            Kind::Summary | Kind::Lookup => 2,
            Kind::Draft | Kind::Lodge => 1,
        }
    }

    /// Time from sending a request to its deadline.
    pub fn deadline(self) -> Duration {
        match self {
            Kind::Summary | Kind::Draft => Duration::from_secs(6),
            Kind::Lookup | Kind::Lodge => Duration::from_secs(3),
        }
    }
}

/// A caller's request and its response.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its request id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Number of the instance that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When its response or the connection ended.
    pub ended: Duration,
    /// When the response before it ended on the same connection; nothing if it is the connection's first.
    pub kept_since: Option<Duration>,
    /// The response as far as it was received.
    pub response: client::Response,
}

/// A response that a target sent completely, or would have sent had the other side not closed the connection.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Number of the target.
    pub target: usize,
    /// Id of the request.
    pub request: String,
    /// When it was sent or would have been.
    pub due: Duration,
    /// When the other side closed the connection; nothing if it was sent completely.
    pub closed: Option<Duration>,
}

/// A stream that a target broke off after some events, or by ending.
#[derive(Clone, Debug)]
pub struct BrokenOff {
    /// Id of the request.
    pub request: String,
    /// When it was broken off.
    pub at: Duration,
}

/// A period in which a process or target had a fault.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The process or target.
    pub victim: Victim,
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
}

impl Disturbance {
    /// Whether it overlaps a period.
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && from <= self.until
    }
}

/// What is known of a request that ends targets, sent many times.
#[derive(Clone, Debug, Default)]
pub struct Crashing {
    /// Its arrivals at targets.
    pub arrivals: Vec<Arrival>,
    /// When targets ended.
    pub crashes: Vec<Duration>,
    /// When it was sent last.
    pub until: Duration,
}

/// A request that reached a target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Duration,
    /// Number of the instance that sent it.
    pub entry: usize,
}

/// A change of the configuration that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Its version.
    pub version: u64,
    /// Longest time for which callers' connections are kept without a request.
    pub idle_time: Duration,
    /// When it was first sent.
    pub sent: Duration,
    /// When it was acknowledged.
    pub acknowledged: Option<Duration>,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// Its version.
    pub version: u64,
    /// When the acknowledgement was received.
    pub at: Duration,
}

/// A configuration that was read.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// Number of the control instance.
    pub control: usize,
    /// When the read was sent.
    pub sent: Duration,
    /// The version in the response.
    pub version: u64,
    /// Whether the content is what was declared under this version.
    pub content: Content,
}

/// What a read returned besides the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// What was declared under that version.
    AsSent,
    /// Something else.
    Other,
}

/// An order that a target received.
#[derive(Clone, Debug)]
pub struct Order {
    /// The target.
    pub target: String,
    /// When it was received.
    pub at: Duration,
    /// The lease holder that sent it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// A period in which an instance that serves callers was killed, stopped or frozen.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Number of the instance.
    pub entry: usize,
    /// When it began.
    pub from: Duration,
    /// When the instance was started again or resumed.
    pub until: Duration,
}

/// Everything that was observed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of callers.
    pub requests: Vec<Request>,
    /// Runs, each with the name of the target.
    pub runs: Vec<(String, Run)>,
    /// Responses of targets that did not fail, break off or end.
    pub answers: Vec<Answer>,
    /// Streams that targets broke off after some events, also by ending.
    pub broken_off: Vec<BrokenOff>,
    /// Faults, without pauses.
    pub disturbances: Vec<Disturbance>,
    /// Times in which an instance got no datagrams. They excuse nothing but requests that end targets.
    pub lost_datagrams: Vec<Disturbance>,
    /// The request that ends targets, if one was sent.
    pub crashing: Crashing,
    /// Changes of the configuration.
    pub changes: Vec<Change>,
    /// Orders, for each target in the order in which it received them.
    pub orders: Vec<Order>,
    /// Acknowledged configurations.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Valid configurations that were refused.
    pub refused_changes: Vec<String>,
    /// Read configurations.
    pub reads: Vec<Read>,
    /// Periods in which instances that serve callers were killed, stopped or frozen.
    pub outages: Vec<Outage>,
    /// When frozen processes of instances that keep state were resumed.
    pub resumed_at: Vec<Duration>,
    /// What did not work again once all faults were over.
    pub unrecovered: Vec<String>,
    /// Processes that exited unasked, or did not exit with code 0 in time when they were asked to.
    pub unexpected_exits: Vec<String>,
}
