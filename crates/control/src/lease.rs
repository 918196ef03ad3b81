//! Leases: the exclusive right to send orders to the targets of a data centre.
//!
//! A holder measures its term on its own clock, from before it sent its request. The log measures its own time, which
//! is never ahead of real time, and grants the lease to nobody else until the term, the longest step of the log's
//! time and [`MARGIN_MS`] have passed. See `docs/design/leases-and-claims.md`.

use std::collections::BTreeMap;

use common::name;
use serde::{Deserialize, Serialize};

use crate::time;

/// Longest term, in milliseconds.
pub const MAX_TERM_MS: u64 = 60_000;
/// How long the next holder waits after the term, in milliseconds: TCP_USER_TIMEOUT for an order that is still in a
/// kernel's send buffer (2,000) and the drift between two clocks over the longest term (500).
pub const MARGIN_MS: u64 = 2_500;
/// Most data centres of one branch.
pub const MAX_DATA_CENTRES: usize = 1_000;

/// Identifies a process of an instance; each start of an instance draws another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// Asks for the lease of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Who asks.
    pub holder: name::Instance,
    /// The process that asks; a process that asks again gets the lease that it holds.
    pub session: Session,
    /// The term, which the holder measures from before it asked, in milliseconds.
    pub term_ms: u64,
}

/// Extends a lease by another term, measured from before the holder asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The process that holds it.
    pub session: Session,
    /// The lease's fencing token.
    pub fencing: u64,
}

/// Gives a lease back; the holder has no order under way any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The process that holds it.
    pub session: Session,
    /// The lease's fencing token.
    pub fencing: u64,
}

/// A lease of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: name::Instance,
    /// The process that holds it.
    pub session: Session,
    /// The fencing token.
    pub fencing: u64,
    /// Its term, in milliseconds.
    pub term_ms: u64,
    /// The log's time from which another process may get the lease, in milliseconds.
    pub free_at_ms: u64,
    /// Whether orders may still be sent under it.
    pub standing: Validity,
}

/// Whether orders may still be sent under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Validity {
    /// They may.
    Valid,
    /// They may not: the lease was released, or revoked without its holder's knowledge.
    Void,
}

/// The reply to a command about leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The lease is granted or extended.
    Granted {
        /// The fencing token.
        fencing: u64,
        /// The term, to be measured from before the holder asked, in milliseconds.
        term_ms: u64,
    },
    /// Another process holds the lease, or held it and may not know that it ended.
    Held {
        /// The holder.
        holder: name::Instance,
        /// Its fencing token.
        fencing: u64,
        /// How far the log's time has to advance before the lease is free, in milliseconds.
        wait_ms: u64,
    },
    /// The process that asks doesn't hold the lease.
    Lost,
    /// The lease is given back.
    Released,
    /// The term is 0 or above [`MAX_TERM_MS`], or the branch has [`MAX_DATA_CENTRES`] leases already.
    Invalid,
}

/// The leases of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    leases: BTreeMap<name::DataCentre, Lease>,
}

impl Table {
    /// All leases by data centre, including those that have ended.
    pub fn iter(&self) -> impl Iterator<Item = (&name::DataCentre, &Lease)> {
        self.leases.iter()
    }

    /// Whether any lease is not free yet, so that the log's time has to advance.
    pub fn has_unexpired(&self, now: time::Clock) -> bool {
        self.leases.values().any(|lease| lease.free_at_ms > now.now_ms)
    }

    /// Whether `fencing` is the number of the data centre's valid lease.
    pub fn allows(&self, data_centre: &name::DataCentre, fencing: u64) -> bool {
        self.leases
            .get(data_centre)
            .is_some_and(|lease| lease.fencing == fencing && lease.standing == Validity::Valid)
    }

    /// Grants the lease with the fencing token `fencing`, if the previous lease is free.
    pub fn grant(&mut self, now: time::Clock, fencing: u64, grant: &Grant) -> Reply {
        let room =
            self.leases.len() < MAX_DATA_CENTRES || self.leases.contains_key(&grant.data_centre);
        if grant.term_ms == 0 || grant.term_ms > MAX_TERM_MS || !room {
            return Reply::Invalid;
        }
        if let Some(lease) = self.leases.get_mut(&grant.data_centre) {
            if lease.session == grant.session && lease.standing == Validity::Valid {
                lease.extend(now);
                return Reply::Granted { fencing: lease.fencing, term_ms: lease.term_ms };
            }
            if lease.free_at_ms > now.now_ms {
                return Reply::Held {
                    holder: lease.holder.clone(),
                    fencing: lease.fencing,
                    wait_ms: lease.free_at_ms - now.now_ms,
                };
            }
        }
        let mut lease = Lease {
            holder: grant.holder.clone(),
            session: grant.session,
            fencing,
            term_ms: grant.term_ms,
            free_at_ms: 0,
            standing: Validity::Valid,
        };
        lease.extend(now);
        self.leases.insert(grant.data_centre.clone(), lease);
        Reply::Granted { fencing, term_ms: grant.term_ms }
    }

    /// Extends a lease.
    pub fn renew(&mut self, now: time::Clock, renew: &Renew) -> Reply {
        let held = self.held(&renew.data_centre, renew.session, renew.fencing);
        let Some(lease) = held else {
            return Reply::Lost;
        };
        lease.extend(now);
        Reply::Granted { fencing: lease.fencing, term_ms: lease.term_ms }
    }

    /// Ends a lease that its holder gives back; another process may get it at once.
    pub fn release(&mut self, release: &Release) -> Reply {
        let held = self.held(&release.data_centre, release.session, release.fencing);
        let Some(lease) = held else {
            return Reply::Lost;
        };
        lease.standing = Validity::Void;
        lease.free_at_ms = 0;
        Reply::Released
    }

    /// Makes every lease void. Each still counts as held until its term and margin are over.
    pub fn void(&mut self) {
        for lease in self.leases.values_mut() {
            lease.standing = Validity::Void;
        }
    }

    fn held(
        &mut self,
        data_centre: &name::DataCentre,
        session: Session,
        fencing: u64,
    ) -> Option<&mut Lease> {
        self.leases.get_mut(data_centre).filter(|lease| {
            lease.session == session
                && lease.fencing == fencing
                && lease.standing == Validity::Valid
        })
    }
}

impl Lease {
    fn extend(&mut self, now: time::Clock) {
        self.free_at_ms = now.now_ms + self.term_ms + time::MAX_STEP_MS + MARGIN_MS;
    }
}
