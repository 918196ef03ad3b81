//! Determines the next step of a dissolution.

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
    /// Request a step of a branch.
    Step(name::Branch, Action),
    /// Wait until a branch has adopted the venture's last defaults.
    Wait(name::Branch),
    /// Nothing is left to do.
    Done,
}

/// A branch is in a phase of another dissolution.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("branch `{branch}` is {phase}")]
pub struct Conflict {
    /// The branch.
    pub branch: name::Branch,
    /// Its phase.
    pub phase: Phase,
}

/// Determines the next step from the summaries of all branches (phase and versions).
///
/// The venture is frozen first, so that its defaults no longer change; then every partner is frozen, written out and
/// detached, each kind of step on all partners before the next; the venture is closed last.
///
/// # Errors
///
/// Returns a [`Conflict`] when another dissolution is in progress.
pub fn next(plan: &str, summaries: &[Summary]) -> Result<Next, Conflict> {
    let conflicting =
        summaries.iter().find(|summary| summary.phase.plan().is_some_and(|own| own != plan));
    if let Some(summary) = conflicting {
        return Err(Conflict { branch: summary.branch.clone(), phase: summary.phase.clone() });
    }
    let venture = summaries.iter().find(|summary| branches::is_venture(&summary.branch));
    let partners = || summaries.iter().filter(|summary| !branches::is_venture(&summary.branch));
    if let Some(venture) = venture.filter(|venture| venture.phase == Phase::Joint) {
        return Ok(step(venture, Action::Freeze { version: venture.version }));
    }
    let defaults = venture.map_or(0, |venture| venture.version);
    if let Some(partner) = partners().find(|partner| partner.phase == Phase::Joint) {
        if partner.venture_version < defaults {
            return Ok(Next::Wait(partner.branch.clone()));
        }
        return Ok(step(partner, Action::Freeze { version: partner.version }));
    }
    if let Some(frozen) = partners().find(|partner| matches!(partner.phase, Phase::Frozen { .. })) {
        return Ok(step(frozen, Action::WriteOut));
    }
    let written_out = partners().find(|partner| matches!(partner.phase, Phase::WrittenOut { .. }));
    if let Some(written_out) = written_out {
        let identity = format!("{}-{plan}", written_out.branch);
        return Ok(step(written_out, Action::Detach { identity }));
    }
    match venture.filter(|venture| matches!(venture.phase, Phase::Frozen { .. })) {
        Some(venture) => Ok(step(venture, Action::Close)),
        None => Ok(Next::Done),
    }
}

fn step(summary: &Summary, action: Action) -> Next {
    Next::Step(summary.branch.clone(), action)
}
