//! What callers are told about whether their request ran.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Response header that carries a [`Execution`].
pub const HEADER: &str = "x-daisydrum-outcome";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte of the request reached a target, or the target refused it before running.
    NotRun,
    /// The request reached a target and its fate is not known.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}
