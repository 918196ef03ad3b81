//! Starts the runs of a stream.

use std::{sync::Arc, time::Duration};

use common::{cancel, clock::Moment};
use placement::{balancer::Key, hedge};
use slog::{debug, info};

use crate::{
    dispatch::Dispatch,
    error::Error,
    relay::Assignment,
    request::{Awaited, Hop},
    stream::{Driver, Live, OVERDUE_FACTOR, OVERDUE_MARGIN, relayed, run::Task},
};

impl Driver {
    /// Starts a run at a target, or at a peer while this instance is cut off from the service.
    pub(super) fn start_run(&mut self) -> Result<(), Error> {
        match self.request.hop()? {
            Hop::Target(dispatch) => self.start_run_at_target(dispatch),
            Hop::Peer(assignment) => self.start_run_at_peer(assignment),
        }
        Ok(())
    }

    fn start_run_at_peer(&mut self, assignment: Assignment) {
        let request = &self.request;
        let limit = if request.has_attempts_left() {
            request.route().target_latency.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN
        } else {
            request.remaining()
        };
        let run = self.race.start(limit, Moment::now());
        let task = relayed::Task {
            request: Arc::clone(request),
            assignment,
            run,
            updates: self.sender.clone(),
            resume_after: self.last_event_id,
        };
        self.spawn(run, None, Awaited::Answer, task.run());
    }

    fn start_run_at_target(&mut self, dispatch: Dispatch) {
        let request = &self.request;
        let predicted = Duration::from_secs_f64(
            (dispatch.plan.first_token_at_ms - request.now_ms()).max(0.0) / 1e3,
        );
        let overdue = predicted.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN;
        let (target, awaited) = match dispatch.plan.prefill {
            Some(prefill) => (prefill, Awaited::Prompt),
            None => (dispatch.plan.target, Awaited::Answer),
        };
        let beside = self.race.live();
        let is_first_step = awaited == Awaited::Prompt && request.may_run_beside();
        let limit = if is_first_step || request.has_attempts_left() {
            overdue
        } else {
            request.remaining()
        };
        let run = self.race.start(limit, Moment::now());
        if run.0 > 0 {
            self.log_further_run(run, beside, &dispatch.target_name(target));
        }
        let request = &self.request;
        let task = Task {
            request: Arc::clone(request),
            dispatch,
            run,
            updates: self.sender.clone(),
            resume_after: self.last_event_id,
            limit: overdue,
            has_begun: self.first_event_at.is_some(),
        };
        self.spawn(run, Some(target), awaited, task.run());
    }

    /// Logs a run that isn't the first one. Only one that goes on where an earlier one ended is a resumption: the earlier
    /// ones may have reached no target.
    fn log_further_run(&self, run: hedge::Run, beside: usize, target: &str) {
        let request = &self.request;
        if beside > 0 {
            metrics::counter!("daisydrum_streams_hedged_total").increment(1);
        } else if request.progress().may_have_run() {
            metrics::counter!("daisydrum_streams_resumed_total").increment(1);
        } else {
            debug!(request.gateway.log, "stream_tried_again"; "id" => &request.metadata.id,
                "run" => run.0, "target" => target, "ms" => request.age_ms());
            return;
        }
        info!(request.gateway.log, "stream_resumed"; "id" => &request.metadata.id,
            "run" => run.0, "beside" => beside, "target" => target,
            "last_event" => ?self.last_event_id, "ms" => request.age_ms());
    }

    fn spawn(
        &mut self,
        run: hedge::Run,
        target: Option<Key>,
        awaited: Awaited,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let token = cancel::Token::new();
        let guard = token.clone().drop_guard();
        tokio::spawn(async move { token.run_until_cancelled(task).await });
        self.runs.push(Live {
            run,
            target,
            awaited,
            head: None,
            beginning: None,
            recording: None,
            _guard: guard,
        });
    }
}
