//! The response header that tells callers whether their request ran.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Response header that carries an [`Execution`].
pub const HEADER: &str = "x-daisydrum-outcome";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte of the request reached a target, or the target refused it before running.
    NotRun,
    /// The request reached a target, and it is unknown whether it ran.
    MayHaveRun,
    /// The request ran to completion.
    Ran,
}
