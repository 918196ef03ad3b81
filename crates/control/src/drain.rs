//! Drain marks: the targets that operators want drained.
//!
//! The holder of the data centre's lease reads the marks and sends the orders.

use std::collections::BTreeMap;

use common::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::declaration::Author;

/// Most targets of one branch that may be marked at once.
pub const MAX_TARGETS: usize = 20_000;

/// Marks a target for draining or removes the mark.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// Who asks.
    pub author: Author,
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// The target.
    pub target: name::Target,
    /// Whether to set or remove the mark. The field's name is part of the operators' API.
    pub wish: Action,
}

/// What an operator wants a target to do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Action {
    /// Finish its running work and take no new work.
    Drain,
    /// Take new work again.
    Undrain,
}

/// A marked target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// Who asked for the mark.
    pub author: Author,
}

/// The reply to a [`Set`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The mark is set or removed, as asked.
    Recorded,
    /// [`MAX_TARGETS`] targets are marked already.
    Full,
}

/// The drain marks of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    marks: BTreeMap<name::Target, Mark>,
}

impl Table {
    /// The marked targets.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Target, &Mark)> {
        self.marks.iter()
    }

    /// Sets or removes the mark of a target.
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
