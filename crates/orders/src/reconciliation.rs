//! Finds out how an engine differs from its intended state, and whether it knows the current lease holder.

use wire::target::{Action, Fencing, Phase, State};

use crate::intent::{Ending, Settled};

/// The action that brings an engine back to its intended state, if one is needed.
///
/// `last` is the last intent for the engine that ended. An engine that checks fencing tokens and has not seen
/// `fencing` gets an order for the phase that it is in, so that from then on it refuses orders of former lease holders.
pub fn corrective_action(
    last: Option<&Settled>,
    state: &State,
    checks: Fencing,
    fencing: u64,
) -> Option<Action> {
    let lost = last
        .filter(|last| last.ending == Ending::Done)
        .map(|last| &last.intent.action)
        .filter(|action| is_lost(action, state));
    if let Some(action) = lost {
        return Some(action.clone());
    }
    let is_current = checks == Fencing::Unchecked || state.fencing >= fencing;
    if is_current {
        return None;
    }
    match state.phase {
        Phase::Ready => Some(Action::Undrain),
        Phase::Draining => Some(Action::Drain),
        Phase::Leaving => Some(Action::Withdraw),
        Phase::Changing => None,
    }
}

fn is_lost(action: &Action, state: &State) -> bool {
    match action {
        Action::Role { role } => state.role != *role,
        Action::Load { model } => !state.models.contains(model),
        Action::Unload { model } => state.models.contains(model),
        Action::Drain => !matches!(state.phase, Phase::Draining | Phase::Leaving),
        Action::Withdraw => state.phase != Phase::Leaving,
        Action::Undrain => false,
    }
}
