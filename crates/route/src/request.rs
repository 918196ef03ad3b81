//! Requests to the router, the actions it asks its caller to carry out, and the keys of its tables.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, name};
use derive_more::Display;
use settings::service::Priority;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a request, valid from its arrival until its final answer.
    pub struct Ticket;
    /// Key of a target known to the router.
    pub struct Target;
    /// Key of a service known to the router.
    pub struct Service;
    /// Key of a service's model version, with its own queue and weight; a plain service has exactly one.
    pub struct Variant;
    /// Key of a pool of targets that can serve the same requests.
    pub struct Pool;
}

/// A request as it arrives, with what admission and the choice of a target depend on.
#[derive(Clone, Debug)]
pub struct Request {
    /// The partner that the caller belongs to.
    pub partner: name::Partner,
    /// The service that is called.
    pub service: name::Service,
    /// Hash of the caller's organisation.
    pub organisation: u64,
    /// Name of the requested model; `None` for a plain service.
    pub model: Option<String>,
    /// Decides the class among the service's waiting requests.
    pub priority: Priority,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens that the caller accepts.
    pub output_tokens: u64,
    /// Chained hashes of the prompt's pieces: each covers all pieces before it.
    pub pieces: Vec<u64>,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// Whether a failed attempt may be followed by another.
    pub retry: Retry,
    /// Whether the request came from another data centre's instance and must stay in this one.
    pub origin: Origin,
}

impl Request {
    /// Cost of the request for shares and queue limits, in tokens; at least 1.
    pub fn cost(&self) -> u64 {
        (self.prompt_tokens + self.output_tokens).max(1)
    }
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Retry {
    /// It may be sent again after a failed attempt.
    #[default]
    Allowed,
    /// It may run at most once: it is sent again only if the target refused it or no byte of it was sent.
    Never,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    #[default]
    Caller,
    /// An instance of another data centre that had no free target.
    Instance,
}

/// What the code that drives the router has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Dispatch(Dispatch),
    /// Answer that the request was refused and did not run.
    Refuse {
        /// The request, which the router no longer knows.
        ticket: Ticket,
        /// The reason and when to retry.
        refusal: Refusal,
    },
    /// Answer that the request failed after it had been sent.
    Fail {
        /// The request, which the router no longer knows.
        ticket: Ticket,
        /// Whether a target may have run it.
        execution: Execution,
    },
    /// Cancel an attempt to free a slot for a service below its guaranteed share; another attempt follows later.
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
    /// An attempt was sent and its outcome is unknown.
    MayHaveRun,
}

/// One attempt: a request sent to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt, from 1; the router ignores reports on any but the latest.
    pub attempt: u32,
    /// The target.
    pub target: name::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Version of the model to request; `None` for a plain service.
    pub model: Option<String>,
    /// Engine that computes the prompt first, if the request is disaggregated.
    pub prefill: Option<Prefill>,
    /// Whether the address is that of an instance in another data centre, which routes the request itself.
    pub relay: bool,
}

/// A prefill engine, which computes the prompt and exports its KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Prefill {
    /// The engine.
    pub target: name::Target,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Why a request is refused; it did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The service's queue has reached its limit of requests or tokens, or the organisation its share of the queue.
    #[display("the queue of the service is full")]
    QueueFull,
    /// The expected wait is longer than the request can wait, or it has waited that long.
    #[display("the wait is too long to answer the request in time")]
    TooLate,
    /// No target serves the requested model or plain service.
    #[display("no target serves the requested model or service")]
    NoTarget,
    /// The router does not have the settings of the service yet.
    #[display("the settings of the service are not in force here yet")]
    UnknownService,
    /// The last attempt was refused by its target or failed before any byte was sent, and no other attempt follows.
    #[display("the last target that was tried is full, unavailable or unreachable")]
    TargetsFull,
}

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self.reason {
            Reason::QueueFull | Reason::TooLate => 429,
            Reason::NoTarget | Reason::UnknownService | Reason::TargetsFull => 503,
        }
    }
}

/// Progress or end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first token, or the head of a plain answer, arrived.
    Started,
    /// The target has sent nothing for the service's limit on silence; the attempt still runs.
    Silent,
    /// The target has sent the next part of the answer after a silence.
    Resumed,
    /// The answer is complete.
    Finished,
    /// The target refused the call before running it because it has no free slot.
    Full,
    /// The target refused the call before running it because it is draining, changing or lacks the model.
    Unavailable,
    /// The call failed before any byte was sent.
    Unsent,
    /// The call failed, or the target stopped responding, after a byte was sent.
    Broken,
}
