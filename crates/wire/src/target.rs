//! The protocol between the system and its targets, as JSON over HTTP.
//!
//! `docs/design/target-protocol.md` describes the calls that carry these messages.

use std::net::SocketAddr;

use common::{name, role::Role};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Path on a daemon's control listener where targets announce themselves (`POST`).
pub const ANNOUNCE_PATH: &str = "/v1/targets";
/// Path on an engine that takes an [`Order`] (`POST`).
pub const ORDERS_PATH: &str = "/control/orders";
/// Path on an engine that returns its [`State`] (`GET`).
pub const STATE_PATH: &str = "/control/state";
/// Path on an engine that cancels the attempt named in [`ATTEMPT_HEADER`] (`POST`).
pub const CANCEL_PATH: &str = "/control/cancel";
/// Path on an engine that computes a prompt and keeps its KV cache for export (`POST`).
pub const EXPORT_PATH: &str = "/control/kv/export";
/// Path on an engine that fetches a KV cache from another engine (`POST`).
pub const IMPORT_PATH: &str = "/control/kv/import";

/// Header that tells attempts of one request apart.
pub const ATTEMPT_HEADER: &str = "x-daisydrum-attempt";
/// Header with the scheduling priority, 0 (first) to 9 (last).
pub const PRIORITY_HEADER: &str = "x-daisydrum-priority";
/// Header with the number of output tokens the caller already holds; generation goes on after them.
pub const RESUME_HEADER: &str = "x-daisydrum-resume-from";
/// Header by which a target says that it refused a call before running any of it.
pub const REFUSED_HEADER: &str = "x-daisydrum-refused";

/// What a target serves.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Kind {
    /// An engine that runs models.
    #[default]
    Engine,
    /// A runner of a plain service.
    Plain,
}

/// How a target guards against orders from a process that has lost its authority.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Fencing {
    /// The target refuses orders whose fencing number is lower than the highest it has seen.
    #[default]
    Checked,
    /// The target carries out any order.
    Unchecked,
}

/// Sent by a target about once a second; a target that stops sending is taken as gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Unique name of the target.
    pub target: name::Target,
    /// Grows each time the target's process starts.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Where the target takes calls.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: Kind,
    /// The partner that owns it.
    pub partner: name::Partner,
    /// The service it runs for.
    pub service: name::Service,
    /// The data centre it stands in.
    pub data_centre: name::DataCentre,
    /// Models that it can serve now, adapters as `model:adapter`.
    #[serde(default)]
    pub models: Vec<String>,
    /// Its current role; ignored for plain services.
    #[serde(default)]
    pub role: Role,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Size of its prefix cache in pieces of about 2,000 tokens.
    #[serde(default)]
    pub cache_pieces: u32,
    /// Requests that it runs at once at most.
    pub slots: u32,
    /// How long the announcement counts, in milliseconds.
    pub lease_ms: u64,
    /// Whether it still takes new work.
    #[serde(default)]
    pub phase: Phase,
    /// Its load, which may be late.
    #[serde(default)]
    pub load: Load,
    /// Changes of its prefix cache since the last announcement; may be late or have gaps.
    #[serde(default)]
    pub cache_events: Vec<Event>,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Phase {
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Changes its role or loads weights.
    Changing,
    /// Leaves the fleet.
    Leaving,
}

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub queued_prompt_tokens: u64,
    /// Prompt tokens computed since the process started.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache since the process started.
    pub cached_tokens: u64,
    /// Output tokens generated since the process started.
    pub output_tokens: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Position in the engine's sequence of events; a jump is a gap.
    pub number: u64,
    /// Chained hash of the prefix that ends with the piece.
    pub piece: u64,
    /// What happened to it.
    pub change: Change,
}

/// What happened to a cached piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// It was put into the cache.
    Stored,
    /// It was evicted.
    Removed,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Identifies the order; a resend of the same id is answered with its state and not run again.
    pub id: String,
    /// Index in the log at which the sender's lease was granted.
    pub fencing: u64,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum Action {
    /// Take another role.
    #[display("role {role}")]
    Role {
        /// The role to take.
        role: Role,
    },
    /// Load a model, adapter or version from the weight store.
    #[display("load {model}")]
    Load {
        /// The model's name.
        model: String,
    },
    /// Unload a model, adapter or version.
    #[display("unload {model}")]
    Unload {
        /// The model's name.
        model: String,
    },
    /// Take no new work, let streams end.
    #[display("drain")]
    Drain,
    /// Take new work again.
    #[display("undrain")]
    Undrain,
    /// Leave the fleet once streams have ended.
    #[display("withdraw")]
    Withdraw,
}

/// An engine's own account of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The engine.
    pub target: name::Target,
    /// Grows each time the engine's process starts.
    pub incarnation: u64,
    /// Current role.
    pub role: Role,
    /// Models that it can serve now.
    pub models: Vec<String>,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Streams that run.
    pub running: u32,
    /// Highest fencing number seen; stays 0 where it is not checked.
    pub fencing: u64,
    /// The order that runs now.
    pub open_order: Option<String>,
    /// The last order that ended, kept through the end of the process only if the engine has a disk.
    pub last_order: Option<Ended>,
}

/// An order that has ended at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The order's id.
    pub id: String,
    /// How it ended.
    pub result: Ending,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Ending {
    /// Carried out.
    Done,
    /// Not carried out; the engine is as before.
    Failed,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum Reply {
    /// The order was taken and runs (HTTP 202).
    Accepted,
    /// The order has ended before (HTTP 200).
    Ended {
        /// How it ended.
        result: Ending,
    },
    /// The fencing number is lower than one seen before (HTTP 409).
    Stale {
        /// The highest number seen.
        highest: u64,
    },
    /// Another order runs (HTTP 409).
    Busy {
        /// The order that runs.
        open: String,
    },
    /// The order makes no sense to the engine (HTTP 422).
    Invalid {
        /// Why.
        reason: String,
    },
}
