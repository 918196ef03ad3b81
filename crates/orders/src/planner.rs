//! Plans what the engines of a data centre should do, from announcements and offered load: role changes whose gain
//! exceeds their cost, and models to load or unload.

mod demand;
mod models;

use common::{clock::Moment, collections::Map, name, role::Role};
use roles::{
    demand::{Demand, Load},
    fleet::{Engine, Fleet, State},
    plan::{self, Plan},
    policy::{Policy, Rule},
    pool,
};
use settings::service::Service;
use wire::{
    operator,
    peer::Offered,
    target::{Action, Announcement, Kind, Phase},
};

use self::demand::Meter;
pub use self::demand::Process;
use crate::{executor::Task, intent::Proposal};

/// A service and the pool of its engines in the data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The pool.
    pub pool: pool::Pool,
    /// The service's effective settings.
    pub service: Service,
}

/// The state that one plan is based on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The services of the data centre.
    pub deployments: &'a [Deployment],
    /// The targets whose announcements have not expired.
    pub targets: &'a [Announcement],
    /// Intents under way.
    pub open: &'a [Task],
}

/// The result of one plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// What engines should do.
    pub proposals: Vec<Proposal>,
    /// The state of each pool, for operators.
    pub pools: Vec<operator::Pool>,
}

/// Plans, and keeps the demand, role changes and loaded models seen so far.
#[derive(Debug, Default)]
pub struct Planner {
    meters: Map<pool::Pool, Meter>,
    engines: Map<name::Target, Seen>,
    models: models::History,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    role: Role,
    changed_at: Option<Moment>,
}

impl Planner {
    /// Records what an instance of the data centre has counted since its start.
    pub fn observe(
        &mut self,
        data_centre: &name::DataCentre,
        process: &Process,
        offered: &[Offered],
        now: Moment,
    ) {
        for count in offered {
            let pool = pool::Pool {
                partner: count.partner.clone(),
                service: count.service.clone(),
                data_centre: data_centre.clone(),
            };
            self.meters.entry(pool).or_default().count_offered(process, count, now);
        }
    }

    /// Plans what the engines should do at `now`.
    pub fn plan(&mut self, input: Input<'_>, now: Moment) -> Output {
        self.observe_targets(input, now);
        let policy = Policy { rules: input.deployments.iter().map(Deployment::rule).collect() };
        let fleet = self.fleet(input);
        let demand = Demand {
            loads: input.deployments.iter().map(|item| self.load(&item.pool, now)).collect(),
        };
        let plan = plan::plan(&demand, &fleet, &policy, now);
        let mut proposals = self.models.proposals(input, now);
        proposals.extend(plan.changes.iter().map(|change| Proposal {
            target: fleet.engines[change.engine.index()].name.clone(),
            action: Action::Role { role: change.to },
            reason: change.to_string(),
        }));
        let pools = pools(input, &demand, &fleet, &plan);
        Output { proposals, pools }
    }

    fn observe_targets(&mut self, input: Input<'_>, now: Moment) {
        for target in engines(input.targets) {
            let seen = self
                .engines
                .entry(target.target.clone())
                .or_insert(Seen { role: target.role, changed_at: None });
            if seen.role != target.role {
                *seen = Seen { role: target.role, changed_at: Some(now) };
            }
            if let Some(meter) = self.meters.get_mut(&pool_of(target)) {
                meter.count_tokens(target);
            }
        }
        let known = &input.targets;
        self.engines.retain(|name, _| known.iter().any(|target| target.target == *name));
    }

    fn load(&self, pool: &pool::Pool, now: Moment) -> Option<Load> {
        self.meters.get(pool)?.estimate(now)
    }

    fn fleet(&self, input: Input<'_>) -> Fleet {
        let keys: Map<&pool::Pool, pool::Key> =
            input.deployments.iter().map(|item| &item.pool).zip((0..).map(pool::Key)).collect();
        let open: Map<&name::Target, &Action> =
            input.open.iter().map(|task| (&task.intent.target, &task.intent.action)).collect();
        let engine = |target: &Announcement| {
            Some(Engine {
                name: target.target.clone(),
                pool: *keys.get(&pool_of(target))?,
                role: target.role,
                state: state(target.phase, open.get(&target.target).copied()),
                changed_at: self.engines.get(&target.target)?.changed_at,
                running: target.load.running,
            })
        };
        Fleet { engines: engines(input.targets).filter_map(engine).collect() }
    }
}

impl Deployment {
    fn rule(&self) -> Rule {
        Rule { pool: self.pool.clone(), roles: self.service.roles.clone() }
    }
}

fn engines(targets: &[Announcement]) -> impl Iterator<Item = &Announcement> {
    targets.iter().filter(|target| target.kind == Kind::Engine)
}

/// The pool that a target belongs to.
pub fn pool_of(target: &Announcement) -> pool::Pool {
    pool::Pool {
        partner: target.partner.clone(),
        service: target.service.clone(),
        data_centre: target.data_centre.clone(),
    }
}

fn state(phase: Phase, open: Option<&Action>) -> State {
    match (phase, open) {
        (Phase::Leaving, _) => State::Gone,
        (_, Some(Action::Role { role })) => State::Changing(*role),
        (_, Some(_)) | (Phase::Draining | Phase::Changing, None) => State::Held,
        (Phase::Ready, None) => State::Ready,
    }
}

fn pools(input: Input<'_>, demand: &Demand, fleet: &Fleet, plan: &Plan) -> Vec<operator::Pool> {
    let mut current = vec![operator::Mix::default(); input.deployments.len()];
    for engine in fleet.engines.iter().filter(|engine| engine.state != State::Gone) {
        let mix = &mut current[engine.pool.index()];
        match engine.role {
            Role::Prefill => mix.prefill += 1,
            Role::Decode => mix.decode += 1,
            Role::Mixed => mix.mixed += 1,
        }
    }
    plan.pools
        .iter()
        .map(|state| {
            let load = demand.load(state.pool);
            let of = |rate: fn(&Load) -> f64| load.map(rate);
            operator::Pool {
                partner: input.deployments[state.pool.index()].pool.partner.clone(),
                service: input.deployments[state.pool.index()].pool.service.clone(),
                current: current[state.pool.index()],
                intended: operator::Mix {
                    prefill: state.mix.prefill,
                    decode: state.mix.decode,
                    mixed: state.mix.mixed,
                },
                requests: of(|load| load.requests),
                prefill_tokens: of(|load| load.prefill.mean),
                decode_tokens: of(|load| load.decode.mean),
                reason: state.reason.to_string(),
            }
        })
        .collect()
}
