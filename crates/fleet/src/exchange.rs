//! What the instances of one fleet tell each other, encoded with `postcard`.

use std::net::SocketAddr;

use common::name;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{register::Document, registry::Target};

/// Who an instance is and where its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub instance: name::Instance,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Whether it serves callers or keeps the replicated state.
    pub kind: Kind,
}

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Serves callers.
    Entry,
    /// Keeps the replicated state and hears the targets.
    Control,
}

/// How far an instance has followed a control instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Start of the process that was followed; a restart begins anew.
    pub incarnation: u64,
    /// Revision of its registry.
    pub revision: u64,
}

/// A question to a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Asks what is new; answered at once if anything is, else after `wait_ms`.
    Follow {
        /// The asker.
        from: Identity,
        /// How far it has got.
        cursor: Cursor,
        /// Version of the configuration that it holds; 0 for none.
        version: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Asks an entry instance which parts of prompts the engines hold.
    Holdings,
    /// Asks for the configuration held, if it is newer than a version.
    Fetch {
        /// The version.
        above: u64,
    },
}

/// What is new at a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// How far the asker has got with this.
    pub cursor: Cursor,
    /// Whether the instance is in contact with the leader of the replicated log.
    pub contact: bool,
    /// Version of the configuration held; 0 for none.
    pub version: u64,
    /// Targets that changed.
    pub targets: Vec<Target>,
    /// Engines that are about to change what they do, and take no new work until then.
    pub changing: Vec<name::Target>,
    /// All control instances known.
    pub control: Vec<SocketAddr>,
    /// All instances known that serve callers.
    pub entries: Vec<Identity>,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What is new.
    Update(Update),
    /// The parts that each engine holds ([`Notice::Held`]), the least recently used first.
    Holdings(Vec<Notice>),
    /// The configuration, or nothing if none is newer.
    Document(Option<Document>),
    /// The answer is large and another instance gets it now; to be asked again, or elsewhere.
    Later,
    /// The question could not be read, or the instance does not answer it.
    Refused,
}

/// What entry instances tell each other in datagrams, so that each sees the load of all before targets report it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A request was sent to a target.
    Sent(Dispatch),
    /// The prompt of a dispatch is computed.
    Computed {
        /// Number of the dispatch.
        number: u64,
    },
    /// The prompt of a dispatch will not be computed.
    Withdrawn {
        /// Number of the dispatch.
        number: u64,
    },
    /// No connection to a target could be made; others check theirs before they rely on them.
    Unreached {
        /// The target.
        target: name::Target,
    },
    /// A target holds the parts of a prompt, which can be copied from there.
    Held {
        /// The target.
        target: name::Target,
        /// The parts.
        parts: Vec<Part>,
    },
}

/// A request that was sent to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Number drawn at random, by which later notices name it.
    pub number: u64,
    /// The target.
    pub target: name::Target,
    /// Expected computation of the prompt, in microseconds.
    pub prompt_us: u32,
    /// Expected time besides that until the target answers, in microseconds.
    pub overhead_us: u32,
    /// Tokens to generate; 0 where the target only computes the prompt.
    pub output: u32,
    /// Parts of the prompt that the target computes.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Identity of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("invariant: messages always encode")
}

/// Decodes a message; nothing if the bytes are none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
