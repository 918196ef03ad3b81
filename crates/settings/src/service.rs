//! Settings of a service, each of which can be set by the venture, by a partner or by the service itself.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::key;

/// Effective settings of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// What the service's targets are.
    pub kind: Kind,
    /// Models that the service offers, with the share of new requests that each gets.
    pub models: Vec<Model>,
    /// Keys of the service's callers.
    pub keys: Vec<key::Key>,
    /// Time limits.
    pub limits: Limits,
    /// Fair shares and queue limits.
    pub admission: Admission,
    /// Retries of requests.
    pub retry: Retry,
    /// Requests that must run at most once.
    pub claims: Claims,
    /// Changes of engines' roles.
    pub roles: Roles,
}

/// What the targets of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Engines that run models.
    #[default]
    Model,
    /// Plain HTTP services, to which requests are passed through.
    Plain,
}

/// A model, adapter (`model:adapter`) or version that a service offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Name that engines load; `name` if it is omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Weight of this version among those with the same `name` when new requests are distributed.
    #[serde(default = "Model::default_weight")]
    #[schemars(range(min = 0, max = 1_000_000))]
    pub weight: u32,
}

impl Model {
    fn default_weight() -> u32 {
        100
    }
}

/// Time limits of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest time from a request's arrival to the end of its response, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub deadline_ms: u64,
    /// Goal for the time to first token, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub first_token_ms: u64,
    /// Goal for the time between output tokens, in milliseconds.
    #[schemars(range(min = 1, max = 60_000))]
    pub token_gap_ms: u64,
    /// Longest silence of a target before it is probed over a new connection, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub progress_ms: u64,
    /// Largest request body, in kilobytes.
    #[schemars(range(min = 1, max = 1_048_576))]
    pub body_kb: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            deadline_ms: 120_000,
            first_token_ms: 820,
            token_gap_ms: 43,
            progress_ms: 5_000,
            body_kb: 1_024,
        }
    }
}

/// Priority of a waiting request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person waits for the response.
    Interactive,
    /// Ordinary requests.
    #[default]
    Standard,
    /// Nobody waits for the response; it can run later.
    Batch,
}

/// Fair shares and queue limits of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Weight of the service's guaranteed share among the partner's services.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub share: u32,
    /// Weight of the partner's guaranteed share among all partners.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub partner_share: u32,
    /// Priority of its requests in the queue.
    pub priority: Priority,
    /// Maximum tokens (prompt and requested output) of the requests in the queue of one instance.
    #[schemars(range(min = 1, max = 1_000_000_000))]
    pub queue_tokens: u64,
    /// Maximum requests in the queue of one instance.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub queue_requests: u32,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            share: 100,
            partner_share: 100,
            priority: Priority::Standard,
            queue_tokens: 2_000_000,
            queue_requests: 2_000,
        }
    }
}

/// Retries of a service's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Maximum attempts of one request, including the first.
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Retries as a share of first attempts, in percent.
    #[schemars(range(min = 0, max = 100))]
    pub budget_percent: u32,
    /// Shortest pause before a retry, in milliseconds; doubles with each attempt, with jitter.
    #[schemars(range(min = 1, max = 60_000))]
    pub backoff_ms: u64,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry { max_attempts: 3, budget_percent: 20, backoff_ms: 20 }
    }
}

/// Requests that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Path prefixes whose requests run at most once; they require an `idempotency-key` header.
    pub paths: Vec<String>,
    /// How long a claim and its response are stored, in seconds.
    #[schemars(range(min = 60, max = 2_592_000))]
    pub retention_s: u64,
    /// Largest response that is stored to answer a resent request, in kilobytes.
    #[schemars(range(min = 0, max = 1_024))]
    pub answer_kb: u64,
}

impl Default for Claims {
    fn default() -> Claims {
        Claims { paths: Vec::new(), retention_s: 86_400, answer_kb: 64 }
    }
}

/// Changes of engines' roles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Roles {
    /// Weight of goodput, in points per request that is answered in time.
    #[schemars(range(min = 0.0))]
    pub goodput_weight: f64,
    /// Cost of one change, in points.
    #[schemars(range(min = 0.0))]
    pub change_price: f64,
    /// Time over which the gain of a change is compared with its cost, in seconds.
    #[schemars(range(min = 1, max = 86_400))]
    pub horizon_s: u64,
    /// Shortest time between two changes of one engine, in seconds.
    #[schemars(range(min = 0, max = 86_400))]
    pub dwell_s: u64,
    /// Maximum engines of the partner in one data centre that change roles at the same time.
    #[schemars(range(min = 1, max = 1_000))]
    pub changes_at_once: u32,
    /// Minimum engines that can prefill (role prefill or mixed).
    #[schemars(range(min = 0, max = 100_000))]
    pub prefill_floor: u32,
    /// Minimum engines that can decode (role decode or mixed).
    #[schemars(range(min = 0, max = 100_000))]
    pub decode_floor: u32,
    /// Longest wait for an engine's streams to end before a change is postponed, in seconds.
    #[schemars(range(min = 1, max = 86_400))]
    pub drain_s: u64,
    /// Partners whose requests the service's engines also serve, with lower precedence than the service's own.
    pub lend_to: Vec<String>,
    /// Percentage by which the gain of a change must exceed its cost.
    #[schemars(range(min = 0, max = 10_000))]
    pub hysteresis_percent: u32,
    /// Expected time for which an engine is unavailable during a change, including its drain, in seconds.
    #[schemars(range(min = 0, max = 3_600))]
    pub change_s: u64,
    /// Prompt tokens that a prefill engine computes per second.
    #[schemars(range(min = 1.0))]
    pub prefill_rate: f64,
    /// Output tokens that a decode engine generates per second.
    #[schemars(range(min = 1.0))]
    pub decode_rate: f64,
    /// Efficiency of a mixed engine relative to a prefill or decode engine, in percent.
    #[schemars(range(min = 1, max = 100))]
    pub mixed_percent: u32,
    /// Maximum models, adapters and versions that engines of one data centre load at the same time.
    #[schemars(range(min = 1, max = 1_000))]
    pub loads_at_once: u32,
    /// Maximum loads started per minute in one data centre, according to the throughput of the weight store.
    #[schemars(range(min = 1, max = 100_000))]
    pub loads_per_minute: u32,
}

impl Default for Roles {
    fn default() -> Roles {
        Roles {
            goodput_weight: 1.0,
            change_price: 20.0,
            horizon_s: 200,
            dwell_s: 120,
            changes_at_once: 1,
            prefill_floor: 1,
            decode_floor: 1,
            drain_s: 60,
            lend_to: Vec::new(),
            hysteresis_percent: 300,
            change_s: 10,
            prefill_rate: 12_000.0,
            decode_rate: 1_700.0,
            mixed_percent: 70,
            loads_at_once: 2,
            loads_per_minute: 12,
        }
    }
}
