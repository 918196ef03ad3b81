//! What was seen from outside during a run; times are counted from its start.

use std::time::Duration;

use platform_standin::{client, runner::Run};

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

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Summary | Kind::Draft)
    }

    /// Targets that may run one attempt.
    pub fn max_runs(self) -> usize {
        match self {
            Kind::Summary | Kind::Lookup => 2,
            Kind::Draft | Kind::Lodge => 1,
        }
    }

    /// How long callers wait.
    pub fn deadline(self) -> Duration {
        match self {
            Kind::Summary | Kind::Draft => Duration::from_secs(6),
            Kind::Lookup | Kind::Lodge => Duration::from_secs(3),
        }
    }
}

/// A caller's attempt.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identity.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Number of the instance that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When its answer ended, or the connection.
    pub ended: Duration,
    /// The answer as far as it came.
    pub response: client::Response,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// Its version.
    pub version: u64,
    /// When the acknowledgement came.
    pub at: Duration,
}

/// A configuration that was read.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// Number of the control instance.
    pub control: usize,
    /// When the question was sent.
    pub sent: Duration,
    /// The version in the answer.
    pub version: u64,
    /// Whether the answer is what was sent under this version.
    pub content: Content,
}

/// What a read showed beside its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// What was sent under that version.
    AsSent,
    /// Something else.
    Other,
}

/// An order that a target got.
#[derive(Clone, Debug)]
pub struct Order {
    /// The target.
    pub target: String,
    /// When it came.
    pub at: Duration,
    /// Who gave it.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
}

/// A time in which an instance that serves callers was killed, stopped or frozen.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Number of the instance.
    pub entry: usize,
    /// Its begin.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Attempts of callers.
    pub requests: Vec<Request>,
    /// Runs by target.
    pub runs: Vec<(String, Run)>,
    /// Orders by target, in the order of their arrival at each.
    pub orders: Vec<Order>,
    /// Acknowledged configurations.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Valid configurations that were refused.
    pub refused_changes: Vec<String>,
    /// Read configurations.
    pub reads: Vec<Read>,
    /// Times in which instances that serve callers were disturbed.
    pub outages: Vec<Outage>,
    /// When processes of instances that keep state went on after a freeze.
    pub resumed_at: Vec<Duration>,
    /// What did not come back once all faults were over.
    pub unrecovered: Vec<String>,
    /// Processes that ended by themselves, or did not end when they were asked to.
    pub unexpected_exits: Vec<String>,
}
