//! The replicated register: the newest configuration as the operator sent it, and which instance may give orders.

use common::name;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{
    capacity::{Capacities, Capacity},
    exchange,
    usage::{Counts, Fixed, Window},
};

/// An encoded configuration as an operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the configuration.
    pub version: u64,
    /// The encoded configuration.
    pub bytes: Vec<u8>,
}

impl AsRef<[u8]> for Document {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Stores a configuration unless one of the same or a higher version is stored.
    Offer(Document),
    /// Grants an instance the right to give orders to engines.
    Claim(name::Instance),
    /// Fixes the usage of a window, unless it is fixed. Builds that report no usage can't decode this and the following
    /// command.
    FixUsage {
        /// Number of the window.
        window: u64,
        /// The usage.
        counts: Counts,
    },
    /// Records that the platform has accepted the usage of a window.
    SettleUsage {
        /// Number of the window.
        window: u64,
    },
    /// Records the capacity of a service. Builds that plan no number of targets can't decode it.
    RecordCapacity {
        /// The service.
        service: name::Service,
        /// Its capacity.
        capacity: Capacity,
    },
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Version that is stored after a [`Command::Offer`].
    Held(u64),
    /// Result of a [`Command::Claim`].
    Granted(Grant),
    /// State of the window after a [`Command::FixUsage`] or a [`Command::SettleUsage`].
    Usage(Window),
    /// A [`Command::RecordCapacity`] was applied.
    Recorded,
}

/// A lease on the right to give orders; the holder counts its short duration from before it sent the claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Fencing token; each later grant has a higher one.
    pub fence: u64,
    /// The previous holder, if that was another instance.
    pub previous: Option<name::Instance>,
}

/// A query of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Reads the newest configuration.
    Newest,
    /// Reads its version only; answered with a document that has no bytes.
    Version,
}

/// Encoding of [`Query::Version`].
const VERSION_QUERY: u8 = 1;

// Earlier builds have one query, which has no bytes.
impl Serialize for Query {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Query::Newest => serializer.serialize_unit(),
            Query::Version => serializer.serialize_u8(VERSION_QUERY),
        }
    }
}

impl<'de> Deserialize<'de> for Query {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Query, D::Error> {
        Ok(match u8::deserialize(deserializer) {
            Ok(VERSION_QUERY) => Query::Version,
            Ok(_) | Err(_) => Query::Newest,
        })
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    newest: Option<Document>,
    holder: Option<name::Instance>,
    /// Follows the other fields in a snapshot; see [`Register::encode`].
    #[serde(skip)]
    usage: Fixed,
    /// Follows the usage.
    #[serde(skip)]
    capacities: Capacities,
}

impl Register {
    /// Applies the command at `index` of the log, which becomes the fencing token of a grant.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::Offer(document) => Reply::Held(self.offer(document)),
            Command::Claim(instance) => {
                let last = self.holder.replace(instance.clone());
                let previous = last.filter(|holder| holder != instance);
                Reply::Granted(Grant { fence: index, previous })
            }
            Command::FixUsage { window, counts } => Reply::Usage(self.usage.fix(*window, counts)),
            Command::SettleUsage { window } => {
                self.usage.settle(*window);
                Reply::Usage(Window::Settled)
            }
            Command::RecordCapacity { service, capacity } => {
                self.capacities.record(service, capacity);
                Reply::Recorded
            }
        }
    }

    /// Encodes a snapshot. The usage and the capacities follow the fields that builds without them know, which leave them
    /// unread; they are left out where there are none.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = exchange::encode(self);
        let has_capacities = self.capacities != Capacities::default();
        if has_capacities || self.usage != Fixed::default() {
            bytes.extend(exchange::encode(&self.usage));
        }
        if has_capacities {
            bytes.extend(exchange::encode(&self.capacities));
        }
        bytes
    }

    /// Decodes a snapshot with or without usage and capacities; `None` if the bytes are not valid.
    pub fn decode(bytes: &[u8]) -> Option<Register> {
        let (mut register, rest) = postcard::take_from_bytes::<Register>(bytes).ok()?;
        if rest.is_empty() {
            return Some(register);
        }
        let (usage, rest) = postcard::take_from_bytes(rest).ok()?;
        register.usage = usage;
        if !rest.is_empty() {
            register.capacities = exchange::decode(rest)?;
        }
        Some(register)
    }

    /// The capacities of services.
    pub fn capacities(&self) -> &Capacities {
        &self.capacities
    }

    /// The windows whose usage is fixed.
    pub fn usage(&self) -> &Fixed {
        &self.usage
    }

    /// The newest configuration, if any was offered.
    pub fn newest(&self) -> Option<&Document> {
        self.newest.as_ref()
    }

    /// Answers a query.
    pub fn query(&self, query: Query) -> Option<Document> {
        let newest = self.newest.as_ref()?;
        Some(match query {
            Query::Newest => newest.clone(),
            Query::Version => Document { version: newest.version, bytes: Vec::new() },
        })
    }

    /// Stores a configuration if it has a higher version than the stored one; returns the version stored then.
    fn offer(&mut self, document: &Document) -> u64 {
        match &self.newest {
            Some(stored) if stored.version >= document.version => stored.version,
            Some(_) | None => {
                self.newest = Some(document.clone());
                document.version
            }
        }
    }
}
