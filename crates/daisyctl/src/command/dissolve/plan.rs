//! Which step of a dissolution comes next.

use common::name;
use control::{
    dissolution::{Action, Phase},
    query::Summary,
};
use derive_more::{Display, Error};

use crate::command::branches;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask a branch for a step.
    Step(name::Branch, Action),
    /// Wait until a branch has taken over the venture's last defaults.
    Wait(name::Branch),
    /// Nothing is left to do.
    Done,
}

/// A branch is in a phase that does not belong to the plan.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("branch `{branch}` is {phase}")]
pub struct Conflict {
    /// The branch.
    pub branch: name::Branch,
    /// Its phase.
    pub phase: Phase,
}

/// Works out the next step from the phases of all branches, the venture first.
///
/// The venture is frozen first, so that its defaults stand still; then every partner is frozen, written out and
/// detached, each kind of step on all partners before the next; the venture is closed last.
///
/// # Errors
///
/// Returns a [`Conflict`] when another dissolution is under way.
pub fn next(plan: &str, summaries: &[Summary]) -> Result<Next, Conflict> {
    let strange =
        summaries.iter().find(|summary| summary.phase.plan().is_some_and(|own| own != plan));
    if let Some(summary) = strange {
        return Err(Conflict { branch: summary.branch.clone(), phase: summary.phase.clone() });
    }
    let venture = summaries.iter().find(|summary| branches::is_venture(&summary.branch));
    let partners = || summaries.iter().filter(|summary| !branches::is_venture(&summary.branch));
    if let Some(venture) = venture.filter(|venture| venture.phase == Phase::Joint) {
        return Ok(step(venture, Action::Freeze { version: venture.version }));
    }
    let defaults = venture.map_or(0, |venture| venture.version);
    if let Some(joint) = partners().find(|partner| partner.phase == Phase::Joint) {
        if joint.venture_version < defaults {
            return Ok(Next::Wait(joint.branch.clone()));
        }
        return Ok(step(joint, Action::Freeze { version: joint.version }));
    }
    if let Some(frozen) = partners().find(|partner| matches!(partner.phase, Phase::Frozen { .. })) {
        return Ok(step(frozen, Action::WriteOut));
    }
    let written = partners().find(|partner| matches!(partner.phase, Phase::WrittenOut { .. }));
    if let Some(written) = written {
        let identity = format!("{}-{plan}", written.branch);
        return Ok(step(written, Action::Detach { identity }));
    }
    match venture.filter(|venture| matches!(venture.phase, Phase::Frozen { .. })) {
        Some(venture) => Ok(step(venture, Action::Close)),
        None => Ok(Next::Done),
    }
}

fn step(summary: &Summary, action: Action) -> Next {
    Next::Step(summary.branch.clone(), action)
}
