//! Outlier detection: failing and slow targets are ejected for a time, and return to service through probing.
//!
//! At most half of a service's targets are ejected at once. Silence is no failure: a silent target is only the last
//! choice for a time.

use std::time::Duration;

use common::clock::Moment;

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Consecutive slow answers after which a target is ejected.
const SLOW_ANSWERS_TO_EJECT: u32 = 5;
/// An answer counts as slow if its latency is more than this many times the group's average.
const SLOW_RATIO: f64 = 5.0;
/// Answers with at most this latency never count as slow.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(200);
/// Duration of a target's first ejection; it doubles with each further one, up to [`MAX_EJECTION`].
const BASE_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time for which a target is the last choice after its first silence; it doubles with each further one without
/// progress in between, up to [`MAX_SILENCE_PENALTY`].
const BASE_SILENCE_PENALTY: Duration = Duration::from_secs(1);
const MAX_SILENCE_PENALTY: Duration = Duration::from_secs(30);
/// Weight of a new sample in the group's average latency.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Targets of one service, whose latencies are compared, and the number of them that are ejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// Number of known targets.
    pub members: u32,
    /// Number of ejected targets.
    pub ejected: u32,
    average_ms: f64,
}

impl Group {
    /// Whether one more target may be ejected: at most half are, and so never the only one.
    pub fn may_eject(&self) -> bool {
        (self.ejected + 1) * 2 <= self.members
    }

    fn observe(&mut self, latency: Duration) {
        let ms = latency.as_secs_f64() * 1_000.0;
        if self.average_ms == 0.0 {
            self.average_ms = ms;
        } else {
            self.average_ms += (ms - self.average_ms) * SAMPLE_WEIGHT;
        }
    }

    fn is_slow(&self, latency: Duration) -> bool {
        let ms = latency.as_secs_f64() * 1_000.0;
        latency > MIN_SLOW_LATENCY && self.average_ms > 0.0 && ms > self.average_ms * SLOW_RATIO
    }
}

/// Whether a target receives requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Receives requests.
    #[default]
    Active,
    /// Receives no requests until the given time.
    Ejected(Moment),
    /// Receives one request at a time until one succeeds.
    Probing,
}

/// Health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Whether the target receives requests.
    pub state: State,
    failures: u32,
    slow_answers: u32,
    ejections: u32,
    /// Silent attempts since the last progress.
    silences: u32,
    silent_until: Option<Moment>,
}

impl Health {
    /// Records the latency of an answer's first token; ejects the target after too many slow ones.
    pub fn record_success(&mut self, latency: Duration, group: &mut Group, now: Moment) {
        self.failures = 0;
        let slow = group.is_slow(latency);
        group.observe(latency);
        if slow {
            self.slow_answers += 1;
            if self.slow_answers >= SLOW_ANSWERS_TO_EJECT {
                self.eject(group, now);
            }
            return;
        }
        self.slow_answers = 0;
        if self.state == State::Probing {
            self.state = State::Active;
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    /// Records a failed attempt; ejects the target after too many, or at once while it is probed.
    pub fn record_failure(&mut self, group: &mut Group, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT || self.state == State::Probing {
            self.eject(group, now);
        }
    }

    /// Records that an attempt is silent; the target still receives requests for which there is no other one.
    pub fn record_silence(&mut self, now: Moment) {
        let penalty = BASE_SILENCE_PENALTY * 2_u32.saturating_pow(self.silences.min(5));
        self.silences += 1;
        self.silent_until = Some(now + penalty.min(MAX_SILENCE_PENALTY));
    }

    /// Records that an attempt has made progress.
    pub fn record_progress(&mut self) {
        self.silences = 0;
        self.silent_until = None;
    }

    /// Whether the target was silent lately and has made no progress since.
    pub fn is_silent(&self, now: Moment) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }

    /// Starts to probe the target once its ejection is over.
    pub fn tick(&mut self, group: &mut Group, now: Moment) {
        if let State::Ejected(until) = self.state
            && now >= until
        {
            self.state = State::Probing;
            group.ejected = group.ejected.saturating_sub(1);
        }
    }

    /// Clears all records, after the target's process has restarted or before the target is removed.
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
        let duration = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        self.state = State::Ejected(now + duration.min(MAX_EJECTION));
        self.ejections += 1;
        self.slow_answers = 0;
        group.ejected += 1;
    }
}
