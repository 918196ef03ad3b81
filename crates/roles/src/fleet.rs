//! Engines and their states, as the input of a plan.

use common::{clock::Moment, name, role::Role};

use crate::{capacity::Mix, pool};

/// The engines of all pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// All engines, indexed by [`Key`].
    pub engines: Vec<Engine>,
}

/// Index of an engine in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

impl Key {
    /// Index in [`Fleet::engines`].
    pub fn index(self) -> usize {
        usize::try_from(self.0).expect("invariant: usize holds 32 bits")
    }
}

/// One engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of the engine.
    pub name: name::Target,
    /// Pool that it belongs to.
    pub pool: pool::Key,
    /// Current role.
    pub role: Role,
    /// Whether it serves or is changing.
    pub state: State,
    /// When its role last changed; `None` if it hasn't since the engine became known.
    pub changed_at: Option<Moment>,
    /// Number of running streams.
    pub running: u32,
}

/// Whether an engine serves or is changing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes requests and has no open order.
    Ready,
    /// Has an open order to change to this role.
    Changing(Role),
    /// Has another open order, or is drained by an operator; takes no requests.
    Held,
    /// Crashed, withdrawn or leaving.
    Gone,
}

impl Engine {
    /// The role that the engine has or is changing to; `None` if it takes no requests.
    pub fn planned_role(&self) -> Option<Role> {
        match self.state {
            State::Ready => Some(self.role),
            State::Changing(role) => Some(role),
            State::Held | State::Gone => None,
        }
    }
}

impl Fleet {
    /// Counts the engines of each of `pools` pools by their planned role.
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
