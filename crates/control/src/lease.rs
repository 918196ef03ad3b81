//! The right to give orders in a data centre.
//!
//! A holder counts its term on its own clock from before it asked. The log counts its own time, which is never
//! ahead of real time, and lets nobody else in before the term, the longest uncounted step and
//! [`MARGIN_MS`] have passed. See `docs/design/leases-and-claims.md`.

use std::collections::BTreeMap;

use common::name;
use serde::{Deserialize, Serialize};

use crate::time;

/// Longest term, in milliseconds.
pub const MAX_TERM_MS: u64 = 60_000;
/// What a successor waits beyond the term, in milliseconds: TCP_USER_TIMEOUT for an order in a kernel's buffer
/// (2,000) and the drift of two clocks over the longest term (500).
pub const MARGIN_MS: u64 = 2_500;
/// Data centres of one branch.
pub const MAX_DATA_CENTRES: usize = 1_000;

/// Tells the processes of one instance apart; random at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// Asks for the right to order in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Who asks.
    pub holder: name::Instance,
    /// The process that asks; a resend by the same process gets the same lease.
    pub session: Session,
    /// How long the holder will hold it from before it asked, in milliseconds.
    pub term_ms: u64,
}

/// Prolongs the right by another term, counted from before it asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The process that holds it.
    pub session: Session,
    /// The lease's fencing number.
    pub fencing: u64,
}

/// Gives the right back; the holder has no order under way any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The process that holds it.
    pub session: Session,
    /// The lease's fencing number.
    pub fencing: u64,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: name::Instance,
    /// The process that holds it.
    pub session: Session,
    /// The fencing number.
    pub fencing: u64,
    /// Its term, in milliseconds.
    pub term_ms: u64,
    /// The log's time from which another may get it, in milliseconds.
    pub free_at_ms: u64,
    /// Whether it still gives the right to order.
    pub standing: Validity,
}

/// Whether a lease still gives the right to order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Validity {
    /// It does.
    Valid,
    /// It was taken back, but its holder may not know yet.
    Void,
}

/// The answer to a command on leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Granted or prolonged.
    Granted {
        /// The fencing number.
        fencing: u64,
        /// The term, to be counted from before the holder asked, in milliseconds.
        term_ms: u64,
    },
    /// Somebody else holds it, or held it and may not know that it ended.
    Held {
        /// The holder.
        holder: name::Instance,
        /// Its fencing number.
        fencing: u64,
        /// Time of the log to wait, in milliseconds.
        wait_ms: u64,
    },
    /// The asker doesn't hold it any more.
    Lost,
    /// Given back.
    Released,
    /// The term or the number of data centres is above its bound.
    Invalid,
}

/// The leases of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    leases: BTreeMap<name::DataCentre, Lease>,
}

impl Table {
    /// All leases by data centre, also those whose time is over.
    pub fn iter(&self) -> impl Iterator<Item = (&name::DataCentre, &Lease)> {
        self.leases.iter()
    }

    /// Whether any lease runs or has to be waited out.
    pub fn has_unexpired(&self, now: time::Clock) -> bool {
        self.leases.values().any(|lease| lease.free_at_ms > now.now_ms)
    }

    /// Whether `fencing` is the number of the data centre's valid lease.
    pub fn allows(&self, data_centre: &name::DataCentre, fencing: u64) -> bool {
        self.leases
            .get(data_centre)
            .is_some_and(|lease| lease.fencing == fencing && lease.standing == Validity::Valid)
    }

    /// Grants a lease under `fencing` if the former one has been waited out.
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

    /// Prolongs a lease.
    pub fn renew(&mut self, now: time::Clock, renew: &Renew) -> Reply {
        let held = self.held(&renew.data_centre, renew.session, renew.fencing);
        let Some(lease) = held else {
            return Reply::Lost;
        };
        lease.extend(now);
        Reply::Granted { fencing: lease.fencing, term_ms: lease.term_ms }
    }

    /// Takes a lease back.
    pub fn release(&mut self, release: &Release) -> Reply {
        let held = self.held(&release.data_centre, release.session, release.fencing);
        let Some(lease) = held else {
            return Reply::Lost;
        };
        lease.standing = Validity::Void;
        lease.free_at_ms = 0;
        Reply::Released
    }

    /// Voids every lease; each still has to be waited out.
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
