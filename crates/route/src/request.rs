//! What the router is asked and what it answers.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, name};
use derive_more::Display;
use settings::service::Priority;
use slotmap::new_key_type;

new_key_type! {
    /// A request from its arrival to its last word.
    pub struct Ticket;
    /// A target known to the router.
    pub struct Target;
    /// A service known to the router.
    pub struct Service;
    /// Requests of one service for one version of a model.
    pub struct Variant;
    /// Targets that can serve the same requests.
    pub struct Pool;
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// The partner whose caller asks.
    pub partner: name::Partner,
    /// The service that is asked.
    pub service: name::Service,
    /// Hash of the caller's organisation.
    pub organisation: u64,
    /// Name of the model that the caller asks for; none for a plain service.
    pub model: Option<String>,
    /// Order among the service's waiting requests.
    pub priority: Priority,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most output tokens that are asked for.
    pub output_tokens: u64,
    /// Chained hashes of the prompt's pieces.
    pub pieces: Vec<u64>,
    /// When the answer must have ended.
    pub deadline: Moment,
    /// Whether a failed attempt may be followed by another.
    pub repeat: Repeat,
    /// Whether the request came from another data centre's instance and must stay here.
    pub origin: Origin,
}

impl Request {
    /// Tokens by which shares and queues are measured.
    pub fn cost(&self) -> u64 {
        (self.prompt_tokens + self.output_tokens).max(1)
    }
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent again after a failure.
    #[default]
    Allowed,
    /// It is sent at most once.
    Never,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    #[default]
    Caller,
    /// Another instance, which spilled it over.
    Instance,
}

/// What the caller of the router has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request, which the router has forgotten.
        ticket: Ticket,
        /// What to tell.
        refusal: Refusal,
    },
    /// Tell the caller that the request failed after it had been sent.
    Fail {
        /// The request, which the router has forgotten.
        ticket: Ticket,
        /// Whether no byte reached a target that might have run it.
        execution: Execution,
    },
    /// Cancel an attempt so that a guaranteed share is free; another attempt follows later.
    Preempt {
        /// The request, which waits again.
        ticket: Ticket,
        /// Number of the attempt to cancel.
        attempt: u32,
    },
}

/// Whether any attempt of a request may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Execution {
    /// No attempt can have run.
    #[default]
    NotRun,
    /// An attempt was sent and its fate is not known.
    MayHaveRun,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt, from 1; reports on any other number are dropped.
    pub attempt: u32,
    /// The target.
    pub target: name::Target,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Version of the model to ask for.
    pub model: Option<String>,
    /// Engine that computes the prompt first.
    pub prefill: Option<Prefill>,
    /// Whether the address is another instance's, which routes the request itself.
    pub relay: bool,
}

/// An engine that computes the prompt and exports its KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Prefill {
    /// The engine.
    pub target: name::Target,
    /// Where it takes calls.
    pub address: SocketAddr,
}

/// Why a request is refused; it did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The service's queue holds as much as it may.
    #[display("the queue of the service is full")]
    QueueFull,
    /// The wait ahead is longer than the request can wait.
    #[display("it can't be answered in time")]
    TooLate,
    /// No target serves it.
    #[display("no target serves it")]
    NoTarget,
    /// The service is not known.
    #[display("the service is not known")]
    UnknownService,
    /// Every attempt was refused by its target.
    #[display("its targets are full")]
    TargetsFull,
}

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth asking again.
    pub retry_after: Duration,
}

impl Refusal {
    /// HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self.reason {
            Reason::QueueFull | Reason::TooLate => 429,
            Reason::NoTarget | Reason::TargetsFull => 503,
            Reason::UnknownService => 404,
        }
    }
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first token, or the head of a plain answer, came.
    Started,
    /// The answer ended.
    Finished,
    /// The target refused the call before running it because it has no free slot.
    Full,
    /// The target refused the call before running it because it drains, changes or lacks the model.
    Unavailable,
    /// The call failed before any byte was sent.
    Unsent,
    /// The call failed or fell silent after a byte was sent.
    Broken,
}
