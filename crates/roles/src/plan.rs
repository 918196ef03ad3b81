//! Selects the engines that should change their role.
//!
//! Each plan is computed from the current demand and fleet alone, so the loss of an engine needs no special handling:
//! the next plan differs. Engines with an open order are never changed, and their changes count towards the limit on
//! concurrent changes.

pub mod change;

use std::time::Duration;

use common::{clock::Moment, collections::Map, name, role::Role};

use crate::{
    capacity::Mix,
    demand::Demand,
    fleet::{self, Fleet, State},
    plan::change::{Change, Payoff, PoolState, Reason},
    policy::Policy,
    pool,
    utility::Utility,
};

/// The changes to make now, and why each pool makes no further one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Changes, pool by pool, those with the highest net payoff first.
    pub changes: Vec<Change>,
    /// One entry for each pool.
    pub pools: Vec<PoolState>,
}

/// Computes the changes that pay.
pub fn plan(demand: &Demand, fleet: &Fleet, policy: &Policy, now: Moment) -> Plan {
    let mut planner = Planner::new(demand, fleet, policy, now);
    for key in policy.keys() {
        planner.plan_pool(key);
    }
    planner.plan
}

/// A partner's engines in one data centre, which share the limit on concurrent changes.
type Deployment<'a> = (&'a name::Partner, &'a name::DataCentre);

/// State of one planning run; the vectors are indexed by pool.
struct Planner<'a> {
    fleet: &'a Fleet,
    policy: &'a Policy,
    now: Moment,
    /// Engines by role once the planned changes have ended.
    mixes: Vec<Mix>,
    utilities: Vec<Option<Utility>>,
    /// Engines that may change, in the order in which they are chosen.
    engines: Vec<Vec<fleet::Key>>,
    /// Number of concurrent changes.
    changing: Map<Deployment<'a>, u32>,
    plan: Plan,
}

/// A possible role change of any engine of a pool.
#[derive(Clone, Copy)]
struct Candidate {
    from: Role,
    to: Role,
    /// The pool's engines by role after the change.
    mix: Mix,
    payoff: Payoff,
}

const ROLE_CHANGES: [(Role, Role); 6] = [
    (Role::Prefill, Role::Decode),
    (Role::Decode, Role::Prefill),
    (Role::Prefill, Role::Mixed),
    (Role::Decode, Role::Mixed),
    (Role::Mixed, Role::Prefill),
    (Role::Mixed, Role::Decode),
];

impl<'a> Planner<'a> {
    fn new(demand: &Demand, fleet: &'a Fleet, policy: &'a Policy, now: Moment) -> Planner<'a> {
        let mixes = fleet.mixes(policy.rules.len());
        let utilities = crate::utility::all(demand, &mixes, policy);
        let mut planner = Planner {
            fleet,
            policy,
            now,
            mixes,
            utilities,
            engines: vec![Vec::new(); policy.rules.len()],
            changing: Map::default(),
            plan: Plan::default(),
        };
        planner.index_engines();
        planner
    }

    /// Counts the open changes, and orders the ready engines: few running streams first, then the longest in a role.
    fn index_engines(&mut self) {
        for (key, engine) in (0..).map(fleet::Key).zip(&self.fleet.engines) {
            match engine.state {
                State::Ready => self.engines[engine.pool.index()].push(key),
                State::Changing(_) => *self.open_changes(engine.pool) += 1,
                State::Held | State::Gone => {}
            }
        }
        for engines in &mut self.engines {
            engines.sort_by_key(|key| {
                let engine = &self.fleet.engines[key.index()];
                (engine.running, engine.changed_at, *key)
            });
        }
    }

    /// Number of concurrent changes of the deployment that a pool belongs to.
    fn open_changes(&mut self, key: pool::Key) -> &mut u32 {
        let pool = &self.policy.rule(key).pool;
        self.changing.entry((&pool.partner, &pool.data_centre)).or_default()
    }

    /// Adds changes of a pool until none is allowed or pays.
    fn plan_pool(&mut self, key: pool::Key) {
        let reason = loop {
            match self.next_change(key) {
                Ok(change) => self.accept(key, change),
                Err(reason) => break reason,
            }
        };
        self.plan.pools.push(PoolState { pool: key, mix: self.mixes[key.index()], reason });
    }

    fn accept(&mut self, key: pool::Key, change: Change) {
        self.engines[key.index()].retain(|engine| *engine != change.engine);
        self.mixes[key.index()] = self.mixes[key.index()]
            .moved(change.from, change.to)
            .expect("invariant: the changed engine is counted");
        *self.open_changes(key) += 1;
        self.plan.changes.push(change);
    }

    /// The allowed change with the highest net payoff, or why there is none.
    fn next_change(&mut self, key: pool::Key) -> Result<Change, Reason> {
        let Some(utility) = &self.utilities[key.index()] else {
            return Err(Reason::UnknownDemand);
        };
        let candidates = self.candidates(key, utility);
        let Some(best) = candidates.first().copied() else {
            return Err(Reason::Balanced);
        };
        let rule = self.policy.rule(key);
        if !best.payoff.pays(rule.margin()) {
            return Err(Reason::NotWorth(best.payoff));
        }
        let limit = rule.roles.changes_at_once;
        if *self.open_changes(key) >= limit {
            return Err(Reason::Limit { limit, payoff: best.payoff });
        }
        let mut blocker = None;
        for candidate in candidates {
            if !candidate.payoff.pays(rule.margin()) {
                break;
            }
            match self.engine_for(key, &candidate) {
                Ok(engine) => return Ok(candidate.change(engine, key)),
                Err(reason) => {
                    blocker.get_or_insert(reason);
                }
            }
        }
        Err(blocker.unwrap_or(Reason::NotWorth(best.payoff)))
    }

    /// The changes with a positive gain, by descending net payoff.
    fn candidates(&self, key: pool::Key, utility: &Utility) -> Vec<Candidate> {
        let roles = &self.policy.rule(key).roles;
        let mix = self.mixes[key.index()];
        let current = utility.current(mix);
        let over_horizon = utility.over_horizon(mix);
        let change_s = Duration::from_secs(roles.change_s).as_secs_f64();
        let served_s = (Duration::from_secs(roles.horizon_s).as_secs_f64() - change_s).max(0.0);
        let mut candidates = Vec::new();
        for (from, to) in ROLE_CHANGES {
            let (Some(during), Some(moved)) = (mix.without(from), mix.moved(from, to)) else {
                continue;
            };
            let payoff = Payoff {
                gain: (utility.over_horizon(moved) - over_horizon) * served_s,
                lost: (current - utility.current(during)) * change_s,
                price: roles.change_price,
            };
            if payoff.gain > 0.0 {
                candidates.push(Candidate { from, to, mix: moved, payoff });
            }
        }
        candidates.sort_by(|a, b| b.payoff.net().total_cmp(&a.payoff.net()));
        candidates
    }

    /// The engine to make a change, or what forbids it.
    fn engine_for(&self, key: pool::Key, candidate: &Candidate) -> Result<fleet::Key, Reason> {
        let roles = &self.policy.rule(key).roles;
        let payoff = candidate.payoff;
        let serving = self.serving_without(key, candidate.from);
        let keeps_floors = candidate.mix.can_prefill().min(serving.can_prefill())
            >= roles.prefill_floor
            && candidate.mix.can_decode().min(serving.can_decode()) >= roles.decode_floor;
        if !keeps_floors {
            return Err(Reason::Floor(payoff));
        }
        let dwell = Duration::from_secs(roles.dwell_s);
        self.engines[key.index()]
            .iter()
            .copied()
            .find(|engine| {
                let engine = &self.fleet.engines[engine.index()];
                engine.role == candidate.from
                    && engine.changed_at.is_none_or(|at| self.now.since(at) >= dwell)
            })
            .ok_or(Reason::Dwell(payoff))
    }

    /// The engines that serve while one more with the role `from` changes.
    fn serving_without(&self, key: pool::Key, from: Role) -> Mix {
        let mut mix = Mix::default();
        for engine in &self.engines[key.index()] {
            mix.add(self.fleet.engines[engine.index()].role, 1);
        }
        mix.without(from).unwrap_or(mix)
    }
}

impl Candidate {
    fn change(&self, engine: fleet::Key, pool: pool::Key) -> Change {
        Change { engine, pool, from: self.from, to: self.to, payoff: self.payoff }
    }
}
