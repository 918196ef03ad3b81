//! The pools and their settings, as the input of a plan.

use settings::service::Roles;

use crate::{capacity::Rates, pool};

const PERCENT: f64 = 100.0;

/// All pools with their settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Rule of each pool, indexed by [`pool::Key`].
    pub rules: Vec<Rule>,
}

/// A pool and its settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rule {
    /// The pool.
    pub pool: pool::Pool,
    /// Effective settings of its service.
    pub roles: Roles,
}

impl Rule {
    /// Throughput of one engine of the pool.
    pub fn rates(&self) -> Rates {
        Rates {
            prefill: self.roles.prefill_rate,
            decode: self.roles.decode_rate,
            mixed: f64::from(self.roles.mixed_percent) / PERCENT,
        }
    }

    /// Whether the pool's engines may serve requests of `borrower`.
    pub fn lends_to(&self, borrower: &Rule) -> bool {
        self.pool.partner != borrower.pool.partner
            && self.roles.lend_to.contains(&borrower.pool.partner.0)
    }

    /// Factor by which the gain of a change must exceed its costs, as hysteresis.
    pub fn margin(&self) -> f64 {
        1.0 + f64::from(self.roles.hysteresis_percent) / PERCENT
    }
}

impl Policy {
    /// The keys of all pools.
    pub fn keys(&self) -> impl Iterator<Item = pool::Key> + use<> {
        (0..u32::try_from(self.rules.len()).unwrap_or(u32::MAX)).map(pool::Key)
    }

    /// The rule of a pool.
    pub fn rule(&self, key: pool::Key) -> &Rule {
        &self.rules[key.index()]
    }
}
