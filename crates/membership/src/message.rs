//! Messages between instances, encoded by `postcard` since their size is bounded.

use std::net::SocketAddr;

use common::{name, piece};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use wire::target::{Announcement, Load};

/// Counters of tokens ride on one heartbeat in so many.
const COUNTERS_EVERY: u64 = 4;

/// One side of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Versions that the sender has; empty in the last message of an exchange.
    pub digest: Vec<Version>,
    /// Updates that the receiver lacked.
    pub deltas: Vec<Delta>,
}

/// What can't be read as a message.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
#[display("no message of this protocol: {_0}")]
pub struct Error(postcard::Error);

impl Message {
    /// Writes the message.
    ///
    /// # Panics
    ///
    /// Never: all its types can be written.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("invariant: messages can be written")
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns an [`struct@Error`] if `bytes` do not encode one.
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Highest version that is known of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Short hash of the origin and its incarnation, see [`origin_key`].
    pub origin: u32,
    /// Its highest version.
    pub version: u64,
}

/// Updates of one origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The instance that made the updates.
    pub origin: Origin,
    /// All of the origin's updates up to here are known with this part.
    pub version: u64,
    /// Updates in the order of their versions.
    pub updates: Vec<Update>,
}

/// An instance's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Where it takes callers.
    pub callers: SocketAddr,
}

/// A versioned value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Version by the origin's count.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// What instances tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// A target in full, when it is new or has changed.
    Described {
        /// The announcement, without cache events.
        announcement: Box<Announcement>,
        /// Its age in milliseconds.
        age_ms: u32,
    },
    /// A target has announced itself again without change.
    Heartbeat(Heartbeat),
    /// Requests that the origin has on targets, the largest first.
    Outstanding(Vec<Count>),
    /// What a data centre can take.
    Summary(Summary),
}

/// A target's announcement without what has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Short hash of its name and incarnation, see [`target_key`].
    pub target: u32,
    /// Number of the announcement.
    pub sequence: u64,
    /// Its age in milliseconds.
    pub age_ms: u32,
    /// Age of the load report when it was sent, in milliseconds.
    pub load_age_ms: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub queued_prompt_tokens: u64,
    /// Counters of tokens.
    pub counters: Option<Counters>,
}

/// Tokens since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Computed prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// Requests on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Short hash of the target, see [`target_key`].
    pub target: u32,
    /// Requests.
    pub requests: u32,
}

/// What a data centre can take for other ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Grows with each summary of the data centre (Unix milliseconds).
    pub number: u64,
    /// Where its instances take callers.
    pub callers: Vec<SocketAddr>,
    /// By service.
    pub services: Vec<Capacity>,
}

impl Summary {
    /// Writes the summary.
    ///
    /// # Panics
    ///
    /// Never: all its types can be written.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("invariant: summaries can be written")
    }

    /// Reads a summary.
    ///
    /// # Errors
    ///
    /// Returns an [`struct@Error`] if `bytes` do not encode one.
    pub fn decode(bytes: &[u8]) -> Result<Summary, Error> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Slots of one service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Owner of the targets.
    pub partner: name::Partner,
    /// The service they run for.
    pub service: name::Service,
    /// Whether they are engines or plain services.
    pub kind: wire::target::Kind,
    /// Models that all of them together serve.
    pub models: Vec<String>,
    /// Requests that they run at once.
    pub slots: u32,
    /// Requests that they run or hold now.
    pub load: u32,
}

impl Heartbeat {
    /// Takes the changing parts of an announcement of the given age.
    pub fn new(announcement: &Announcement, age_ms: u32) -> Heartbeat {
        let load = &announcement.load;
        let counters = announcement.sequence.is_multiple_of(COUNTERS_EVERY).then_some(Counters {
            prompt_tokens: load.prompt_tokens,
            cached_tokens: load.cached_tokens,
            output_tokens: load.output_tokens,
        });
        Heartbeat {
            target: target_key(&announcement.target, announcement.incarnation),
            sequence: announcement.sequence,
            age_ms,
            load_age_ms: u32::try_from(load.age_ms).unwrap_or(u32::MAX),
            running: load.running,
            waiting: load.waiting,
            queued_prompt_tokens: load.queued_prompt_tokens,
            counters,
        }
    }

    /// Puts the heartbeat into the announcement it belongs to.
    pub fn apply(&self, announcement: &mut Announcement) {
        let old = announcement.load;
        let kept = Counters {
            prompt_tokens: old.prompt_tokens,
            cached_tokens: old.cached_tokens,
            output_tokens: old.output_tokens,
        };
        let counters = self.counters.unwrap_or(kept);
        announcement.sequence = self.sequence;
        announcement.load = Load {
            age_ms: u64::from(self.load_age_ms),
            running: self.running,
            waiting: self.waiting,
            queued_prompt_tokens: self.queued_prompt_tokens,
            prompt_tokens: counters.prompt_tokens,
            cached_tokens: counters.cached_tokens,
            output_tokens: counters.output_tokens,
        };
    }
}

/// Short hash of a target's process.
pub fn target_key(target: &name::Target, incarnation: u64) -> u32 {
    short(piece::hash(&target.0) ^ incarnation)
}

/// Short hash of an instance's process.
pub fn origin_key(instance: &name::Instance, incarnation: u64) -> u32 {
    short(piece::hash(&instance.0) ^ incarnation)
}

fn short(hash: u64) -> u32 {
    let mixed = common::random::mix(hash);
    u32::try_from(mixed >> u32::BITS).expect("invariant: 32 bits are left")
}
