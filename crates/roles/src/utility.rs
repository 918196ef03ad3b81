//! Utility of a mix of roles: the weighted goodput of a pool and of those that it lends to, in points per second.

use std::time::Duration;

use crate::{
    capacity::{Mix, Rates, Work},
    demand::{Demand, Load, Sample},
    policy::Policy,
    pool,
};

/// A load at a number of standard deviations from its mean; see [`SIGMA_POINTS`].
struct SigmaPoint {
    prefill: f64,
    decode: f64,
    weight: f64,
}

/// Distance from the mean in standard deviations: the square root of 3.
const SIGMA_DISTANCE: f64 = 1.732;
const CENTRE_WEIGHT: f64 = 1.0 / 3.0;
const SIDE_WEIGHT: f64 = 1.0 / 6.0;
/// Sigma points of two independent normal variables, as in the unscented transform: they preserve mean and variance.
const SIGMA_POINTS: [SigmaPoint; 5] = [
    SigmaPoint { prefill: 0.0, decode: 0.0, weight: CENTRE_WEIGHT },
    SigmaPoint { prefill: SIGMA_DISTANCE, decode: 0.0, weight: SIDE_WEIGHT },
    SigmaPoint { prefill: -SIGMA_DISTANCE, decode: 0.0, weight: SIDE_WEIGHT },
    SigmaPoint { prefill: 0.0, decode: SIGMA_DISTANCE, weight: SIDE_WEIGHT },
    SigmaPoint { prefill: 0.0, decode: -SIGMA_DISTANCE, weight: SIDE_WEIGHT },
];

/// Utility of the mixes of one pool for its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Utility {
    rates: Rates,
    /// Load of the pool; `None` if it is unknown.
    own: Option<Load>,
    /// Points for each request in time.
    weight: f64,
    /// Expected share of the horizon before the demand shifts.
    present_share: f64,
    /// Work of other pools that this one may serve with its spare capacity.
    borrowed: Vec<Borrowed>,
}

/// Work of another pool.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Borrowed {
    /// The work, at the rates of this pool's engines.
    work: Work,
    /// Points per second if all of it is served.
    points: f64,
}

impl Utility {
    /// Expected points per second of `mix` at the current demand.
    pub fn current(&self, mix: Mix) -> f64 {
        match &self.own {
            Some(load) => {
                SIGMA_POINTS.iter().map(|point| point.weight * self.at(mix, load, point)).sum()
            }
            None => self.earned(mix, Sample::default()),
        }
    }

    /// Expected points per second of `mix`, averaged over the planning horizon.
    ///
    /// For the time after the demand has shifted, the samples of the past are used as its distribution.
    pub fn over_horizon(&self, mix: Mix) -> f64 {
        let past = self.own.as_ref().map(|load| load.past.as_slice()).unwrap_or_default();
        if past.is_empty() {
            return self.current(mix);
        }
        let sum: f64 = past.iter().map(|sample| self.earned(mix, *sample)).sum();
        let count = f64::from(u32::try_from(past.len()).unwrap_or(u32::MAX));
        self.present_share * self.current(mix) + (1.0 - self.present_share) * sum / count
    }

    /// Points per second of `mix` at one sigma point of the load.
    fn at(&self, mix: Mix, load: &Load, point: &SigmaPoint) -> f64 {
        let prefill = load.prefill.at(point.prefill);
        let decode = load.decode.at(point.decode);
        self.earned(mix, Sample { requests: load.requests, prefill, decode })
    }

    /// Points per second of `mix` at a known demand; the pool's own requests take precedence.
    fn earned(&self, mix: Mix, own: Sample) -> f64 {
        let headroom = mix.headroom(self.rates);
        let work = Work::new(own.prefill, own.decode, self.rates);
        let share = headroom.served_share(work);
        let mut points = self.weight * own.requests * share;
        let mut headroom = headroom.minus(work.scaled(share));
        for borrowed in &self.borrowed {
            let share = headroom.served_share(borrowed.work);
            points += borrowed.points * share;
            headroom = headroom.minus(borrowed.work.scaled(share));
        }
        points
    }
}

/// Expected share of `horizon_s` before the next shift, if the time until then is exponentially distributed with mean
/// `persistence_s`.
fn present_share(horizon_s: u64, persistence_s: f64) -> f64 {
    let ratio = Duration::from_secs(horizon_s).as_secs_f64() / persistence_s.max(f64::MIN_POSITIVE);
    if ratio > 0.0 { (1.0 - (-ratio).exp()) / ratio } else { 1.0 }
}

/// The utility of each pool; `None` if its demand is unknown and nothing is borrowed.
pub fn all(demand: &Demand, mixes: &[Mix], policy: &Policy) -> Vec<Option<Utility>> {
    policy
        .keys()
        .map(|key| {
            let rule = policy.rule(key);
            let own = demand.load(key).cloned();
            let borrowed = borrowed(key, demand, mixes, policy);
            let known = own.is_some() || !borrowed.is_empty();
            let persistence_s = own.as_ref().map_or(f64::INFINITY, |load| load.persistence_s);
            known.then(|| Utility {
                rates: rule.rates(),
                own,
                present_share: present_share(rule.roles.horizon_s, persistence_s),
                weight: rule.roles.goodput_weight,
                borrowed,
            })
        })
        .collect()
}

/// The work that the pools that `lender` lends to can't serve, divided equally among all their lenders.
fn borrowed(lender: pool::Key, demand: &Demand, mixes: &[Mix], policy: &Policy) -> Vec<Borrowed> {
    let rule = policy.rule(lender);
    if rule.roles.lend_to.is_empty() {
        return Vec::new();
    }
    let mut borrowed = Vec::new();
    for key in policy.keys() {
        let borrower = policy.rule(key);
        if !rule.lends_to(borrower) {
            continue;
        }
        let Some(load) = demand.load(key) else {
            continue;
        };
        let rates = borrower.rates();
        let offered = Work::new(load.prefill.mean, load.decode.mean, rates);
        let unserved = 1.0 - mixes[key.index()].headroom(rates).served_share(offered);
        let lenders = policy.rules.iter().filter(|other| other.lends_to(borrower)).count();
        let unserved_share = unserved / f64::from(u32::try_from(lenders).unwrap_or(u32::MAX));
        if unserved_share > 0.0 {
            let work =
                Work::new(load.prefill.mean, load.decode.mean, rule.rates()).scaled(unserved_share);
            let points = borrower.roles.goodput_weight * load.requests * unserved_share;
            borrowed.push(Borrowed { work, points });
        }
    }
    borrowed
}
