//! Execution of orders (role changes, loads, unloads, drain and withdrawal) with fencing tokens.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::time;
use wire::target::{self, Action, Ended, Ending, Phase, Reply};

use super::{Shared, State};
use crate::{http, weights};

/// Orders that the engine has seen.
#[derive(Debug, Default)]
pub(super) struct Orders {
    /// Highest fencing token seen; stays 0 if fencing is not checked.
    pub fencing: u64,
    /// Id of the order in progress.
    pub open: Option<String>,
    /// The last order that ended.
    pub last: Option<Ended>,
}

/// Handles one order.
pub(super) async fn take(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<http::Body>, http::Error> {
    let body = request.into_body().collect().await?.to_bytes();
    let reply = match serde_json::from_slice::<target::Order>(&body) {
        Ok(order) => begin(shared, order),
        Err(error) => Reply::Invalid { reason: error.to_string() },
    };
    let status = match reply {
        Reply::Accepted => StatusCode::ACCEPTED,
        Reply::Ended { .. } => StatusCode::OK,
        Reply::Stale { .. } | Reply::Busy { .. } => StatusCode::CONFLICT,
        Reply::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
    };
    http::json(status, &reply)
}

fn begin(shared: &Arc<Shared>, order: target::Order) -> Reply {
    let mut state = shared.lock();
    let checks = shared.options.fencing == target::Fencing::Checked;
    if checks && order.fencing < state.orders.fencing {
        return Reply::Stale { highest: state.orders.fencing };
    }
    if checks {
        state.orders.fencing = order.fencing;
    }
    if let Some(last) = state.orders.last.as_ref().filter(|last| last.id == order.id) {
        return Reply::Ended { result: last.result };
    }
    if let Some(open) = &state.orders.open {
        return if *open == order.id {
            Reply::Accepted
        } else {
            Reply::Busy { open: open.clone() }
        };
    }
    state.totals.orders += 1;
    if let Some(phase) = immediate_phase(&order.action) {
        state.phase = phase;
        state.end(order.id, Ending::Done);
        return Reply::Ended { result: Ending::Done };
    }
    state.orders.open = Some(order.id.clone());
    if matches!(order.action, Action::Role { .. }) {
        let cut = state.batch.clear();
        state.totals.interrupted += u64::try_from(cut).unwrap_or_default();
        state.cache.clear();
    }
    let before = std::mem::replace(&mut state.phase, Phase::Changing);
    drop(state);
    tokio::spawn(change(Arc::clone(shared), order, before));
    Reply::Accepted
}

fn immediate_phase(action: &Action) -> Option<Phase> {
    match action {
        Action::Drain => Some(Phase::Draining),
        Action::Undrain => Some(Phase::Ready),
        Action::Withdraw => Some(Phase::Leaving),
        Action::Role { .. } | Action::Load { .. } | Action::Unload { .. } => None,
    }
}

async fn change(shared: Arc<Shared>, order: target::Order, before: Phase) {
    let speed = &shared.options.speed;
    let span = match order.action {
        Action::Load { .. } => speed.load,
        _ => speed.change,
    };
    let half = shared.scaled(span) / 2;
    time::sleep(half).await;
    if shared.options.crash_during_change {
        shared.token.cancel();
        return;
    }
    let result = match (&order.action, shared.options.weight_store) {
        (Action::Load { model }, Some(store)) => weights::fetch(store, model).await,
        _ => {
            time::sleep(half).await;
            Ending::Done
        }
    };
    if shared.token.is_cancelled() {
        return;
    }
    let mut state = shared.lock();
    if result == Ending::Done {
        state.apply(order.action);
    }
    state.phase = if before == Phase::Leaving { before } else { Phase::Ready };
    state.end(order.id, result);
}

impl State {
    fn apply(&mut self, action: Action) {
        match action {
            Action::Role { role } => self.role = role,
            Action::Load { model } => {
                if !self.models.contains(&model) {
                    self.models.push(model);
                }
            }
            Action::Unload { model } => self.models.retain(|other| *other != model),
            Action::Drain | Action::Undrain | Action::Withdraw => {}
        }
    }

    fn end(&mut self, id: String, result: Ending) {
        self.orders.open = None;
        self.orders.last = Some(Ended { id, result });
    }
}
