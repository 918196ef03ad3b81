//! Messages between instances, encoded by `postcard` to keep them small.

use std::net::SocketAddr;

use common::{name, piece};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use wire::target::{Announcement, Load};

/// One heartbeat in this many includes the token counters.
const COUNTERS_EVERY: u64 = 4;

/// One message of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Versions that the sender has; empty in the last message of an exchange.
    pub digest: Vec<Version>,
    /// Updates that the receiver lacked.
    pub deltas: Vec<Delta>,
}

/// Bytes that are not the encoding of a message.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
#[display("not a membership message: {_0}")]
pub struct Error(postcard::Error);

impl Message {
    /// Encodes the message.
    ///
    /// # Panics
    ///
    /// Never, as all its types can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("invariant: messages can be encoded")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an [`struct@Error`] if `bytes` do not encode one.
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// The highest version known of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Key of the origin, see [`origin_key`].
    pub origin: u32,
    /// Its highest version.
    pub version: u64,
}

/// Updates of one origin that the receiver lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The process that made the updates.
    pub origin: Origin,
    /// Version up to which the receiver knows all of the origin's updates once it has applied the delta.
    pub version: u64,
    /// Updates, ordered by version.
    pub updates: Vec<Update>,
}

/// A process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The instance.
    pub instance: name::Instance,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Its address for callers.
    pub callers: SocketAddr,
}

/// A versioned value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The origin's version of the update.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// Content of an update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Full announcement of a target that is new or has changed.
    Described {
        /// The announcement, without cache events.
        announcement: Box<Announcement>,
        /// Its age in milliseconds.
        age_ms: u32,
    },
    /// A target announced itself again with only a new load.
    Heartbeat(Heartbeat),
    /// Outstanding requests of the origin, by target, highest count first.
    Outstanding(Vec<Count>),
    /// The capacity of a data centre.
    Summary(Summary),
}

/// A repeated announcement of a target, reduced to the parts that change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Key of the target, see [`target_key`].
    pub target: u32,
    /// Number of the announcement.
    pub sequence: u64,
    /// Its age in milliseconds.
    pub age_ms: u32,
    /// Age of the load report when it was sent, in milliseconds.
    pub load_age_ms: u32,
    /// Requests that are running at the target.
    pub running: u32,
    /// Requests that are waiting at the target.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub queued_prompt_tokens: u64,
    /// Token counters; `None` in most heartbeats, see [`Heartbeat::new`].
    pub counters: Option<Counters>,
}

/// Tokens since the target's process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Prompt tokens that were computed.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// Outstanding requests on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Key of the target, see [`target_key`].
    pub target: u32,
    /// Number of requests.
    pub requests: u32,
}

/// Capacity of a data centre that other ones can use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Grows with each summary of the data centre (Unix milliseconds).
    pub number: u64,
    /// Addresses for callers of some of its instances.
    pub callers: Vec<SocketAddr>,
    /// Capacity by service.
    pub services: Vec<Capacity>,
}

impl Summary {
    /// Encodes the summary.
    ///
    /// # Panics
    ///
    /// Never, as all its types can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("invariant: summaries can be encoded")
    }

    /// Decodes a summary.
    ///
    /// # Errors
    ///
    /// Returns an [`struct@Error`] if `bytes` do not encode one.
    pub fn decode(bytes: &[u8]) -> Result<Summary, Error> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Capacity of one service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Owner of the targets.
    pub partner: name::Partner,
    /// The service they run for.
    pub service: name::Service,
    /// Whether they are engines or plain services.
    pub kind: wire::target::Kind,
    /// Models that at least one of the targets serves.
    pub models: Vec<String>,
    /// Requests that all targets together can run at the same time.
    pub slots: u32,
    /// Requests that are running or waiting at the targets.
    pub load: u32,
}

impl Heartbeat {
    /// Makes the heartbeat of an announcement that is `age_ms` milliseconds old. Every fourth sequence number includes
    /// the token counters.
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

    /// Updates the announcement that the heartbeat belongs to; missing token counters keep their values.
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

/// 32-bit hash that identifies a target's process.
pub fn target_key(target: &name::Target, incarnation: u64) -> u32 {
    truncate(piece::hash(&target.0) ^ incarnation)
}

/// 32-bit hash that identifies an instance's process.
pub fn origin_key(instance: &name::Instance, incarnation: u64) -> u32 {
    truncate(piece::hash(&instance.0) ^ incarnation)
}

fn truncate(hash: u64) -> u32 {
    let mixed = common::random::mix(hash);
    u32::try_from(mixed >> u32::BITS).expect("invariant: 32 bits are left")
}
