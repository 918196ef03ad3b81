//! Baseline without role changes.

use common::clock::Moment;

use crate::{
    fleet::Fleet,
    simulation::{Change, Controller},
    trace::Step,
};

/// Keeps the roles that the engines start with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fixed;

impl Controller for Fixed {
    fn observe(&mut self, _middle: Moment, _step: &Step) {}

    fn decide(&mut self, _fleet: &Fleet, _now: Moment) -> Vec<Change> {
        Vec::new()
    }
}
