//! The engines that a plan is made for.

use common::{clock::Moment, name, role::Role};

use crate::{capacity::Mix, pool};

/// The engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// All engines, by [`Key`].
    pub engines: Vec<Engine>,
}

/// Index of an engine in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

impl Key {
    /// The engine's place in [`Fleet::engines`].
    pub fn index(self) -> usize {
        usize::try_from(self.0).expect("invariant: usize holds 32 bits")
    }
}

/// One engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its name.
    pub name: name::Target,
    /// The pool it belongs to.
    pub pool: pool::Key,
    /// Current role.
    pub role: Role,
    /// Whether it is there, and free or busy with a change.
    pub state: State,
    /// When its role last changed; `None` if never since it is known.
    pub changed_at: Option<Moment>,
    /// Streams that run on it.
    pub running: u32,
}

/// Whether an engine can be planned with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work and has no open order.
    Ready,
    /// Has an open order after which it takes work in this role.
    Changing(Role),
    /// Has another open order, or was told to drain by an operator; takes no new work.
    Held,
    /// Crashed, withdrawn or leaving; not counted.
    Gone,
}

impl Engine {
    /// The role to plan with, unless the engine can't be counted on.
    pub fn planned_role(&self) -> Option<Role> {
        match self.state {
            State::Ready => Some(self.role),
            State::Changing(role) => Some(role),
            State::Held | State::Gone => None,
        }
    }
}

impl Fleet {
    /// Counts the engines of each of `pools` pools by planned role.
    pub fn mixes(&self, pools: usize) -> Vec<Mix> {
        let mut mixes = vec![Mix::default(); pools];
        for engine in &self.engines {
            if let Some(role) = engine.planned_role() {
                mixes[engine.pool.index()].add(role, 1);
            }
        }
        mixes
    }
}
