//! Targets that leave, over restarts of control instances: when a departure may be acknowledged, and when targets that were
//! saved before a restart may be used again.
//!
//! A departure is acknowledged once a majority of the control instances has saved it. After a restart a control instance
//! passes targets that it had saved on only once it has heard of a majority, of which at least one has each departure that
//! was acknowledged.

use std::net::SocketAddr;

use common::{collections::Set, name};
use serde::{Deserialize, Serialize};

use crate::registry::{State, Target};

/// A target that leaves or has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The target, in one of the states [`State::Draining`] and [`State::Gone`].
    target: Target,
    /// Version of its software, which isn't encoded with the target.
    software: name::Software,
}

impl Departure {
    /// The departure of a target; `None` if it doesn't leave.
    pub fn new(target: &Target) -> Option<Departure> {
        let leaves = matches!(target.state, State::Draining | State::Gone);
        leaves.then(|| Departure { target: target.clone(), software: target.software.clone() })
    }

    /// The target that leaves; `None` if an instance of another build means something else.
    pub fn into_target(self) -> Option<Target> {
        let Departure { mut target, software } = self;
        target.software = software;
        matches!(target.state, State::Draining | State::Gone).then_some(target)
    }

    /// Start of its process, in milliseconds since the Unix epoch.
    pub fn started_unix_ms(&self) -> u64 {
        self.target.started_unix_ms
    }

    /// The process that leaves, and in which state it is known to be.
    pub fn stage(&self) -> Stage {
        let Target { name, started_unix_ms, state, .. } = &self.target;
        Stage { target: name.clone(), started_unix_ms: *started_unix_ms, state: *state }
    }
}

/// How far a target's process has left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stage {
    target: name::Target,
    started_unix_ms: u64,
    state: State,
}

/// What became of a departure at the control instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Votes {
    /// All control instances, this one included.
    pub members: usize,
    /// Those that have saved it.
    pub saved: usize,
    /// Those of an earlier build, which save none.
    pub earlier: usize,
}

impl Votes {
    /// Whether it may be acknowledged.
    pub fn is_settled(&self) -> bool {
        self.saved >= majority(self.members.saturating_sub(self.earlier))
    }
}

/// Targets that an instance saved before it started, until it may use them.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    targets: Vec<Target>,
    /// Control instances that are known, this one included.
    members: Set<SocketAddr>,
    /// Those of them that have said all that they know since it started.
    heard: Set<SocketAddr>,
}

impl Restored {
    /// Targets that were saved together with the addresses of the control instances, this one's included.
    pub fn new(targets: Vec<Target>, members: impl IntoIterator<Item = SocketAddr>) -> Restored {
        let members = members.into_iter().collect();
        Restored { targets, members, heard: Set::default() }
    }

    /// Records that a control instance, or this one itself, has said all that it knows, and the control instances that are
    /// known now; returns the targets once a majority is heard.
    pub fn hear(
        &mut self,
        from: SocketAddr,
        known: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<Target> {
        self.heard.insert(from);
        self.members.extend(known);
        self.members.insert(from);
        if self.heard.len() >= majority(self.members.len()) {
            std::mem::take(&mut self.targets)
        } else {
            Vec::new()
        }
    }

    /// Removes a target.
    pub fn take(&mut self, name: &name::Target) -> Option<Target> {
        let index = self.targets.iter().position(|target| target.name == *name)?;
        Some(self.targets.swap_remove(index))
    }

    /// The targets that may not be used yet.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}
