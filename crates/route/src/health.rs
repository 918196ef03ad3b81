//! Ejection of failing and slow targets, with a bound on how many may be out, and their way back.

use std::time::Duration;

use common::clock::Moment;

const FAILURES_TO_EJECT: u32 = 3;
const SLOW_ANSWERS_TO_EJECT: u32 = 5;
/// An answer this many times slower than the group's average counts as slow.
const SLOW_RATIO: f64 = 5.0;
/// Answers faster than this never count as slow.
const SLOW_FLOOR: Duration = Duration::from_millis(200);
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
const AVERAGE_WEIGHT: f64 = 0.05;

/// Targets of one service and how many of them are out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// Targets known.
    pub members: u32,
    /// Targets ejected.
    pub ejected: u32,
    average_ms: f64,
}

impl Group {
    /// Whether one more target may be ejected: at most half, and never the only one.
    pub fn may_eject(&self) -> bool {
        (self.ejected + 1) * 2 <= self.members
    }

    fn observe(&mut self, latency: Duration) {
        let ms = latency.as_secs_f64() * 1_000.0;
        if self.average_ms == 0.0 {
            self.average_ms = ms;
        } else {
            self.average_ms += (ms - self.average_ms) * AVERAGE_WEIGHT;
        }
    }

    fn is_slow(&self, latency: Duration) -> bool {
        let ms = latency.as_secs_f64() * 1_000.0;
        latency > SLOW_FLOOR && self.average_ms > 0.0 && ms > self.average_ms * SLOW_RATIO
    }
}

/// Whether a target is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// In use.
    #[default]
    Active,
    /// Out until the moment.
    Ejected(Moment),
    /// Takes one request at a time until one succeeds.
    Probing,
}

/// Health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Whether it is in use.
    pub state: State,
    failures: u32,
    slow: u32,
    ejections: u32,
}

impl Health {
    /// Records an answer's first token.
    pub fn record_success(&mut self, latency: Duration, group: &mut Group, now: Moment) {
        self.failures = 0;
        let slow = group.is_slow(latency);
        group.observe(latency);
        if slow {
            self.slow += 1;
            if self.slow >= SLOW_ANSWERS_TO_EJECT {
                self.eject(group, now);
            }
            return;
        }
        self.slow = 0;
        if self.state == State::Probing {
            self.state = State::Active;
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, group: &mut Group, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT || self.state == State::Probing {
            self.eject(group, now);
        }
    }

    /// Lets an ejected target take probes once its time is over.
    pub fn tick(&mut self, group: &mut Group, now: Moment) {
        if let State::Ejected(until) = self.state
            && now >= until
        {
            self.state = State::Probing;
            group.ejected = group.ejected.saturating_sub(1);
        }
    }

    /// Forgets all faults, when the target's process has started anew or is removed.
    pub fn reset(&mut self, group: &mut Group) {
        if matches!(self.state, State::Ejected(_)) {
            group.ejected = group.ejected.saturating_sub(1);
        }
        *self = Health::default();
    }

    fn eject(&mut self, group: &mut Group, now: Moment) {
        if matches!(self.state, State::Ejected(_)) || !group.may_eject() {
            return;
        }
        let span = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        self.state = State::Ejected(now + span.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.slow = 0;
        group.ejected += 1;
    }
}
