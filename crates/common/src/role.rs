//! The roles of an engine.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// The part of requests that an engine runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates output tokens from an imported KV cache of the prompt.
    Decode,
    /// Does both.
    #[default]
    Mixed,
}
