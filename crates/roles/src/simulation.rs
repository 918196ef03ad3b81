//! Runs a controller of roles over a trace against a fluid model of the engines.
//!
//! An engine that changes its role doesn't serve for one step. A request counts if its prefill and its decode are
//! both served in the step in which it arrives; work beyond the capacity is late and doesn't count.

use std::time::Duration;

use common::{clock::Moment, name, role::Role};

use crate::{
    capacity::Mix,
    fleet::{Engine, Fleet, Key, State},
    policy::Policy,
    pool,
    trace::{Step, Trace},
};

/// Start of a run; above zero, so that earlier times can be represented.
const START: Moment = Moment(1_000_000);

/// Decides on role changes before each step.
pub trait Controller {
    /// Receives what arrived in the step that has just ended, with the middle of its time.
    fn observe(&mut self, middle: Moment, step: &Step);

    /// Returns the changes to start now.
    fn decide(&mut self, fleet: &Fleet, now: Moment) -> Vec<Change>;
}

/// A role change to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The engine that changes.
    pub engine: Key,
    /// Its new role.
    pub to: Role,
    /// Reason, as text for reports.
    pub reason: String,
}

/// A role change that was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Index of the step in which it started.
    pub step: usize,
    /// Name of the engine.
    pub engine: name::Target,
    /// Its previous role.
    pub from: Role,
    /// Its new role.
    pub to: Role,
    /// Reason, as text for reports.
    pub reason: String,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Number of requests answered in time.
    pub goodput: f64,
    /// Number of changes made.
    pub changes: u32,
    /// Engines that served in each step, by role.
    pub mixes: Vec<Mix>,
    /// The changes in order.
    pub events: Vec<Event>,
}

impl Outcome {
    /// Score in points: `weight` for each request in time, less `price` for each change.
    pub fn score(&self, weight: f64, price: f64) -> f64 {
        self.goodput * weight - f64::from(self.changes) * price
    }
}

/// Makes a fleet of one pool with the roles of `mix`.
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

/// Runs a controller over a trace, from the roles of `start`; the rates are those of the first pool of `policy`.
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

/// The engines that serve, by role.
fn serving(fleet: &Fleet) -> Mix {
    let mut mix = Mix::default();
    for engine in &fleet.engines {
        if engine.state == State::Ready {
            mix.add(engine.role, 1);
        }
    }
    mix
}

/// Gives the changing engines their new roles.
fn finish_changes(fleet: &mut Fleet, now: Moment) {
    for engine in &mut fleet.engines {
        if let State::Changing(role) = engine.state {
            engine.role = role;
            engine.state = State::Ready;
            engine.changed_at = Some(now);
        }
    }
}
