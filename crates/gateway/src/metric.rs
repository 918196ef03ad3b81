//! Metrics of the request path; names as in docs/OPERATIONS.md.

use std::time::Duration;

use common::clock::Moment;
use placement::health::Availability;

use crate::state::Gateway;

/// A stage of a request's way.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// From the dispatch until the prompt is computed, with the wait at the engine.
    Prompt,
    /// From a prompt computed elsewhere until its engine answers.
    Transfer,
    /// From the arrival to the first event.
    FirstEvent,
    /// The longest pause between two events.
    LongestPause,
    /// From the arrival to a whole answer.
    Answer,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Stage::Prompt => "prompt",
            Stage::Transfer => "transfer",
            Stage::FirstEvent => "first_event",
            Stage::LongestPause => "longest_pause",
            Stage::Answer => "answer",
        }
    }
}

/// Notes how long a stage took.
pub(crate) fn observe(stage: Stage, took: Duration) {
    metrics::histogram!("daisydrum_stage_seconds", "stage" => stage.name())
        .record(took.as_secs_f64());
}

/// Publishes what an instance believes now.
pub fn publish(gateway: &Gateway) {
    let now = Moment::now();
    let availabilities = gateway.balancer().availabilities(now);
    for (availability, name) in [
        (Availability::Available, "in"),
        (Availability::Probation, "probation"),
        (Availability::Ejected, "out"),
    ] {
        let count = availabilities.iter().filter(|other| **other == availability).count();
        metrics::gauge!("daisydrum_targets", "standing" => name).set(count as f64);
    }
    if let Some((version, age)) = gateway.config_age() {
        metrics::gauge!("daisydrum_config_version").set(version as f64);
        metrics::gauge!("daisydrum_config_age_seconds").set(age.as_secs_f64());
    }
    for (service, left) in gateway.repeats_left(now) {
        metrics::gauge!("daisydrum_repeats_left", "service" => service.0).set(left);
    }
}
