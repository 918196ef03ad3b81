//! Targets that operators want drained; the holder of the data centre's lease gives the orders.

use std::collections::BTreeMap;

use common::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::declaration::Author;

/// Targets of one branch that may be marked at once.
pub const MAX_TARGETS: usize = 20_000;

/// Marks a target as wanted drained, or takes the mark away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// Who asks.
    pub author: Author,
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// The target.
    pub target: name::Target,
    /// What is wanted.
    pub wish: Action,
}

/// What an operator wants of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Action {
    /// To finish its work and take no more.
    Drain,
    /// To take work.
    Undrain,
}

/// A marked target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// Who wants it drained.
    pub author: Author,
}

/// The answer to a [`Set`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The mark is as wanted.
    Recorded,
    /// As many targets are marked as can be kept.
    Full,
}

/// The marks of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    marks: BTreeMap<name::Target, Mark>,
}

impl Table {
    /// The marked targets.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Target, &Mark)> {
        self.marks.iter()
    }

    /// Marks a target or takes its mark away.
    pub fn set(&mut self, set: &Set) -> Reply {
        if set.wish == Action::Undrain {
            self.marks.remove(&set.target);
            return Reply::Recorded;
        }
        if self.marks.len() >= MAX_TARGETS && !self.marks.contains_key(&set.target) {
            return Reply::Full;
        }
        let mark = Mark { data_centre: set.data_centre.clone(), author: set.author.clone() };
        self.marks.insert(set.target.clone(), mark);
        Reply::Recorded
    }
}
