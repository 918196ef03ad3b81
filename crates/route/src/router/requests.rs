//! Arrival, waiting and giving up.

use std::time::Duration;

use common::clock::Moment;

use super::{Due, Owner, Record, Router, State};
use crate::{
    admission, fair_queue,
    request::{self, Action, Execution, Reason, Refusal, Request, Ticket},
};

/// Pause before a request is tried again for which no fitting target was free.
const NO_CHOICE_PAUSE: Duration = Duration::from_millis(20);

impl Router {
    /// Takes in a request; what becomes of it follows as actions.
    ///
    /// # Errors
    ///
    /// Returns the refusal when it can't be answered in time or there is no room to wait.
    pub fn submit(&mut self, request: Request, now: Moment) -> Result<Ticket, Refusal> {
        let owner = Owner { partner: request.partner.clone(), service: request.service.clone() };
        let Some(service) = self.service_names.get(&owner).copied() else {
            return Err(Refusal { reason: Reason::UnknownService, ..admission::no_target() });
        };
        let variant = self.variant_of(service, &request).ok_or_else(admission::no_target)?;
        self.admit(service, variant, &request, now)?;
        let settings = &self.services[service].settings;
        let give_up = admission::queue_deadline(&request, settings, now);
        let ticket = self.requests.insert(Record {
            request,
            service,
            variant,
            state: State::Paused,
            attempt: 0,
            failures: 0,
            refusals: 0,
            avoid: Vec::new(),
            execution: Execution::NotRun,
            begun: false,
            charged: false,
            preempted: false,
            give_up,
        });
        self.schedule(give_up, Due::GiveUp(ticket));
        self.wait(ticket, now);
        self.dispatch_waiting(now);
        Ok(ticket)
    }

    /// Forgets a request whose caller has gone or whose time is over; its attempt is the caller's to cancel.
    pub fn cancel(&mut self, ticket: Ticket, now: Moment) {
        self.stop_attempt(ticket, now);
        self.forget(ticket, now);
        self.dispatch_waiting(now);
    }

    /// Sends what can be sent.
    pub(super) fn dispatch_waiting(&mut self, now: Moment) {
        loop {
            let servable = |variant| self.pools[self.variants[variant].pool].has_free();
            let fits = |ticket| {
                let record: &Record = &self.requests[ticket];
                let free = &self.pools[self.variants[record.variant].pool].free;
                let mut held = self.prefixes.longest_matches(&record.request.pieces, now);
                held.any(|held| free.contains(held.target))
            };
            let Some(ticket) = self.scheduler.pick(now, servable, fits) else {
                return;
            };
            self.count(ticket, admission::Transition::Dispatched, now);
            if !self.dispatch(ticket, now) {
                self.schedule(now + NO_CHOICE_PAUSE, Due::Retry(ticket));
            }
        }
    }

    /// Puts a request among those that wait.
    pub(super) fn wait(&mut self, ticket: Ticket, now: Moment) {
        let record = &mut self.requests[ticket];
        let request = &record.request;
        let late_at = if record.begun {
            request.deadline
        } else {
            now + self.services[record.service].time_to_wait()
        };
        let waiting = fair_queue::Item {
            ticket,
            class: fair_queue::Class::from(request.priority),
            organisation: request.organisation,
            deadline: request.deadline,
            late_at,
            tokens: request.cost(),
            charge: if record.charged { 0 } else { request.cost() },
        };
        record.state = State::Waiting;
        self.scheduler.push(record.variant, waiting);
        self.count(ticket, admission::Transition::Enqueued, now);
    }

    /// Puts a paused request back among those that wait.
    pub(super) fn resume(&mut self, ticket: Ticket, now: Moment) {
        if self.requests.get(ticket).is_some_and(|record| matches!(record.state, State::Paused)) {
            self.wait(ticket, now);
        }
    }

    /// Ends a request that has not been answered in time, unless an attempt of it runs.
    pub(super) fn give_up(&mut self, ticket: Ticket, now: Moment) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let deadline = record.request.deadline;
        if record.begun && now < deadline {
            self.schedule(deadline, Due::GiveUp(ticket));
            return;
        }
        if !matches!(record.state, State::Running(_)) {
            self.end(ticket, Reason::TooLate, now);
        }
    }

    /// Ends a request with its final answer.
    pub(super) fn end(&mut self, ticket: Ticket, reason: Reason, now: Moment) {
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
        self.forget(ticket, now);
        self.actions.push_back(action);
    }

    pub(super) fn forget(&mut self, ticket: Ticket, now: Moment) {
        if self.scheduler.remove(ticket).is_some() {
            self.count(ticket, admission::Transition::Removed, now);
        }
        if let Some(record) = self.requests.remove(ticket) {
            self.timers.remove(&super::Timer { at: record.give_up, event: Due::GiveUp(ticket) });
        }
    }

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

    fn count(&mut self, ticket: Ticket, transition: admission::Transition, now: Moment) {
        if let Some(record) = self.requests.get(ticket) {
            let controller = &mut self.services[record.service].controller;
            controller.record(transition, record.request.cost(), now);
        }
    }
}
