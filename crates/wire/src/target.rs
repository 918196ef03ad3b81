//! The protocol between the system and its targets, as JSON over HTTP.
//!
//! `docs/design/target-protocol.md` describes the calls that carry these messages.

use std::net::SocketAddr;

use common::{name, role::Role};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Path on a daemon's control listener where targets announce themselves (`POST`).
pub const ANNOUNCE_PATH: &str = "/v1/targets";
/// Path on an engine that accepts an [`Order`] (`POST`).
pub const ORDERS_PATH: &str = "/control/orders";
/// Path on an engine that returns its [`State`] (`GET`).
pub const STATE_PATH: &str = "/control/state";
/// Path on an engine that cancels the attempt named in [`ATTEMPT_HEADER`] (`POST`).
pub const CANCEL_PATH: &str = "/control/cancel";
/// Path on an engine that computes a prompt and holds its KV cache for export (`POST`).
pub const EXPORT_PATH: &str = "/control/kv/export";
/// Path on an engine that fetches a KV cache from another engine (`POST`).
pub const IMPORT_PATH: &str = "/control/kv/import";

/// Header that identifies an attempt of a request.
pub const ATTEMPT_HEADER: &str = "x-daisydrum-attempt";
/// Header with the scheduling priority, 0 (first) to 9 (last).
pub const PRIORITY_HEADER: &str = "x-daisydrum-priority";
/// Header with the number of output tokens that the caller has already received; generation continues after them.
pub const RESUME_HEADER: &str = "x-daisydrum-resume-from";
/// Response header with which a target refuses a call before running any of it.
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

/// Whether a target checks the fencing tokens of orders, which guards it against a process that has lost its lease.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Fencing {
    /// The target refuses orders whose fencing token is lower than the highest it has seen.
    #[default]
    Checked,
    /// The target carries out any order.
    Unchecked,
}

/// Sent by a target about once per second; a target that stops sending is removed when its lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Unique name of the target.
    pub target: name::Target,
    /// Grows each time the target's process starts.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: Kind,
    /// The partner that owns it.
    pub partner: name::Partner,
    /// The service it runs for.
    pub service: name::Service,
    /// The data centre it is in.
    pub data_centre: name::DataCentre,
    /// Models that it can serve now, adapters as `model:adapter`.
    #[serde(default)]
    pub models: Vec<String>,
    /// Its current role; ignored for plain services.
    #[serde(default)]
    pub role: Role,
    /// Whether it checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Size of its prefix cache in pieces of about 2,000 tokens.
    #[serde(default)]
    pub cache_pieces: u32,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// How long the announcement is valid, in milliseconds.
    pub lease_ms: u64,
    /// Whether it accepts new work.
    #[serde(default)]
    pub phase: Phase,
    /// Its load, which may be out of date.
    #[serde(default)]
    pub load: Load,
    /// Changes of its prefix cache since the last announcement; they may arrive late or have gaps.
    #[serde(default)]
    pub cache_events: Vec<Event>,
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Phase {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its running work and accepts no new work.
    Draining,
    /// Changes its role or loads weights, and accepts no new work.
    Changing,
    /// Leaves the fleet, and accepts no new work.
    Leaving,
}

/// A target's report of its load.
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
    /// Identifies the order. To a resend of the same id an engine replies with the order's state, and doesn't run it
    /// again.
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
    /// Change to another role.
    #[display("role {role}")]
    Role {
        /// The new role.
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
    /// Accept no new work, and let running streams end.
    #[display("drain")]
    Drain,
    /// Accept new work again.
    #[display("undrain")]
    Undrain,
    /// Leave the fleet once streams have ended.
    #[display("withdraw")]
    Withdraw,
}

/// State of an engine, as the engine reports it.
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
    /// Whether it accepts new work.
    pub phase: Phase,
    /// Number of running streams.
    pub running: u32,
    /// Highest fencing token seen; always 0 if fencing tokens are not checked.
    pub fencing: u64,
    /// Id of the order in progress.
    pub open_order: Option<String>,
    /// The last order that ended; it survives a restart of the engine's process only if the engine has a disk.
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

/// An engine's reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum Reply {
    /// The order was accepted and is in progress (HTTP 202).
    Accepted,
    /// The order has already ended (HTTP 200).
    Ended {
        /// How it ended.
        result: Ending,
    },
    /// The order's fencing token is lower than one seen before (HTTP 409).
    Stale {
        /// The highest number seen.
        highest: u64,
    },
    /// Another order is in progress (HTTP 409).
    Busy {
        /// Id of the order in progress.
        open: String,
    },
    /// The engine can't carry out such an order (HTTP 422).
    Invalid {
        /// The reason.
        reason: String,
    },
}
