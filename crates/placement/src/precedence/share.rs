//! What organisations want and get of a service, divided by weighted max-min fairness (Bertsekas and Gallager 1992): those
//! that want less than an even share get all of it, and the others divide what is left.

use common::{clock::Moment, collections::Map, name};

/// Time constant in which work of the past is forgotten, in milliseconds.
const WINDOW_MS: f64 = 10_000.0;
/// Time without a request after which an organisation is forgotten, in milliseconds.
const IDLE_MS: f64 = 20_000.0;
/// Time for which a computed share holds, in milliseconds.
const SHARE_TTL_MS: f64 = 250.0;
/// Factor of its share above which an organisation has had too much: single requests are uneven.
const TOLERANCE: f64 = 1.15;

/// Share by which an organisation may have got less than it wants and still count as served.
const ROUNDING: f64 = 0.01;

/// Work that an organisation has wanted and got in the recent past, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Use {
    weight: f64,
    wanted_ms: f64,
    served_ms: f64,
    at_ms: f64,
}

impl Use {
    fn forget(&mut self, now_ms: f64) {
        let kept = (-(now_ms - self.at_ms).max(0.0) / WINDOW_MS).exp();
        self.wanted_ms *= kept;
        self.served_ms *= kept;
        self.at_ms = now_ms;
    }
}

/// The organisations that have sent requests in the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    uses: Map<name::Organisation, Use>,
    /// Work per unit of weight that an organisation may get, and when that was computed.
    share_ms: Option<f64>,
    shared_at_ms: f64,
}

impl Shares {
    /// Counts work that an organisation asks for.
    pub fn record_wanted(
        &mut self,
        organisation: Option<&name::Organisation>,
        work_ms: f64,
        now: Moment,
    ) {
        let Some(organisation) = organisation else {
            return;
        };
        let now_ms = now.0 as f64;
        if now_ms - self.shared_at_ms >= SHARE_TTL_MS {
            self.divide(now_ms);
        }
        match self.uses.get_mut(organisation) {
            Some(entry) => {
                entry.forget(now_ms);
                entry.wanted_ms += work_ms;
            }
            None => {
                let entry = Use { weight: 1.0, wanted_ms: work_ms, served_ms: 0.0, at_ms: now_ms };
                self.uses.insert(organisation.clone(), entry);
            }
        }
    }

    /// Counts work that is done for an organisation.
    pub fn record_served(
        &mut self,
        organisation: Option<&name::Organisation>,
        work_ms: f64,
        now: Moment,
    ) {
        if let Some(entry) = organisation.and_then(|organisation| self.uses.get_mut(organisation)) {
            entry.forget(now.0 as f64);
            entry.served_ms += work_ms;
        }
    }

    /// Whether an organisation has had more than its share.
    pub fn is_over(&self, organisation: Option<&name::Organisation>, now: Moment) -> bool {
        let entry = organisation.and_then(|organisation| self.uses.get(organisation));
        let (Some(mut entry), Some(share_ms)) = (entry.copied(), self.share_ms) else {
            return false;
        };
        entry.forget(now.0 as f64);
        entry.served_ms > share_ms * entry.weight * TOLERANCE
    }

    /// Number of organisations that are remembered.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Whether no organisation has sent a request lately.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Forgets the idle ones, and divides what all got among the others by what they want.
    fn divide(&mut self, now_ms: f64) {
        self.uses.retain(|_, entry| now_ms - entry.at_ms < IDLE_MS);
        self.uses.values_mut().for_each(|entry| entry.forget(now_ms));
        let wants = self.uses.values().map(|entry| (entry.wanted_ms, entry.weight)).collect();
        let served_ms = self.uses.values().map(|entry| entry.served_ms).sum();
        self.share_ms = level(wants, served_ms);
        self.shared_at_ms = now_ms;
    }
}

/// The share per unit of weight at which `total` is divided among those that want these amounts, with their weights; `None`
/// if it is enough for all.
pub fn level(mut wants: Vec<(f64, f64)>, total: f64) -> Option<f64> {
    wants.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = total;
    let mut weights: f64 = wants.iter().map(|(_, weight)| weight).sum();
    for (wanted, weight) in wants {
        if wanted / weight > left / weights * (1.0 + ROUNDING) {
            return Some(left / weights);
        }
        left -= wanted;
        weights -= weight;
    }
    None
}
