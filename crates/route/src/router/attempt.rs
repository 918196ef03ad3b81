//! Attempts: dispatch, reports on them, and what follows.

use common::clock::Moment;

use super::{Due, Record, Router, Running, Started, State};
use crate::{
    disaggregation, pool,
    request::{self, Action, Dispatch, Event, Execution, Prefill, Reason, Request, Ticket},
    retry,
};

/// Targets that one request remembers to avoid.
const MAX_AVOIDED: usize = 4;

impl Router {
    /// Takes in what became of an attempt; a report on any but the last attempt is dropped.
    pub fn report(&mut self, ticket: Ticket, attempt: u32, event: Event, now: Moment) {
        let Some(record) = self.requests.get(ticket).filter(|record| record.attempt == attempt)
        else {
            return;
        };
        let State::Running(running) = record.state else {
            return;
        };
        self.judge(running.target, event, now);
        match event {
            Event::Started => self.start(ticket, running, now),
            Event::Finished => {
                self.start(ticket, running, now);
                self.stop_attempt(ticket, now);
                self.forget(ticket, now);
            }
            Event::Full | Event::Unavailable | Event::Unsent | Event::Broken => {
                self.requests[ticket].shun(running.target);
                self.stop_attempt(ticket, now);
                self.follow(ticket, event, now);
            }
        }
        self.dispatch_waiting(now);
    }

    /// Sends a request to a target, or returns `false` where none fits.
    pub(super) fn dispatch(&mut self, ticket: Ticket, now: Moment) -> bool {
        let record = &mut self.requests[ticket];
        record.state = State::Paused;
        let variant = &self.variants[record.variant];
        let view = pool::View { targets: &self.targets, prefixes: &self.prefixes, now };
        let found = &self.pools[variant.pool];
        let Some(choice) =
            pool::choose(found, &record.request, &record.avoid, view, &mut self.random)
        else {
            return false;
        };
        let prefill = self.pair(ticket, &choice, now);
        self.send(ticket, &choice, prefill, now);
        true
    }

    /// Takes an attempt off its target.
    pub(super) fn stop_attempt(&mut self, ticket: Ticket, now: Moment) {
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        let State::Running(running) = record.state else {
            return;
        };
        record.state = State::Paused;
        self.running -= 1;
        let started = Started { at: running.at, ticket };
        self.services[record.service].running.remove(&started);
        if let Some(target) = self.targets.get_mut(running.target) {
            if !running.started {
                target.cancel_prompt(running.uncached, now);
            }
            target.record_end(now);
        }
        self.refresh(running.target, now);
    }

    fn send(
        &mut self,
        ticket: Ticket,
        choice: &pool::Choice,
        prefill: Option<request::Target>,
        now: Moment,
    ) {
        let prefill = prefill.map(|key| self.use_prefill(key, choice, now));
        let record = &mut self.requests[ticket];
        let request = &record.request;
        record.attempt += 1;
        let uncached = if prefill.is_some() { 0 } else { choice.uncached };
        let before = self.targets[choice.target].queued_prompt_tokens(now);
        let target = choice.target;
        record.state =
            State::Running(Running { target, at: now, uncached, before, started: false });
        let service = &mut self.services[record.service];
        service.running.insert(Started { at: now, ticket });
        if !record.charged {
            record.charged = true;
            service.budget.deposit(&service.settings.retry);
        }
        self.running += 1;
        let target = &mut self.targets[choice.target];
        target.record_dispatch(uncached, now);
        let relay = !target.description.distance.is_zero();
        self.actions.push_back(Action::Dispatch(Dispatch {
            ticket,
            attempt: record.attempt,
            target: target.description.name.clone(),
            address: target.description.address,
            model: self.variants[record.variant].version.clone(),
            prefill,
            relay,
        }));
        if !relay {
            self.prefixes.record_dispatch(choice.target, &request.pieces, now);
        }
        self.refresh(choice.target, now);
    }

    fn start(&mut self, ticket: Ticket, running: Running, now: Moment) {
        let record = &mut self.requests[ticket];
        if running.started {
            return;
        }
        record.begun = true;
        record.failures = 0;
        record.state = State::Running(Running { started: true, ..running });
        let latency = now.since(running.at);
        self.services[record.service].first_token.observe(latency);
        let Some(target) = self.targets.get_mut(running.target) else {
            return;
        };
        target.record_first_token(running.uncached, running.before, latency, now);
        if let Some(group) = self.groups.get_mut(&super::targets::owner(&target.description)) {
            target.health.record_success(latency, group, now);
        }
        self.refresh(running.target, now);
    }

    /// Decides what follows an attempt that did not end well.
    fn follow(&mut self, ticket: Ticket, event: Event, now: Moment) {
        let record = &mut self.requests[ticket];
        let refused = matches!(event, Event::Full | Event::Unavailable);
        if refused {
            record.refusals += 1;
        } else {
            record.failures += 1;
        }
        if event == Event::Broken {
            record.execution = Execution::MayHaveRun;
        }
        let service = &mut self.services[record.service];
        let failure = failure(record, event);
        let decision = retry::decide(
            &failure,
            &service.settings.retry,
            &mut service.budget,
            &mut self.random,
            now,
        );
        match decision {
            retry::Decision::Retry(pause) => self.schedule(now + pause, Due::Retry(ticket)),
            retry::Decision::Stop => self.end(ticket, Reason::TargetsFull, now),
        }
    }

    /// The prefill engine that a prompt is worth sending to first.
    fn pair(
        &mut self,
        ticket: Ticket,
        choice: &pool::Choice,
        now: Moment,
    ) -> Option<request::Target> {
        let record = &self.requests[ticket];
        let pool = &self.pools[self.variants[record.variant].pool];
        if choice.uncached < disaggregation::MIN_TOKENS || record.begun {
            return None;
        }
        let here = self.compute(choice.target, choice.uncached, now);
        let engines: Vec<_> = pool.prefill.sample(2, &mut self.random).collect();
        let weighed = engines.into_iter().map(|key| {
            let uncached = self.uncached(key, &record.request, now);
            (key, self.compute(key, uncached, now))
        });
        let (key, there) =
            weighed.min_by(|a, b| a.1.duration_ms().total_cmp(&b.1.duration_ms()))?;
        let plan =
            disaggregation::decide(&here, &there, record.request.prompt_tokens, &self.transfer);
        (plan == disaggregation::Plan::Disaggregated).then_some(key)
    }

    fn uncached(&self, key: request::Target, request: &Request, now: Moment) -> u64 {
        let held = self.prefixes.expected_pieces(key, &request.pieces, now);
        let cached = (held * common::piece::TOKENS as f64) as u64;
        request.prompt_tokens.saturating_sub(cached)
    }

    fn compute(&self, key: request::Target, tokens: u64, now: Moment) -> disaggregation::Compute {
        let target = &self.targets[key];
        let queued_tokens = target.queued_prompt_tokens(now);
        disaggregation::Compute { tokens, queued_tokens, ms_per_token: target.ms_per_token }
    }

    fn use_prefill(&mut self, key: request::Target, choice: &pool::Choice, now: Moment) -> Prefill {
        let target = &mut self.targets[key];
        target.record_prefill(choice.uncached, now);
        let description = &target.description;
        Prefill { target: description.name.clone(), address: description.address }
    }
}

impl Record {
    /// Remembers a target that has failed the request, so that others are tried first.
    fn shun(&mut self, target: request::Target) {
        self.avoid.retain(|known| *known != target);
        if self.avoid.len() == MAX_AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(target);
    }
}

/// A refusal counts for the pause only; a stream that has begun goes on without the budget's leave.
fn failure(record: &Record, event: Event) -> retry::Failure {
    let refused = matches!(event, Event::Full | Event::Unavailable);
    retry::Failure {
        event,
        repeat: record.request.repeat,
        attempts: if refused { record.refusals } else { record.failures },
        begun: record.begun,
        deadline: if record.begun { record.request.deadline } else { record.give_up },
    }
}
