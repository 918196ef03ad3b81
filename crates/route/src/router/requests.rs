//! Requests: admission, queueing, dispatch and expiry.

use std::time::Duration;

use common::clock::Moment;

use super::{Owner, Record, Router, State, Task};
use crate::{
    admission, fair_queue,
    request::{self, Action, Execution, Reason, Refusal, Request, Ticket},
};

/// Pause before a dispatched request is queued again for which no target could be chosen.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(20);

impl Router {
    /// Admits a request; its attempts and its end follow as actions.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the service is unknown, no target serves the request, the queue is full, or the expected
    /// wait is too long.
    pub fn submit(&mut self, request: Request, now: Moment) -> Result<Ticket, Refusal> {
        let owner = Owner { partner: request.partner.clone(), service: request.service.clone() };
        let Some(service) = self.service_names.get(&owner).copied() else {
            return Err(Refusal { reason: Reason::UnknownService, ..admission::no_target() });
        };
        let variant = self.choose_variant(service, &request).ok_or_else(admission::no_target)?;
        self.admit(service, variant, &request, now)?;
        let settings = &self.services[service].settings;
        let queue_deadline = admission::queue_deadline(&request, settings, now);
        let ticket = self.requests.insert(Record {
            request,
            service,
            variant,
            state: State::Paused,
            attempt: 0,
            silent: Vec::new(),
            failures: 0,
            refusals: 0,
            avoid: Vec::new(),
            execution: Execution::NotRun,
            begun: false,
            charged: false,
            preempted: false,
            queue_deadline,
        });
        self.set_timer(queue_deadline, Task::Expire(ticket));
        self.enqueue(ticket, now);
        self.dispatch_waiting(now);
        Ok(ticket)
    }

    /// Removes a request, such as after its caller disconnected or its deadline passed. No action follows: whoever
    /// cancels the request also cancels its running attempt.
    pub fn cancel(&mut self, ticket: Ticket, now: Moment) {
        self.end_attempt(ticket, now);
        self.remove_request(ticket, now);
        self.dispatch_waiting(now);
    }

    /// Dispatches waiting requests until no pool with waiting requests has a free target.
    pub(super) fn dispatch_waiting(&mut self, now: Moment) {
        loop {
            let servable = |variant| self.pools[self.variants[variant].pool].has_free();
            let fits = |ticket| {
                let record: &Record = &self.requests[ticket];
                let free = &self.pools[self.variants[record.variant].pool].free;
                let mut matches = self.prefixes.longest_matches(&record.request.pieces, now);
                matches.any(|found| free.contains(found.target))
            };
            let Some(ticket) = self.scheduler.pick(now, servable, fits) else {
                return;
            };
            self.record_transition(ticket, admission::Transition::Dispatched, now);
            if !self.dispatch(ticket, now) {
                self.set_timer(now + NO_TARGET_PAUSE, Task::Retry(ticket));
            }
        }
    }

    /// Queues a request in the scheduler.
    pub(super) fn enqueue(&mut self, ticket: Ticket, now: Moment) {
        let record = &mut self.requests[ticket];
        let request = &record.request;
        let late_at = if record.begun {
            request.deadline
        } else {
            now + self.services[record.service].late_after()
        };
        let item = fair_queue::Item {
            ticket,
            class: fair_queue::Class::from(request.priority),
            organisation: request.organisation,
            deadline: request.deadline,
            late_at,
            tokens: request.cost(),
            charge: if record.charged { 0 } else { request.cost() },
        };
        record.state = State::Waiting;
        self.scheduler.push(record.variant, item);
        self.record_transition(ticket, admission::Transition::Enqueued, now);
    }

    /// Queues a paused request again.
    pub(super) fn requeue(&mut self, ticket: Ticket, now: Moment) {
        if self.requests.get(ticket).is_some_and(|record| matches!(record.state, State::Paused)) {
            self.enqueue(ticket, now);
        }
    }

    /// Ends a request that has waited until its queue deadline, or until its deadline if its answer has begun, unless
    /// an attempt of it is running or silent.
    pub(super) fn expire(&mut self, ticket: Ticket, now: Moment) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let deadline = record.request.deadline;
        if record.begun && now < deadline {
            self.set_timer(deadline, Task::Expire(ticket));
            return;
        }
        if !matches!(record.state, State::Running(_)) && record.silent.is_empty() {
            self.end_unanswered(ticket, Reason::TooLate, now);
        }
    }

    /// Ends a request without a complete answer: refuses it if it has not run, else fails it.
    pub(super) fn end_unanswered(&mut self, ticket: Ticket, reason: Reason, now: Moment) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let (execution, variant, organisation) =
            (record.execution, record.variant, record.request.organisation);
        let class = fair_queue::Class::from(record.request.priority);
        let ahead = self.scheduler.tokens_ahead(variant, class, organisation);
        let wait = self.services[record.service].controller.expected_wait(ahead);
        let retry_after = admission::retry_after(wait, &mut self.random);
        let action = match execution {
            Execution::NotRun => {
                Action::Refuse { ticket, refusal: Refusal { reason, retry_after } }
            }
            Execution::MayHaveRun => Action::Fail { ticket, execution },
        };
        self.remove_request(ticket, now);
        self.actions.push_back(action);
    }

    /// Removes a request from the scheduler, the table of requests and the timers.
    pub(super) fn remove_request(&mut self, ticket: Ticket, now: Moment) {
        self.dequeue(ticket, now);
        if let Some(record) = self.requests.remove(ticket) {
            self.timers
                .remove(&super::Timer { at: record.queue_deadline, task: Task::Expire(ticket) });
        }
    }

    /// Admits a request that can be sent at once, or leaves the decision to admission control.
    fn admit(
        &mut self,
        service: request::Service,
        variant: request::Variant,
        request: &Request,
        now: Moment,
    ) -> Result<(), Refusal> {
        let class = fair_queue::Class::from(request.priority);
        let free = self.pools[self.variants[variant].pool].has_free();
        if free && self.scheduler.queued_requests(variant) == 0 {
            return Ok(());
        }
        let backlog = admission::Backlog {
            ahead_tokens: self.scheduler.tokens_ahead(variant, class, request.organisation),
            organisation_tokens: self.scheduler.organisation_tokens(variant, request.organisation),
        };
        let service = &self.services[service];
        service.controller.admit(request, &service.settings, backlog, &mut self.random, now)
    }

    /// Records in the service's admission control that a request entered or left the queue.
    pub(super) fn record_transition(
        &mut self,
        ticket: Ticket,
        transition: admission::Transition,
        now: Moment,
    ) {
        if let Some(record) = self.requests.get(ticket) {
            let controller = &mut self.services[record.service].controller;
            controller.record(transition, record.request.cost(), now);
        }
    }
}
