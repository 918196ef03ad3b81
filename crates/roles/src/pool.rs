//! Pools: the engines of one service in one data centre.

use common::name;
use serde::{Deserialize, Serialize};

/// Index of a pool in a [`crate::policy::Policy`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Key(pub u32);

impl Key {
    /// Index in tables with one row for each pool.
    pub fn index(self) -> usize {
        usize::try_from(self.0).expect("invariant: usize holds 32 bits")
    }
}

/// The engines of one service in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The partner that owns the engines.
    pub partner: name::Partner,
    /// The service that the engines run.
    pub service: name::Service,
    /// The data centre of the engines.
    pub data_centre: name::DataCentre,
}
