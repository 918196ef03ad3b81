//! What a mix of roles is worth to a pool and to those that it lends to, in points a second.

use std::time::Duration;

use crate::{
    capacity::{Mix, Rates, Work},
    demand::{Demand, Load, Sample},
    policy::Policy,
    pool,
};

/// A value of a load at this many standard deviations; see [`SIGMA_POINTS`].
struct SigmaPoint {
    prefill: f64,
    decode: f64,
    weight: f64,
}

const SIGMA_DISTANCE: f64 = 1.732;
const CENTRE_WEIGHT: f64 = 1.0 / 3.0;
const SIDE_WEIGHT: f64 = 1.0 / 6.0;
/// Sigma points of two independent normal variables: their mean and variance are kept.
const SIGMA_POINTS: [SigmaPoint; 5] = [
    SigmaPoint { prefill: 0.0, decode: 0.0, weight: CENTRE_WEIGHT },
    SigmaPoint { prefill: SIGMA_DISTANCE, decode: 0.0, weight: SIDE_WEIGHT },
    SigmaPoint { prefill: -SIGMA_DISTANCE, decode: 0.0, weight: SIDE_WEIGHT },
    SigmaPoint { prefill: 0.0, decode: SIGMA_DISTANCE, weight: SIDE_WEIGHT },
    SigmaPoint { prefill: 0.0, decode: -SIGMA_DISTANCE, weight: SIDE_WEIGHT },
];

/// Points a second that a pool's mix earns, by demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Utility {
    rates: Rates,
    own: Option<Load>,
    weight: f64,
    /// Share of the horizon in which the demand is expected to be as it is now.
    present_share: f64,
    borrowed: Vec<Borrowed>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Borrowed {
    work: Work,
    points: f64,
}

impl Utility {
    /// Expected points a second that `mix` earns with the demand as it is.
    pub fn current(&self, mix: Mix) -> f64 {
        match &self.own {
            Some(load) => {
                SIGMA_POINTS.iter().map(|point| point.weight * self.at(mix, load, point)).sum()
            }
            None => self.earned(mix, Sample::default()),
        }
    }

    /// Expected points a second that `mix` earns over the horizon.
    ///
    /// For the time after the demand's expected shift, the demand of the past stands for that to come.
    pub fn over_horizon(&self, mix: Mix) -> f64 {
        let past = self.own.as_ref().map(|load| load.past.as_slice()).unwrap_or_default();
        if past.is_empty() {
            return self.current(mix);
        }
        let sum: f64 = past.iter().map(|sample| self.earned(mix, *sample)).sum();
        let count = f64::from(u32::try_from(past.len()).unwrap_or(u32::MAX));
        self.present_share * self.current(mix) + (1.0 - self.present_share) * sum / count
    }

    fn at(&self, mix: Mix, load: &Load, point: &SigmaPoint) -> f64 {
        let prefill = load.prefill.at(point.prefill);
        let decode = load.decode.at(point.decode);
        self.earned(mix, Sample { requests: load.requests, prefill, decode })
    }

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

/// Part of `horizon_s` that lies before the next shift, when shifts come at random every `persistence_s`.
fn present_share(horizon_s: u64, persistence_s: f64) -> f64 {
    let ratio = Duration::from_secs(horizon_s).as_secs_f64() / persistence_s.max(f64::MIN_POSITIVE);
    if ratio > 0.0 { (1.0 - (-ratio).exp()) / ratio } else { 1.0 }
}

/// The value of each pool; `None` where the demand is unknown and nothing is borrowed.
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

/// What the pools that `lender` lends to can't serve, divided between all their lenders.
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
