//! Runs a controller of roles over a trace against a fluid model of the engines.
//!
//! An engine that changes is away for one step. A request counts when its prefill and its decode are both
//! served in the step it arrives in; what exceeds the capacity is late and doesn't count.

use std::time::Duration;

use common::{clock::Moment, name, role::Role};

use crate::{
    capacity::Mix,
    fleet::{Engine, Fleet, Key, State},
    policy::Policy,
    pool,
    trace::{Step, Trace},
};

/// Start of a run; not zero, so that times before it can be told.
const START: Moment = Moment(1_000_000);

/// Decides on changes before each step.
pub trait Controller {
    /// Takes in what arrived in the step that has just ended.
    fn observe(&mut self, middle: Moment, step: &Step);

    /// The changes to start now.
    fn decide(&mut self, fleet: &Fleet, now: Moment) -> Vec<Change>;
}

/// A change to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The engine.
    pub engine: Key,
    /// The role it takes.
    pub to: Role,
    /// Why, for people to read.
    pub reason: String,
}

/// A change that was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The step it started in.
    pub step: usize,
    /// The engine.
    pub engine: name::Target,
    /// Its role before.
    pub from: Role,
    /// The role it took.
    pub to: Role,
    /// Why.
    pub reason: String,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests answered in time.
    pub goodput: f64,
    /// Changes made.
    pub changes: u32,
    /// Engines that served in each step, by role.
    pub mixes: Vec<Mix>,
    /// The changes.
    pub events: Vec<Event>,
}

impl Outcome {
    /// Points by a deployment's weight of goodput and price of a change.
    pub fn score(&self, weight: f64, price: f64) -> f64 {
        self.goodput * weight - f64::from(self.changes) * price
    }
}

/// Makes the fleet of a trace: one pool with `mix`.
pub fn fleet(mix: Mix) -> Fleet {
    let mut engines = Vec::new();
    for role in [Role::Prefill, Role::Decode, Role::Mixed] {
        for _ in 0..mix.count(role) {
            engines.push(Engine {
                name: name::Target(format!("engine-{:03}", engines.len())),
                pool: pool::Key(0),
                role,
                state: State::Ready,
                changed_at: None,
                running: 0,
            });
        }
    }
    Fleet { engines }
}

/// Runs a controller over a trace; `policy` has one pool, whose rates count.
pub fn run<C: Controller>(
    controller: &mut C,
    trace: &Trace,
    policy: &Policy,
    start: Mix,
) -> Outcome {
    let rates = policy.rule(pool::Key(0)).rates();
    let width = Duration::from_secs(trace.step_s);
    let mut fleet = fleet(start);
    let mut outcome = Outcome::default();
    let mut now = START;
    for (index, step) in trace.steps.iter().enumerate() {
        for change in controller.decide(&fleet, now) {
            let engine = &mut fleet.engines[change.engine.index()];
            outcome.events.push(Event {
                step: index,
                engine: engine.name.clone(),
                from: engine.role,
                to: change.to,
                reason: change.reason,
            });
            engine.state = State::Changing(change.to);
            outcome.changes += 1;
        }
        outcome.mixes.push(serving(&fleet));
        now = now + width;
        finish_changes(&mut fleet, now);
        controller.observe(now - width / 2, step);
    }
    outcome.goodput = trace.goodput(&outcome.mixes, rates);
    outcome
}

fn serving(fleet: &Fleet) -> Mix {
    let mut mix = Mix::default();
    for engine in &fleet.engines {
        if engine.state == State::Ready {
            mix.add(engine.role, 1);
        }
    }
    mix
}

fn finish_changes(fleet: &mut Fleet, now: Moment) {
    for engine in &mut fleet.engines {
        if let State::Changing(role) = engine.state {
            engine.role = role;
            engine.state = State::Ready;
            engine.changed_at = Some(now);
        }
    }
}
