//! The RPC service between daemons.

use common::name;
use consensus::{message::Envelope, status::Status};
use serde::{Deserialize, Serialize};

use crate::{log, spread};

/// Version of this protocol; daemons of different versions can't understand each other.
pub const VERSION: u32 = 1;

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Protocol version, see [`VERSION`].
    pub version: u32,
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
}

/// Counters of the load that callers offered to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// When the instance's process started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The counters of each service.
    pub offered: Vec<Offered>,
}

/// Load that callers offered to one service at one instance since the instance's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// Requests that arrived, including refused ones.
    pub requests: u64,
    /// Their prompt tokens.
    pub prompt_tokens: u64,
    /// Requests that ended with at least one output token.
    pub answered: u64,
    /// Output tokens of those.
    pub output_tokens: u64,
}

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Returns the callee's identity.
    async fn identify() -> Identity;

    /// Returns the changes of a branch after the version in `have`: at once if there are any, otherwise once there are
    /// or `wait_ms` have passed.
    async fn pull(have: spread::Version, wait_ms: u64) -> spread::Update;

    /// Returns the version in force of each branch.
    async fn in_force() -> Vec<spread::Version>;

    /// Delivers consensus messages from the replica at `from` to the callee's replica of a branch's log; they may be
    /// lost.
    async fn log_step(branch: name::Branch, from: name::Instance, envelopes: Vec<Envelope>);

    /// Appends an encoded command to a branch's log, if the callee is its leader.
    async fn submit(branch: name::Branch, command: Vec<u8>) -> log::Outcome;

    /// Answers an encoded query of a branch's state, if the callee is the leader of its log.
    async fn query(branch: name::Branch, query: Vec<u8>) -> log::Outcome;

    /// Returns whether and how the callee's replica belongs to a branch's log.
    async fn standing(branch: name::Branch) -> log::State;

    /// Makes the change `wish` of the members of a branch's log, if the callee is its leader.
    async fn change_members(branch: name::Branch, wish: log::Change) -> log::Outcome;

    /// Returns the consensus status of the callee's replica of a branch's log; `None` if it runs none.
    async fn replica(branch: name::Branch) -> Option<Status>;

    /// Handles a message of the membership table (`membership::message`) and returns the reply, which is empty at the
    /// end of an exchange.
    async fn gossip(message: Vec<u8>) -> Vec<u8>;

    /// Handles the summary of the capacity of the sender's data centre (`membership::message::Summary`) and returns the
    /// summary of the callee's, which is empty if the callee is too busy.
    async fn summary(summary: Vec<u8>) -> Vec<u8>;

    /// Handles a question of an instance that found the callee from seeds (`fleet::exchange::Question`) and returns the
    /// answer (`fleet::exchange::Answer`), which is empty if the callee has none.
    async fn exchange(question: Vec<u8>) -> Vec<u8>;

    /// Returns the counters of the load that callers offered to the callee.
    async fn offered() -> Counts;
}
