//! A request that was sent to a target, counted there until it ends however it ends.

use std::{net::SocketAddr, sync::Arc};

use common::{clock::Moment, name};
use fleet::exchange::{Notice, Part};
use placement::{
    backlog::Mark,
    board::{Key, Plan, Sending},
    health::Outcome,
};
use slog::info;

use crate::state::{Gateway, ms};

/// A request that was sent to a target; its end is counted when this is dropped.
#[derive(Debug)]
pub(crate) struct Sent {
    gateway: Arc<Gateway>,
    pub(crate) plan: Plan,
    mark: Mark,
    parts: Vec<Part>,
    at: Moment,
    computed: bool,
}

/// Where a target is reached.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) name: name::Target,
    pub(crate) address: SocketAddr,
}

impl Sent {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        plan: Plan,
        mark: Mark,
        parts: Vec<Part>,
        at: Moment,
    ) -> Sent {
        Sent { gateway, plan, mark, parts, at, computed: false }
    }

    pub(crate) fn place(&self, key: Key) -> Option<Place> {
        let board = self.gateway.board();
        let target = &board.entry(key)?.target;
        Some(Place { name: target.name.clone(), address: target.address })
    }

    /// Notes that the prompt is computed.
    pub(crate) fn computed(&mut self) {
        if std::mem::replace(&mut self.computed, true) {
            return;
        }
        let now = Moment::now();
        let sending =
            Sending { plan: &self.plan, mark: self.mark, parts: &self.parts, at: self.at };
        let told = self.gateway.board().computed(&sending, now);
        self.gateway.tell(told.into_iter().map(Notice::Computed));
        let name = |key| self.place(key).map_or_else(String::new, |place| place.name.0);
        let predicted_ms = self.plan.expected_at - self.at.0 as f64;
        info!(self.gateway.log, "prompt_computed"; "target" => name(self.plan.target),
            "prefill" => self.plan.prefill.map_or_else(String::new, name),
            "fetch" => self.plan.fetch.map_or_else(String::new, name), "fresh_tokens" => self.plan.fresh, "prompt_ms" => format!("{:.0}", self.plan.prompt_ms),
            "predicted_ms" => format!("{predicted_ms:.0}"), "ms" => ms(now.since(self.at)));
    }

    /// Takes in how the exchange with a target went.
    pub(crate) fn judge(&self, key: Key, outcome: Outcome) {
        let left_out = self.gateway.board().judge(key, outcome, Moment::now());
        let Some(place) = self.place(key) else {
            return;
        };
        if outcome == Outcome::Broken {
            self.gateway.pool.clear(place.address);
        }
        if left_out {
            metrics::counter!("daisydrum_targets_left_out_total").increment(1);
            info!(self.gateway.log, "target_left_out"; "target" => %place.name,
                "address" => %place.address, "outcome" => ?outcome);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut board = self.gateway.board();
        board.end(self.plan.target);
        if !self.computed {
            let key = self.plan.prefill.unwrap_or(self.plan.target);
            board.withdraw(key, self.plan.prompt_ms, Moment::now());
        }
    }
}
