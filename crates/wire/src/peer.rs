//! The service that daemons offer each other.

use common::name;
use consensus::{message::Envelope, status::Status};
use serde::{Deserialize, Serialize};

use crate::{log, spread};

/// Version of this protocol; daemons that differ in it refuse each other.
pub const VERSION: u32 = 1;

/// Who a peer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Protocol version, see [`VERSION`].
    pub version: u32,
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
}

/// What callers offered to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// When the instance's process started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Its counters by service.
    pub offered: Vec<Offered>,
}

/// What callers offered to one service at one instance since the instance's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// Requests that arrived, the refused ones included.
    pub requests: u64,
    /// Their prompt tokens.
    pub prompt_tokens: u64,
    /// Requests that were answered to the end.
    pub answered: u64,
    /// Output tokens of those.
    pub output_tokens: u64,
}

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Returns who the callee is.
    async fn identify() -> Identity;

    /// Returns what the asker lacks of a branch, at once if there is anything, else after `wait_ms`.
    async fn pull(have: spread::Version, wait_ms: u64) -> spread::Update;

    /// Returns the versions in force.
    async fn in_force() -> Vec<spread::Version>;

    /// Hands messages from the replica at `from` to the callee's replica of a branch's log; they may be lost.
    async fn log_step(branch: name::Branch, from: name::Instance, envelopes: Vec<Envelope>);

    /// Puts an encoded command into a branch's log, if the callee leads it.
    async fn submit(branch: name::Branch, command: Vec<u8>) -> log::Outcome;

    /// Answers an encoded question from a branch's state, if the callee leads its log.
    async fn query(branch: name::Branch, query: Vec<u8>) -> log::Outcome;

    /// Returns how far the callee has got with its replica of a branch's log.
    async fn standing(branch: name::Branch) -> log::State;

    /// Asks the callee, if it leads a branch's log, to change its members.
    async fn change_members(branch: name::Branch, wish: log::Change) -> log::Outcome;

    /// Returns the state of the callee's replica of a branch's log.
    async fn replica(branch: name::Branch) -> Option<Status>;

    /// Takes in a message of the membership table (`membership::message`) and returns the answer, which is
    /// empty at the end of an exchange.
    async fn gossip(message: Vec<u8>) -> Vec<u8>;

    /// Takes in what the asker's data centre can take for others (`membership::message::Summary`) and returns the
    /// callee's, which is empty where the callee is too busy.
    async fn summary(summary: Vec<u8>) -> Vec<u8>;

    /// Takes in a question of an instance that found the callee from seeds (`fleet::exchange::Question`) and
    /// returns the answer (`fleet::exchange::Answer`), which is empty where the callee has none.
    async fn exchange(question: Vec<u8>) -> Vec<u8>;

    /// Returns what callers offered to the callee.
    async fn offered() -> Counts;
}
