//! Silent attempts: they are kept while another is tried, and the first to make progress is the only one that goes on.

use std::mem;

use common::clock::Moment;

use super::{Attempt, Router, Running, State, Task};
use crate::{
    admission,
    request::{Event, Ticket},
};

impl Router {
    /// Keeps a running attempt whose target is silent, releases its slot, and schedules another attempt if the retry
    /// policy permits one.
    pub(super) fn suspend_attempt(&mut self, ticket: Ticket, number: u32, now: Moment) {
        let is_running = |running: &Running| running.number == number;
        let record = &self.requests[ticket];
        if !matches!(&record.state, State::Running(running) if is_running(running)) {
            return;
        }
        let Some(running) = self.end_attempt(ticket, now) else {
            return;
        };
        let record = &mut self.requests[ticket];
        record.avoid_target(running.target);
        record.silent.push(Running { was_silent: true, ..running });
        self.schedule_retry(ticket, Event::Silent, now);
    }

    /// Makes an attempt the only one of its request, because its target has sent the next part of the answer.
    ///
    /// Whoever reports that cancels the other attempts, too.
    pub(super) fn prefer_attempt(&mut self, ticket: Ticket, number: u32, now: Moment) {
        let mut silent = mem::take(&mut self.requests[ticket].silent);
        let Some(position) = silent.iter().position(|attempt| attempt.number == number) else {
            return;
        };
        self.end_attempt(ticket, now);
        self.dequeue(ticket, now);
        self.continue_attempt(ticket, silent.swap_remove(position), now);
    }

    /// Ends a silent attempt that has failed or was refused; returns `false` if the attempt is not a silent one.
    ///
    /// The request goes on with its other attempts; without any, the retry policy decides.
    pub(super) fn end_silent_attempt(
        &mut self,
        ticket: Ticket,
        number: u32,
        event: Event,
        now: Moment,
    ) -> bool {
        let record = &mut self.requests[ticket];
        let Some(position) = record.silent.iter().position(|attempt| attempt.number == number)
        else {
            return false;
        };
        record.silent.swap_remove(position);
        record.count_failure(event);
        match record.state {
            State::Held => {
                record.state = State::Paused;
                self.schedule_retry(ticket, event, now);
            }
            State::Waiting | State::Paused if record.silent.is_empty() => {
                // The timer may have been due while the attempt was silent.
                let due = record.queue_deadline.max(now);
                self.set_timer(due, Task::Expire(ticket));
            }
            State::Waiting | State::Paused | State::Running(_) => {}
        }
        true
    }

    /// Occupies a slot again for an attempt that was silent.
    fn continue_attempt(&mut self, ticket: Ticket, running: Running, now: Moment) {
        let record = &mut self.requests[ticket];
        record.state = State::Running(running);
        self.running += 1;
        let attempt = Attempt { sent_at: running.sent_at, ticket };
        self.services[record.service].running.insert(attempt);
        if let Some(target) = self.targets.get_mut(running.target) {
            target.record_dispatch(if running.started { 0 } else { running.uncached }, now);
        }
        self.update_availability(running.target, now);
    }

    /// Removes a request from the scheduler, if it is queued.
    pub(super) fn dequeue(&mut self, ticket: Ticket, now: Moment) {
        if self.scheduler.remove(ticket).is_some() {
            self.record_transition(ticket, admission::Transition::Removed, now);
        }
    }
}
