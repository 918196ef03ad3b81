//! Attempts: dispatch, reports on their progress, and retries.

use common::clock::Moment;

use super::{Attempt, Record, Router, Running, State, Task};
use crate::{
    disaggregation, pool,
    request::{self, Action, Dispatch, Event, Execution, Prefill, Reason, Request, Ticket},
    retry,
};

/// Maximum number of targets that one request avoids.
const MAX_AVOIDED: usize = 4;

impl Router {
    /// Applies a report on an attempt; reports on any but the request's running and silent attempts are ignored.
    pub fn report(&mut self, ticket: Ticket, attempt: u32, event: Event, now: Moment) {
        if let Some(target) = self.requests.get(ticket).and_then(|record| record.target_of(attempt))
        {
            self.record_outcome(target, event, now);
            self.apply_event(ticket, attempt, event, now);
            self.dispatch_waiting(now);
        }
    }

    fn apply_event(&mut self, ticket: Ticket, attempt: u32, event: Event, now: Moment) {
        match event {
            Event::Started => {
                self.prefer_attempt(ticket, attempt, now);
                self.record_first_token(ticket, now);
            }
            Event::Silent => self.suspend_attempt(ticket, attempt, now),
            Event::Resumed => {
                self.prefer_attempt(ticket, attempt, now);
                self.requests[ticket].failures = 0;
            }
            Event::Finished => {
                self.prefer_attempt(ticket, attempt, now);
                self.record_first_token(ticket, now);
                self.end_attempt(ticket, now);
                self.remove_request(ticket, now);
            }
            Event::Full | Event::Unavailable | Event::Unsent | Event::Broken => {
                if !self.end_silent_attempt(ticket, attempt, event, now)
                    && let Some(running) = self.end_attempt(ticket, now)
                {
                    self.requests[ticket].avoid_target(running.target);
                    self.handle_failure(ticket, event, now);
                }
            }
        }
    }

    /// Sends a request to a target; returns `false` if no target can be chosen.
    pub(super) fn dispatch(&mut self, ticket: Ticket, now: Moment) -> bool {
        let record = &mut self.requests[ticket];
        record.state = State::Paused;
        let variant = &self.variants[record.variant];
        let inputs = pool::Inputs { targets: &self.targets, prefixes: &self.prefixes, now };
        let pool = &self.pools[variant.pool];
        let Some(choice) =
            pool::choose(pool, &record.request, &record.avoid, inputs, &mut self.random)
        else {
            return false;
        };
        let prefill = self.choose_prefill(ticket, &choice, now);
        self.send(ticket, &choice, prefill, now);
        true
    }

    /// Ends the running attempt of a request, if any, releases its slot and returns it.
    pub(super) fn end_attempt(&mut self, ticket: Ticket, now: Moment) -> Option<Running> {
        let record = self.requests.get_mut(ticket)?;
        let State::Running(running) = record.state else {
            return None;
        };
        record.state = State::Paused;
        self.running -= 1;
        let attempt = Attempt { sent_at: running.sent_at, ticket };
        self.services[record.service].running.remove(&attempt);
        if let Some(target) = self.targets.get_mut(running.target) {
            if !running.started {
                target.cancel_prompt(running.uncached, now);
            }
            target.record_end(now);
        }
        self.update_availability(running.target, now);
        Some(running)
    }

    /// Sends a request to the chosen target, after a prefill engine where `prefill` names one.
    fn send(
        &mut self,
        ticket: Ticket,
        choice: &pool::Choice,
        prefill: Option<request::Target>,
        now: Moment,
    ) {
        let prefill = prefill.map(|key| self.assign_prefill(key, choice, now));
        let record = &mut self.requests[ticket];
        let request = &record.request;
        record.attempt += 1;
        let uncached = if prefill.is_some() { 0 } else { choice.uncached };
        let queued_tokens = self.targets[choice.target].queued_prompt_tokens(now);
        let target = choice.target;
        record.state = State::Running(Running {
            number: record.attempt,
            target,
            sent_at: now,
            uncached,
            queued_tokens,
            started: false,
            was_silent: false,
        });
        let service = &mut self.services[record.service];
        service.running.insert(Attempt { sent_at: now, ticket });
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
        self.update_availability(choice.target, now);
    }

    /// Records the first token of a running attempt, once, in the latencies of its service and its target.
    fn record_first_token(&mut self, ticket: Ticket, now: Moment) {
        let record = &mut self.requests[ticket];
        let State::Running(running) = record.state else {
            return;
        };
        if running.started {
            return;
        }
        record.begun = true;
        record.failures = 0;
        record.state = State::Running(Running { started: true, ..running });
        let latency = now.since(running.sent_at);
        self.services[record.service].first_token.observe(latency);
        let Some(target) = self.targets.get_mut(running.target) else {
            return;
        };
        if running.was_silent {
            target.cancel_prompt(running.uncached, now);
        } else {
            target.record_first_token(running.uncached, running.queued_tokens, latency, now);
            if let Some(group) = self.groups.get_mut(&super::targets::owner(&target.description)) {
                target.health.record_success(latency, group, now);
            }
        }
        self.update_availability(running.target, now);
    }

    /// Schedules a retry after a failed or refused attempt. Without one, the request ends unless attempts of it are
    /// silent.
    fn handle_failure(&mut self, ticket: Ticket, event: Event, now: Moment) {
        self.requests[ticket].count_failure(event);
        self.schedule_retry(ticket, event, now);
    }

    /// Schedules a retry after an attempt that has failed, was refused or is silent, or holds or ends the request.
    pub(super) fn schedule_retry(&mut self, ticket: Ticket, event: Event, now: Moment) {
        let record = &mut self.requests[ticket];
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
            retry::Decision::Retry(pause) => self.set_timer(now + pause, Task::Retry(ticket)),
            retry::Decision::Stop if record.silent.is_empty() => {
                self.end_unanswered(ticket, Reason::TargetsFull, now);
            }
            retry::Decision::Stop => record.state = State::Held,
        }
    }

    /// The prefill engine that should compute the prompt, if that gives an earlier first token than the chosen target
    /// alone; the faster of two drawn at random.
    fn choose_prefill(
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
        let local = self.compute(choice.target, choice.uncached, now);
        let engines: Vec<_> = pool.prefill.sample(2, &mut self.random).collect();
        let candidates = engines.into_iter().map(|key| {
            let uncached = self.uncached(key, &record.request, now);
            (key, self.compute(key, uncached, now))
        });
        let (key, remote) =
            candidates.min_by(|a, b| a.1.duration_ms().total_cmp(&b.1.duration_ms()))?;
        let plan =
            disaggregation::decide(&local, &remote, record.request.prompt_tokens, &self.transfer);
        (plan == disaggregation::Plan::Disaggregated).then_some(key)
    }

    /// Prompt tokens of a request that a target is expected to compute because they are not cached.
    fn uncached(&self, key: request::Target, request: &Request, now: Moment) -> u64 {
        let expected = self.prefixes.expected_pieces(key, &request.pieces, now);
        let cached = (expected * common::piece::TOKENS as f64) as u64;
        request.prompt_tokens.saturating_sub(cached)
    }

    /// Time to compute `tokens` uncached prompt tokens on a target.
    fn compute(&self, key: request::Target, tokens: u64, now: Moment) -> disaggregation::Compute {
        let target = &self.targets[key];
        let queued_tokens = target.queued_prompt_tokens(now);
        disaggregation::Compute { tokens, queued_tokens, ms_per_token: target.ms_per_token }
    }

    /// Adds the prompt to the load of a prefill engine.
    fn assign_prefill(
        &mut self,
        key: request::Target,
        choice: &pool::Choice,
        now: Moment,
    ) -> Prefill {
        let target = &mut self.targets[key];
        target.record_prefill(choice.uncached, now);
        let description = &target.description;
        Prefill { target: description.name.clone(), address: description.address }
    }
}

impl Record {
    /// Adds a target that has failed the request, so that others are tried first; replaces the oldest if there are too
    /// many.
    pub(super) fn avoid_target(&mut self, target: request::Target) {
        self.avoid.retain(|avoided| *avoided != target);
        if self.avoid.len() == MAX_AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(target);
    }

    /// The target of a running or silent attempt.
    fn target_of(&self, number: u32) -> Option<request::Target> {
        let running = match &self.state {
            State::Running(running) => Some(running),
            State::Waiting | State::Paused | State::Held => None,
        };
        let mut attempts = running.into_iter().chain(&self.silent);
        attempts.find(|attempt| attempt.number == number).map(|attempt| attempt.target)
    }

    /// Counts a failed or refused attempt.
    pub(super) fn count_failure(&mut self, event: Event) {
        if matches!(event, Event::Full | Event::Unavailable) {
            self.refusals += 1;
        } else {
            self.failures += 1;
        }
        if event == Event::Broken {
            self.execution = Execution::MayHaveRun;
        }
    }
}

/// The failure of the last attempt, for the retry decision.
///
/// After a refusal the attempts are the refusals, which only lengthen the pause; otherwise silent attempts count, too. A stream that has begun may be resumed
/// until the request's deadline; any other request is retried only until its queue deadline.
fn failure(record: &Record, event: Event) -> retry::Failure {
    let refused = matches!(event, Event::Full | Event::Unavailable);
    let silent = u32::try_from(record.silent.len()).unwrap_or(u32::MAX);
    retry::Failure {
        event,
        retry: record.request.retry,
        attempts: if refused { record.refusals } else { record.failures + silent },
        begun: record.begun,
        deadline: if record.begun { record.request.deadline } else { record.queue_deadline },
    }
}
