//! Intents: orders recorded before they are sent.

use common::name;
pub use control::intent::Ending;
use serde::{Deserialize, Serialize};
use wire::target::Action;

/// An order recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Identifies the order; an order that is sent again has the same id.
    pub id: String,
    /// The target.
    pub target: name::Target,
    /// What to do.
    pub action: Action,
}

/// The intents of one target in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The target.
    pub target: name::Target,
    /// The open intent.
    pub open: Option<Intent>,
    /// The last intent that ended.
    pub last: Option<Settled>,
}

/// An intent that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The intent.
    pub intent: Intent,
    /// How it ended.
    pub ending: Ending,
}

/// An action that an engine should carry out, not recorded as an intent yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The engine.
    pub target: name::Target,
    /// What to do.
    pub action: Action,
    /// Why, with the values that decided, for operators.
    pub reason: String,
}
