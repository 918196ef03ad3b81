//! Baseline that changes engines as soon as one role is overloaded while the other has spare capacity.

use common::{clock::Moment, role::Role};

use crate::{
    capacity::{Mix, Rates, Work},
    fleet::{Fleet, Key, State},
    simulation::{Change, Controller},
    trace::Step,
};

/// Utilisation above which the engines of a role count as full.
const FULL: f64 = 0.9;
/// Utilisation below which the engines of a role count as having spare capacity.
const SPARE: f64 = 0.8;

/// Changes engines to the role that was full in the last step.
#[derive(Clone, Copy, Debug)]
pub struct Threshold {
    rates: Rates,
    step_s: f64,
    changes_at_once: u32,
    /// Work of the last step.
    work: Work,
}

impl Threshold {
    /// Makes a controller that starts at most `changes_at_once` changes in a step of `step_s` seconds.
    pub fn new(rates: Rates, step_s: f64, changes_at_once: u32) -> Threshold {
        Threshold { rates, step_s, changes_at_once, work: Work::default() }
    }

    /// The role that needs more engines, if the other one can spare some.
    fn direction(&self, mix: Mix) -> Option<Role> {
        let prefill = self.work.prefill / f64::from(mix.prefill.max(1));
        let decode = self.work.decode / f64::from(mix.decode.max(1));
        if prefill > FULL && decode < SPARE && mix.decode > 1 {
            Some(Role::Prefill)
        } else if decode > FULL && prefill < SPARE && mix.prefill > 1 {
            Some(Role::Decode)
        } else {
            None
        }
    }
}

impl Controller for Threshold {
    fn observe(&mut self, _middle: Moment, step: &Step) {
        self.work = step.work(self.rates, self.step_s);
    }

    fn decide(&mut self, fleet: &Fleet, _now: Moment) -> Vec<Change> {
        let mut mix = fleet.mixes(1)[0];
        let mut changes: Vec<Change> = Vec::new();
        for _ in 0..self.changes_at_once {
            let Some(to) = self.direction(mix) else { break };
            let engine = (0..).map(Key).zip(&fleet.engines).find(|(key, engine)| {
                engine.state == State::Ready
                    && engine.role != to
                    && changes.iter().all(|change| change.engine != *key)
            });
            let Some((key, engine)) = engine else { break };
            mix = mix.moved(engine.role, to).unwrap_or(mix);
            changes.push(Change { engine: key, to, reason: format!("{to} engines are full") });
        }
        changes
    }
}
